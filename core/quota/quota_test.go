package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/routes"
)

var start = time.Unix(1_700_000_000, 0)

func workspaces(perSecond, burst float64) []routes.Workspace {
	return []routes.Workspace{{Name: "w", Allowance: routes.Allowance{PerSecond: perSecond, Burst: burst, InTokens: true}}}
}

func TestTake(t *testing.T) {
	for _, c := range []struct {
		name  string
		share float64
		after time.Duration
		n     float64
		wait  time.Duration
		ok    bool
	}{
		{"the burst", 1, 0, 100, 0, true},
		{"more than the burst, once full", 1, 0, 500, 0, true},
		{"half of the allowance", 0.5, 0, 50, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(Tolerance{})
			b.SetShare(c.share)
			b.SetWorkspaces(start, workspaces(10, 100))
			wait, ok := b.Take(start.Add(c.after), "w", c.n)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, wait, c.wait)
			wait, ok = b.Take(start, "w", 10)
			assert.Assert(t, !ok)
			assert.Assert(t, wait > 0)
		})
	}
}

func TestWorkspaceWithoutAllowanceIsNotLimited(t *testing.T) {
	b := New(Tolerance{})
	_, ok := b.Take(start, "unknown", 1e9)
	assert.Assert(t, ok)
}

func TestNewConfigurationKeepsTheLevel(t *testing.T) {
	b := New(Tolerance{})
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok := b.Take(start, "w", 100)
	assert.Assert(t, ok)
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok = b.Take(start, "w", 50)
	assert.Assert(t, !ok, "a new configuration must not fill the bucket")
}

func TestNewAllowanceStartsFull(t *testing.T) {
	b := New(Tolerance{})
	b.SetWorkspaces(start, workspaces(0, 0))
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok := b.Take(start, "w", 100)
	assert.Assert(t, ok)
}

// Many partitions of a fleet, whose shares of the burst are each smaller than one
// request, must not each grant a request at once: together that was far more than the
// allowance. They must still save up for a request.
func TestManySmallPartsDoNotAddUpToMore(t *testing.T) {
	const partitions, rate, burst = 50, 4.0, 4.0
	all := make([]*Buckets, partitions)
	for i := range all {
		all[i] = New(Tolerance{})
		all[i].SetShare(1.0 / partitions)
		all[i].SetWorkspaces(start, workspaces(rate, burst))
	}
	granted := 0
	const length = 60 * time.Second
	for elapsed := time.Duration(0); elapsed < length; elapsed += 100 * time.Millisecond {
		for _, b := range all {
			if _, ok := b.Take(start.Add(elapsed), "w", 1); ok {
				granted++
			}
		}
		bound := rate*elapsed.Seconds() + burst
		assert.Assert(t, float64(granted) <= bound+1, "%d requests granted after %s, at most %v allowed", granted, elapsed, bound)
	}
	assert.Assert(t, granted > int(rate*length.Seconds())*3/4, "%d requests granted: partitions must save up for a request", granted)
}

// Two partitions of a fleet never grant more than the bound within any window,
// whichever requests they get.
func TestPartitionsStayWithinTheAllowance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100.0, 100.0
		tolerance := Tolerance{Overshoot: 0.25, Slack: 80, Window: 8 * time.Second}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		partitions := []*Buckets{New(tolerance), New(tolerance)}
		partitions[0].SetShare(share)
		partitions[1].SetShare(1 - share)
		for _, p := range partitions {
			p.SetWorkspaces(start, workspaces(rate, burst))
		}
		type use struct {
			at time.Time
			n  float64
		}
		var uses []use
		now := start
		for range 200 {
			now = now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "ms")) * time.Millisecond)
			n := rapid.Float64Range(1, 20).Draw(t, "n")
			if _, ok := partitions[rapid.IntRange(0, 1).Draw(t, "partition")].Take(now, "w", n); ok {
				uses = append(uses, use{now, n})
			}
		}
		bound := (rate*8+burst)*(1+tolerance.Overshoot) + tolerance.Slack
		for i, from := range uses {
			sum := 0.0
			for _, u := range uses[i:] {
				if u.at.Sub(from.at) < tolerance.Window {
					sum += u.n
				}
			}
			assert.Assert(t, sum <= bound, "%v used, at most %v allowed", sum, bound)
		}
	})
}

// Guards against a new leader that grants the burst again because its buckets start
// full: it must charge what was used under previous leaders.
func TestAllowanceHoldsAcrossLeaders(t *testing.T) {
	const hosts, rate, burst, size = 10, 1000.0, 2000.0, 100.0
	tolerance := Tolerance{Overshoot: 0.25, Slack: 500, Window: 8 * time.Second}
	for _, c := range []struct {
		name  string
		every time.Duration // time between new leaders
		skew  int           // one in skew requests goes to the hosts in turn, the others to host 0
	}{
		{"each second", time.Second, 1},
		{"each 2 s", 2 * time.Second, 1},
		{"each 5 s", 5 * time.Second, 1},
		{"each 5 s, most at one host", 5 * time.Second, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			var usages [hosts]*Usage
			for i := range usages {
				usages[i] = NewUsage(start, tolerance.Window)
			}
			var leader *Buckets
			var sent []time.Duration
			const step, length = 5 * time.Millisecond, 30 * time.Second
			for elapsed, n := time.Duration(0), 0; elapsed < length; elapsed, n = elapsed+step, n+1 {
				now := start.Add(elapsed)
				if elapsed%c.every == 0 {
					leader = New(tolerance)
					leader.SetWorkspaces(start, workspaces(rate, burst))
					for _, u := range usages {
						leader.Charge(now, u.Entries(now))
					}
				}
				if _, ok := leader.Take(now, "w", size); ok {
					host := 0
					if n%c.skew == 0 {
						host = n / c.skew % hosts
					}
					usages[host].Add(now, "w", size)
					sent = append(sent, elapsed)
				}
			}
			bound := (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Overshoot) + tolerance.Slack
			first := 0
			for i, at := range sent {
				for at-sent[first] >= tolerance.Window {
					first++
				}
				n := float64(i-first+1) * size
				assert.Assert(t, n <= bound, "%v used within %s up to %s, at most %v allowed", n, tolerance.Window, at, bound)
			}
			assert.Assert(t, float64(len(sent))*size >= rate*length.Seconds(), "only %d requests granted", len(sent))
		})
	}
}

// A new leader does not refuse a workspace that has stayed within its allowance.
func TestNewLeaderRefusesNothingWithinTheAllowance(t *testing.T) {
	const rate, burst, size = 1000.0, 2000.0, 100.0
	u := NewUsage(start, 8*time.Second)
	for elapsed := time.Duration(0); elapsed < 30*time.Second; elapsed += 200 * time.Millisecond {
		u.Add(start.Add(elapsed), "w", size) // half of the rate
	}
	now := start.Add(30 * time.Second)
	b := New(Tolerance{Window: 8 * time.Second})
	b.SetWorkspaces(start, workspaces(rate, burst))
	b.Charge(now, u.Entries(now))
	_, ok := b.Take(now, "w", burst-2*size)
	assert.Assert(t, ok)
}
