package parts

import (
	"net/netip"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/seeded"
)

// checks is the number of simulated fleets per property test.
const checks = 40

func TestMain(m *testing.M) { os.Exit(seeded.Run(m, checks)) }

var start = time.Unix(1_700_000_000, 0)

func target(n int) member.Process {
	return member.Process{Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), uint16(1000+n))}
}

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

// step is a crash of a target at a time, or a complete answer.
type step struct {
	at       float64 // seconds
	parts    model.PromptParts
	target   int           // of a crash
	took     time.Duration // from sending to the crash; 0 for an answer
	answered bool
}

const ms = time.Millisecond

func crash(at float64, target int, parts ...model.PromptPart) step {
	return step{at: at, target: target, took: 200 * ms, parts: parts}
}

func answer(at float64, parts ...model.PromptPart) step {
	return step{at: at, parts: parts, answered: true}
}

func TestVerdicts(t *testing.T) {
	const bad, first, other = 1, 2, 3
	inSuccession := []step{crash(1, 1, first, bad), crash(2, 2, first, bad), crash(3, 3, first, bad)}
	type want struct {
		parts    model.PromptParts
		refused  bool
		suspects int
	}
	for _, c := range []struct {
		name  string
		steps []step
		want  []want
	}{
		{"nothing known", nil, []want{{model.PromptParts{bad}, false, 0}}},
		{"one crash of a new part", inSuccession[:1], []want{{model.PromptParts{bad}, false, 1}, {model.PromptParts{other}, false, 0}}},
		{"one crash of a part that was answered before", append([]step{answer(0, first)}, inSuccession[:1]...), []want{{model.PromptParts{first}, false, 0}, {model.PromptParts{bad, first}, false, 1}}},
		{"always together", inSuccession, []want{{model.PromptParts{first, bad}, true, 0}, {model.PromptParts{first}, false, 2}, {model.PromptParts{bad}, false, 2}}},
		{"the other part was answered", append(slices.Clone(inSuccession), answer(3.5, first, other)), []want{{model.PromptParts{bad}, true, 0}, {model.PromptParts{first, other}, false, 0}}},
		{
			"one more crash without the other part", append(slices.Clone(inSuccession), crash(4, 4, bad)),
			[]want{{model.PromptParts{other, bad}, true, 0}, {model.PromptParts{first}, false, 0}},
		},
		{"both were answered", append(slices.Clone(inSuccession), answer(3.5, first, bad)), []want{{model.PromptParts{first, bad}, false, 0}}},
		{
			"targets lost at once",
			[]step{crash(1, 1, first), crash(1, 2, first), crash(1, 3, first), crash(1.1, 4, first)},
			[]want{{model.PromptParts{first}, false, 1}},
		},
		{
			"a neighbour of each crash",
			[]step{crash(1, 1, bad), crash(1, 1, other), crash(2, 2, bad), crash(2, 2, other), crash(3, 3, bad), crash(3, 3, other), crash(4, 4, bad)},
			[]want{{model.PromptParts{other}, false, 0}, {model.PromptParts{bad}, true, 0}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, end := NewRecords(1), start
			for _, s := range c.steps {
				end = at(s.at)
				if s.answered {
					r.RecordAnswer(end, s.parts)
				} else {
					r.RecordCrash(end, s.took, target(s.target), s.parts)
				}
			}
			end = end.Add(reportTime)
			for _, w := range c.want {
				got := r.Check(end, w.parts)
				assert.Equal(t, got.Refused, w.refused, "%v", w.parts)
				assert.Equal(t, len(got.Suspects), w.suspects, "%v", w.parts)
			}
		})
	}
}

// Guards against a part being refused because the host that ran the request beside it
// reported first.
func TestCrashCountsTowardsARefusalOnceAllHostsCanHaveReportedIt(t *testing.T) {
	const bad, neighbour = 1, 2
	r := NewRecords(1)
	for n := range 3 {
		for _, p := range []model.PromptPart{neighbour, bad} {
			if n < 2 || p == neighbour {
				r.RecordCrash(at(float64(n)), 200*ms, target(n), model.PromptParts{p})
			}
		}
	}
	late := NewRecords(2)
	late.RecordCrash(at(2), 100*ms, target(2), model.PromptParts{bad})
	assert.Assert(t, !r.Check(at(2.2), model.PromptParts{neighbour}).Refused)
	r.Merge(at(2.2), late.TakeNew(at(2.1)))
	r.RecordCrash(at(3), 200*ms, target(3), model.PromptParts{bad})
	assert.Assert(t, !r.Check(at(3.3), model.PromptParts{neighbour}).Refused)
	assert.Assert(t, r.Check(at(3.3), model.PromptParts{bad}).Refused)
}

// A refused part runs once more after a long time, and is refused for longer if that
// crashes another target.
func TestRefusalIsRenewedByOneCrash(t *testing.T) {
	r := NewRecords(1)
	for n := range 3 {
		r.RecordCrash(at(float64(n)), 200*ms, target(n), model.PromptParts{1})
	}
	assert.Assert(t, r.Check(at(3), model.PromptParts{1}).RetryAfter > 9*time.Minute)
	later := at(11 * 60)
	assert.DeepEqual(t, r.Check(later, model.PromptParts{1}), Verdict{Suspects: model.PromptParts{1}})
	r.RecordCrash(later.Add(time.Second), 200*ms, target(9), model.PromptParts{1, 2})
	assert.Assert(t, r.Check(later.Add(time.Hour), model.PromptParts{1}).Refused)
	assert.DeepEqual(t, r.Check(later.Add(2*time.Second), model.PromptParts{2}), Verdict{})
	r.RecordAnswer(later.Add(2*time.Hour), model.PromptParts{1})
	assert.DeepEqual(t, r.Check(later.Add(2*time.Hour), model.PromptParts{1}), Verdict{})
}

func TestHostsThatShareRecordsAgree(t *testing.T) {
	a, b, late := NewRecords(1), NewRecords(2), NewRecords(3)
	for n := range 3 {
		from, to := a, b
		if n%2 == 1 {
			from, to = b, a
		}
		from.RecordCrash(at(float64(n)), 200*ms, target(n), model.PromptParts{1, 2})
		to.Merge(at(float64(n)+0.05), from.TakeNew(at(float64(n)+0.02)))
	}
	b.RecordAnswer(at(3), model.PromptParts{2})
	a.Merge(at(3.1), b.TakeNew(at(3.05)))
	late.Merge(at(4), a.Handover(at(3.9)))
	for _, r := range []*Records{a, b, late} {
		assert.Assert(t, r.Check(at(4), model.PromptParts{1}).Refused)
		assert.DeepEqual(t, r.Check(at(4), model.PromptParts{2}), Verdict{})
	}
	afterExpiry := at(2 * 3600)
	last := NewRecords(4)
	last.Merge(afterExpiry, late.Handover(afterExpiry))
	assert.DeepEqual(t, last.Check(afterExpiry, model.PromptParts{1}), Verdict{Suspects: model.PromptParts{1}})
}

func TestRecordsAreBounded(t *testing.T) {
	r := NewRecords(1)
	for n := range 4 * maxCrashes {
		for m := range 4 {
			r.RecordCrash(at(float64(n)/10), 50*ms, target(n), model.PromptParts{model.PromptPart(4*n + m), 7})
		}
	}
	assert.Equal(t, len(r.events), maxCrashes)
	for n := range 4 * maxSound {
		r.RecordAnswer(at(1000), model.PromptParts{model.PromptPart(n)})
	}
	assert.Assert(t, len(r.sound.current)+len(r.sound.former) <= 2*maxSound)
	assert.Assert(t, len(r.answered) <= maxAnswers)
	assert.Assert(t, r.sound.contains(4*maxSound-1))
}

// fleet is a simulated fleet whose leader decides by one Records.
type fleet struct {
	records *Records
	now     time.Time
	waiting []simRequest
	running []simRun
	crashes []time.Time // of requests with the bad part, by the time of sending
	known   time.Time   // fifth crash
	refused int         // sound requests
	served  []time.Time // sound requests, by arrival
	arrived []time.Time
	targets int
}

type simRequest struct {
	arrived time.Time
	parts   model.PromptParts
	took    time.Duration
}

type simRun struct {
	simRequest
	sentAt time.Time
	target int
}

const badPart model.PromptPart = 0xbad

func (r simRequest) isBad() bool { return slices.Contains(r.parts, badPart) }

// tick advances the fleet by a step of virtual time.
func (f *fleet) tick(t *rapid.T, slots int) {
	f.now = f.now.Add(10 * ms)
	for i := 0; i < len(f.running); i++ {
		if x := f.running[i]; x.sentAt.Add(x.took).After(f.now) {
			continue
		} else if x.isBad() {
			f.crash(x)
			i = -1
		} else {
			f.records.RecordAnswer(f.now, x.parts)
			f.served = append(f.served, x.arrived)
			f.running = slices.Delete(f.running, i, i+1)
			i--
		}
	}
	f.waiting = slices.DeleteFunc(f.waiting, func(q simRequest) bool {
		v := f.records.Check(f.now, q.parts)
		if v.Refused {
			if !q.isBad() {
				f.refused++
			}
			return true
		}
		if slices.ContainsFunc(f.running, func(x simRun) bool {
			return slices.ContainsFunc(x.parts, func(p model.PromptPart) bool { return slices.Contains(v.Suspects, p) })
		}) {
			return false
		}
		f.running = append(f.running, simRun{q, f.now, rapid.IntRange(0, slots).Draw(t, "target")*1000 + f.targets})
		if q.isBad() {
			f.crashes = append(f.crashes, f.now)
		}
		return true
	})
}

// crash ends a target, with all that runs there. Requests that ran beside the bad one
// are sent again.
func (f *fleet) crash(bad simRun) {
	f.targets++
	for _, x := range f.running {
		if x.target != bad.target {
			continue
		}
		f.records.RecordCrash(f.now, f.now.Sub(x.sentAt), target(x.target), x.parts)
		if !x.isBad() {
			f.waiting = append(f.waiting, x.simRequest)
		}
	}
	f.running = slices.DeleteFunc(f.running, func(x simRun) bool { return x.target == bad.target })
	if f.targets == 5 {
		f.known = f.now
	}
}

// Guards against sends that never stop, and against sound requests that are refused
// with the bad ones: fleets, rates, times and prompts vary.
func TestSimulatedFleetsFindTheBadPart(t *testing.T) {
	const length = 40 * time.Second
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{records: NewRecords(1), now: start}
		slots := rapid.IntRange(2, 30).Draw(t, "targets")
		badPeriod := time.Duration(rapid.IntRange(100, 2000).Draw(t, "bad period")) * ms
		soundPeriod := time.Duration(rapid.IntRange(30, 1500).Draw(t, "sound period")) * ms
		crashAfter := rapid.IntRange(50, 1500).Draw(t, "crash after")
		documents := rapid.IntRange(1, 40).Draw(t, "documents")
		document := rapid.IntRange(0, documents-1)
		position := rapid.IntRange(0, 2).Draw(t, "position")
		answered := rapid.Bool().Draw(t, "answered before")
		nextBad, nextSound := start.Add(2*time.Second), start
		if !answered {
			nextBad = start
		}
		for f.now.Before(start.Add(length)) {
			if !f.now.Before(nextBad) {
				nextBad = nextBad.Add(badPeriod)
				parts := model.PromptParts{1, model.PromptPart(100 + document.Draw(t, "document"))}
				f.waiting = append(f.waiting, simRequest{f.now, slices.Insert(parts, position, badPart), time.Duration(rapid.IntRange(50, 50+crashAfter).Draw(t, "took")) * ms})
			}
			if !f.now.Before(nextSound) {
				nextSound = nextSound.Add(soundPeriod)
				parts := model.PromptParts{1, model.PromptPart(100 + document.Draw(t, "document"))}
				f.arrived = append(f.arrived, f.now)
				f.waiting = append(f.waiting, simRequest{f.now, parts, time.Duration(rapid.IntRange(50, 3000).Draw(t, "took")) * ms})
			}
			f.tick(t, slots)
		}
		late := 0
		for _, sentAt := range f.crashes {
			if !f.known.IsZero() && sentAt.Sub(f.known) > 3*time.Second {
				late++
			}
		}
		if late > 3 {
			t.Fatalf("%d crashes, %d of them late", len(f.crashes), late)
		}
		if f.refused > 0 {
			t.Fatalf("%d sound requests refused", f.refused)
		}
	})
}

// BenchmarkRequest decides on a request with three shared parts and records its answer,
// without and with crashes of other parts.
func BenchmarkRequest(b *testing.B) {
	for _, crashes := range []int{0, 16, maxCrashes} {
		b.Run(strconv.Itoa(crashes), func(b *testing.B) {
			r := NewRecords(1)
			for n := range crashes {
				for m := range 20 {
					r.RecordCrash(at(float64(n)/10), 50*ms, target(n), model.PromptParts{model.PromptPart(1000 + 20*n + m), model.PromptPart(100 + m)})
				}
			}
			now, parts := at(float64(crashes)/10+1), model.PromptParts{1, 2, 3}
			for b.Loop() {
				r.Check(now, parts)
				r.RecordAnswer(now, parts)
			}
		})
	}
}

// BenchmarkCrash records one more run of a crash and concludes from it.
func BenchmarkCrash(b *testing.B) {
	for _, crashes := range []int{16, maxCrashes} {
		b.Run(strconv.Itoa(crashes), func(b *testing.B) {
			n := 0
			r := NewRecords(1)
			report := func() {
				r.RecordCrash(at(float64(n/20)/10), 50*ms, target(n/20), model.PromptParts{model.PromptPart(1000 + n), model.PromptPart(100 + n%20)})
				n++
			}
			for range 20 * crashes {
				report()
			}
			for b.Loop() {
				report()
			}
		})
	}
}

// Regression test: targets that ended for another cause accused a part that all requests have, so
// that everything was refused for ten minutes (soak, seed 5105).
func TestPartThatWasAnsweredBeforeIsSoonTriedAgain(t *testing.T) {
	for _, parts := range []model.PromptParts{{1}, {1, 2}} {
		r, probe := NewRecords(1), at(2).Add(soundRefusal)
		r.RecordAnswer(at(-1), parts)
		for n := range 3 {
			r.RecordCrash(at(float64(n)), 200*ms, target(n), parts)
		}
		assert.Assert(t, r.Check(at(3), parts).Refused)
		assert.Assert(t, !r.Check(probe, parts).Refused && len(r.Check(probe, parts).Suspects) > 0, "one request may run at a time")
		r.RecordCrash(probe.Add(time.Second), 200*ms, target(9), parts)
		assert.Assert(t, r.Check(probe.Add(expiry-time.Minute), parts).Refused)
	}
}

// Regression guard: reports of one crash that messages brought late counted as several crashes in
// succession, so that all requests with the parts they had in common were refused.
func TestLateReportsOfOneCrashCountOnce(t *testing.T) {
	const common = 1
	for _, c := range []struct {
		name string
		lags []time.Duration // of the reports of three hosts, and of the handover to the next leader
	}{
		{"in order", []time.Duration{0, 700 * ms, 1400 * ms, 0}},
		{"in reverse", []time.Duration{1400 * ms, 700 * ms, 0, 100 * ms}},
		{"late handover", []time.Duration{0, 600 * ms, 1200 * ms, 1900 * ms}},
	} {
		t.Run(c.name, func(t *testing.T) {
			process := target(1)
			process.Born = 5
			leader, next := NewRecords(9), NewRecords(10)
			for n, lag := range c.lags[:3] {
				observer := NewRecords(uint64(n + 1))
				observer.RecordCrash(at(0), 200*ms, process, model.PromptParts{common, model.PromptPart(10 + n)})
				leader.Merge(at(0).Add(lag), observer.TakeNew(at(0)))
			}
			next.Merge(at(3).Add(c.lags[3]), leader.Handover(at(3)))
			for _, r := range []*Records{leader, next} {
				got := r.Check(at(6), model.PromptParts{common})
				assert.Assert(t, !got.Refused)
				assert.Equal(t, len(r.events), 1)
			}
		})
	}
}

// Guards against refusals without an end, and against probes without a bound: requests whose parts
// always come together crash targets all day.
func TestPartsThatAlwaysComeTogetherAreProbed(t *testing.T) {
	for _, c := range []struct {
		name     string
		requests []model.PromptParts // in turn
	}{
		{"the same parts", []model.PromptParts{{1, 2}}},
		{"with other documents", []model.PromptParts{{1, 2, 10}, {1, 2, 11}, {1, 2, 12}, {1, 2, 13}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			r, next := NewRecords(1), NewRecords(2)
			var sends []time.Time
			longest := time.Duration(0)
			for n := range 24 * 3600 {
				now, parts := at(float64(n)), c.requests[n%len(c.requests)]
				if n == 1800 { // another host leads
					next.Merge(now, r.Handover(now))
					r = next
				}
				if v := r.Check(now, parts); v.Refused {
					longest = max(longest, v.RetryAfter)
					continue
				}
				sends = append(sends, now)
				process := target(n % 30)
				process.Born = uint64(n)
				r.RecordCrash(now.Add(100*ms), 100*ms, process, parts)
			}
			assert.Assert(t, len(sends) > refusalThreshold, "%d sends", len(sends))
			assert.Assert(t, len(sends) <= freeProbes+3, "%d sends", len(sends))
			assert.Assert(t, longest > 0)
		})
	}
}

// Regression guard: after three crashes with another cause and three by a part of prompts, sound
// requests were refused for 16 s, since neither explained enough of the crashes.
func TestSoundRequestRunsSoonAfterManyOtherCrashes(t *testing.T) {
	const caller, document, sound, bad = 1, 2, 3, 4
	const soon = 6 * time.Second // after the last crash, from when sound requests count
	r := NewRecords(1)
	for n, at0 := range []float64{0, 0.4, 0.8, 1.4, 2.9, 5.4} {
		parts := model.PromptParts{caller, sound, document}
		if n >= 3 {
			parts = model.PromptParts{caller, bad, document}
		}
		r.RecordCrash(at(at0), 60*ms, target(n), parts)
	}
	now := at(5.4).Add(soon)
	assert.Assert(t, !r.Check(now, model.PromptParts{caller, sound, document}).Refused)
}
