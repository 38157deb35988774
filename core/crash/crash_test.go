package crash

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

const content model.Fingerprint = 7

var (
	targetA = member.Process{Address: netip.MustParseAddrPort("127.0.0.1:1")}
	targetB = member.Process{Address: netip.MustParseAddrPort("127.0.0.1:2")}
	start   = time.Unix(1_000_000, 0)
)

// report is a broken request that one host saw. sent is when it was sent and at
// when it broke, in milliseconds from the start.
type report struct {
	target   member.Process
	sent, at int
}

// Regression test: two crashes of one target in quick succession were counted as
// one, so that a content crashed a third target. It was seen in io/local under
// load.
func TestCrashesAreCountedOnceEach(t *testing.T) {
	for _, c := range []struct {
		name    string
		reports []report
		refused bool
	}{
		{"one crash", []report{{targetA, 0, 10}}, false},
		{"two targets", []report{{targetA, 0, 10}, {targetB, 5, 15}}, true},
		{"one target twice, a second apart", []report{{targetA, 0, 10}, {targetA, 1000, 1010}}, true},
		{"one crash that breaks two requests", []report{{targetA, 0, 500}, {targetA, 300, 520}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := NewRecords(1, 2)
			ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
			for _, p := range c.reports {
				r.RecordCrash(start.Add(ms(p.at)), ms(p.at-p.sent), content, p.target)
			}
			_, refused := r.Refused(start.Add(time.Minute), content)
			assert.Equal(t, refused, c.refused)
		})
	}
}

func TestRecordsAreShared(t *testing.T) {
	one, two := NewRecords(1, 2), NewRecords(2, 2)
	one.RecordCrash(start.Add(10*time.Millisecond), 10*time.Millisecond, content, targetA)
	two.RecordCrash(start.Add(time.Second), 5*time.Millisecond, content, targetA)
	now := start.Add(2 * time.Second)
	for range 2 { // the second exchange contains nothing new
		one.Merge(now, two.NextBatch(now))
		two.Merge(now.Add(20*time.Millisecond), one.NextBatch(now))
	}
	for _, r := range []*Records{one, two} {
		left, refused := r.Refused(now, content)
		assert.Assert(t, refused)
		assert.Assert(t, left > Expiry-3*time.Second && left < Expiry, "%s", left)
		assert.Equal(t, r.size, 2)
	}
}

// A crash that two hosts saw counts once, although the other host's record
// arrives a little later.
func TestOneCrashSeenByTwoHosts(t *testing.T) {
	one, two := NewRecords(1, 2), NewRecords(2, 2)
	for _, r := range []*Records{one, two} {
		r.RecordCrash(start, time.Millisecond, content, targetA)
	}
	one.Merge(start.Add(200*time.Millisecond), two.NextBatch(start))
	_, refused := one.Refused(start.Add(time.Second), content)
	assert.Assert(t, !refused)
}

// Regression test: a content that many callers send was refused for ten minutes
// after three of its targets had crashed for other reasons.
func TestContentThatIsAnsweredIsNotRefused(t *testing.T) {
	one, two, three := NewRecords(1, 2), NewRecords(2, 2), NewRecords(3, 2)
	records := []*Records{one, two, three}
	share := func(now time.Time, from *Records) {
		for _, r := range records {
			r.MergeAnswers(now, from.Answers(now))
			r.Merge(now, from.NextBatch(now))
		}
	}
	refused := func(now time.Time, want bool) {
		t.Helper()
		for i, r := range records {
			_, got := r.Refused(now, content)
			assert.Equal(t, got, want, "records %d", i)
		}
	}
	now := start
	one.RecordCrash(now, time.Millisecond, content, targetA)
	one.RecordCrash(now, time.Millisecond, content, targetB)
	share(now, one)
	refused(now, true)

	now = now.Add(time.Second)
	assert.Assert(t, two.RecordAnswer(now, content))
	share(now, three) // a repeated record is not added again
	share(now, two)
	refused(now, false)

	now = now.Add(time.Second)
	one.RecordCrash(now, time.Millisecond, content, targetA)
	one.RecordCrash(now, time.Millisecond, content, targetB)
	share(now, one)
	refused(now, true)
	assert.Assert(t, !two.RecordAnswer(now, content+1))
}

// Regression test: with more records than fit into a handover, those of the
// contents with the most crashes were left out.
func TestHandoverHasTheContentsWithTheMostCrashes(t *testing.T) {
	one, two := NewRecords(1, 2), NewRecords(2, 2)
	one.RecordCrash(start, 0, content, targetA)
	one.RecordCrash(start, 0, content, targetB)
	for i := range maxHandover {
		one.RecordCrash(start.Add(time.Second), 0, content+1+model.Fingerprint(i), targetA)
	}
	handed := one.Handover(start.Add(time.Minute))
	assert.Equal(t, len(handed), maxHandover)
	two.Merge(start.Add(time.Minute), handed)
	_, refused := two.Refused(start.Add(time.Minute), content)
	assert.Assert(t, refused)
}

// Regression test: once the limit of records was reached, no further crash was
// counted.
func TestCrashesCountWhenRecordsAreFull(t *testing.T) {
	r := NewRecords(1, 2)
	for i := range maxRecords + 10 {
		r.RecordCrash(start.Add(time.Duration(i)*time.Millisecond), 0, content+1+model.Fingerprint(i), targetA)
	}
	now := start.Add(time.Minute)
	r.RecordCrash(now, 0, content, targetA)
	r.RecordCrash(now, 0, content, targetB)
	for i := range maxRecords / 2 {
		r.RecordCrash(now, 0, content-1-model.Fingerprint(i), targetA)
	}
	_, refused := r.Refused(now, content)
	assert.Assert(t, refused)
	assert.Assert(t, r.size <= maxRecords)
}

// BenchmarkRefused looks up contents without crashes, as nearly all requests do,
// in full records.
func BenchmarkRefused(b *testing.B) {
	r := NewRecords(1, 3)
	for i := range maxRecords {
		r.RecordCrash(start, 0, model.Fingerprint(i), targetA)
	}
	for f := model.Fingerprint(maxRecords); b.Loop(); f++ {
		r.Refused(start, f)
	}
}

// Regression guard: reports of one crash that messages brought late counted as several crashes.
func TestLateReportsOfOneCrashCountOnce(t *testing.T) {
	process := member.Process{Address: targetA.Address, Born: 5}
	leader := NewRecords(9, 2)
	for n := range 3 {
		observer, lag := NewRecords(uint64(n+1), 2), time.Duration(n)*700*time.Millisecond
		observer.RecordCrash(start, 200*time.Millisecond, content, process)
		leader.Merge(start.Add(lag), observer.OwnSince(start, 0))
	}
	_, refused := leader.Refused(start.Add(2*time.Second), content)
	assert.Assert(t, !refused)
	process.Born++
	leader.RecordCrash(start.Add(2*time.Second), 100*time.Millisecond, content, process)
	_, refused = leader.Refused(start.Add(2*time.Second), content)
	assert.Assert(t, refused)
}
