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
		past  time.Duration
		n     float64
		wait  time.Duration
		ok    bool
	}{
		{"the burst", 1, 0, 100, 0, true},
		{"more than the burst, once full", 1, 0, 500, 0, true},
		{"a part of the fleet", 0.5, 0, 50, 0, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := New(Tolerance{})
			b.SetShare(c.share)
			b.SetWorkspaces(start, workspaces(10, 100))
			wait, ok := b.Take(start.Add(c.past), "w", c.n)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, wait, c.wait)
			wait, ok = b.Take(start, "w", 10)
			assert.Assert(t, !ok)
			assert.Assert(t, wait > 0)
		})
	}
}

func TestNoAllowanceIsNoBound(t *testing.T) {
	b := New(Tolerance{})
	_, ok := b.Take(start, "unknown", 1e9)
	assert.Assert(t, ok)
}

func TestChangeOfTheAllowanceKeepsTheLevel(t *testing.T) {
	b := New(Tolerance{})
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok := b.Take(start, "w", 100)
	assert.Assert(t, ok)
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok = b.Take(start, "w", 50)
	assert.Assert(t, !ok, "a new version must not fill the bucket")
}

func TestAllowanceThatIsNewStartsFull(t *testing.T) {
	b := New(Tolerance{})
	b.SetWorkspaces(start, workspaces(0, 0))
	b.SetWorkspaces(start, workspaces(10, 100))
	_, ok := b.Take(start, "w", 100)
	assert.Assert(t, ok)
}

// Many small parts of a fleet, each with less than one request's worth, served a
// request each at once: far more together than the allowance.
func TestManySmallPartsDoNotAddUpToMore(t *testing.T) {
	const parts, rate, burst = 50, 4.0, 4.0
	all := make([]*Buckets, parts)
	for i := range all {
		all[i] = New(Tolerance{})
		all[i].SetShare(1.0 / parts)
		all[i].SetWorkspaces(start, workspaces(rate, burst))
	}
	served := 0
	const length = 60 * time.Second
	for past := time.Duration(0); past < length; past += 100 * time.Millisecond {
		for _, b := range all {
			if _, ok := b.Take(start.Add(past), "w", 1); ok {
				served++
			}
		}
		most := rate*past.Seconds() + burst
		assert.Assert(t, float64(served) <= most+1, "%d served after %s, of at most %v", served, past, most)
	}
	assert.Assert(t, served > int(rate*length.Seconds())*3/4, "%d served: parts must save up for a request", served)
}

// Whatever is asked on two parts of a split fleet, no window exceeds the bound.
func TestPartsNeverExceedTheWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const rate, burst = 100.0, 100.0
		tolerance := Tolerance{Overshoot: 0.25, Slack: 80, Window: 8 * time.Second}
		share := rapid.Float64Range(0, 1).Draw(t, "share")
		parts := []*Buckets{New(tolerance), New(tolerance)}
		parts[0].SetShare(share)
		parts[1].SetShare(1 - share)
		for _, p := range parts {
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
			if _, ok := parts[rapid.IntRange(0, 1).Draw(t, "part")].Take(now, "w", n); ok {
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
			assert.Assert(t, sum <= bound, "%v used of %v", sum, bound)
		}
	})
}

// Each new leader started with full buckets, so that a workspace got its burst
// once more.
func TestAllowanceHoldsAcrossLeaders(t *testing.T) {
	const hosts, rate, burst, size = 10, 1000.0, 2000.0, 100.0
	tolerance := Tolerance{Overshoot: 0.25, Slack: 500, Window: 8 * time.Second}
	for _, c := range []struct {
		name  string
		every time.Duration // between leaders
		skew  int           // of the requests, one in so many comes to any host, the others to one
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
			for past, n := time.Duration(0), 0; past < length; past, n = past+step, n+1 {
				now := start.Add(past)
				if past%c.every == 0 {
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
					sent = append(sent, past)
				}
			}
			most := (rate*tolerance.Window.Seconds()+burst)*(1+tolerance.Overshoot) + tolerance.Slack
			first := 0
			for i, at := range sent {
				for at-sent[first] >= tolerance.Window {
					first++
				}
				n := float64(i-first+1) * size
				assert.Assert(t, n <= most, "%v within %s up to %s, of at most %v", n, tolerance.Window, at, most)
			}
			assert.Assert(t, float64(len(sent))*size >= rate*length.Seconds(), "%d requests only", len(sent))
		})
	}
}

// A workspace that stays below its allowance is not refused by a new leader,
// however its requests are spread over the hosts.
func TestNewLeaderRefusesNothingWithinTheAllowance(t *testing.T) {
	const rate, burst, size = 1000.0, 2000.0, 100.0
	u := NewUsage(start, 8*time.Second)
	for past := time.Duration(0); past < 30*time.Second; past += 200 * time.Millisecond {
		u.Add(start.Add(past), "w", size) // half of the rate
	}
	now := start.Add(30 * time.Second)
	b := New(Tolerance{Window: 8 * time.Second})
	b.SetWorkspaces(start, workspaces(rate, burst))
	b.Charge(now, u.Entries(now))
	_, ok := b.Take(now, "w", burst-2*size)
	assert.Assert(t, ok)
}
