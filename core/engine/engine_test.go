package engine

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var start = time.Unix(1_700_000_000, 0)

var profile = Profile{
	Slots: 2, Queue: 1, StepTime: 4 * time.Millisecond, PrefillTokensPerMs: 100, PrefillChunk: 1000,
}

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

func TestOneRequest(t *testing.T) {
	e := New(profile)
	e.Submit(start, Job{ID: 1, Prompt: 2000, Output: 3})
	// Two chunks of ten milliseconds, each with a step; then two more steps.
	assert.DeepEqual(t, e.Advance(at(1000)), []Event{{at(28), 1, Began, 0}, {at(36), 1, Ended, 4 * time.Millisecond}})
	_, busy := e.NextEvent()
	assert.Assert(t, !busy)
}

func TestLongPromptDelaysItsCompany(t *testing.T) {
	alone, beside := New(profile), New(profile)
	for _, e := range []*Engine{alone, beside} {
		e.Submit(start, Job{ID: 1, Prompt: 100, Output: 20})
		e.Advance(at(10))
	}
	beside.Submit(at(10), Job{ID: 2, Prompt: 10_000, Output: 1})
	ended := func(e *Engine) time.Time {
		for _, ev := range e.Advance(at(5000)) {
			if ev.Job == 1 && ev.Kind == Ended {
				return ev.At
			}
		}
		t.Fatal("it did not end")
		return time.Time{}
	}
	assert.Assert(t, ended(beside).Sub(ended(alone)) > 90*time.Millisecond)
}

func TestAdmissionInTheOrderOfArrival(t *testing.T) {
	e := New(profile)
	for id := range uint64(4) {
		e.Submit(start, Job{ID: id, Prompt: 10, Output: 5})
	}
	var began []uint64
	shed := 0
	for _, ev := range e.Advance(at(1000)) {
		switch ev.Kind {
		case Began:
			began = append(began, ev.Job)
		case Rejected:
			shed++
		}
	}
	assert.DeepEqual(t, began, []uint64{0, 1, 2})
	assert.Equal(t, shed, 1)
}

func TestCrashAndCancel(t *testing.T) {
	e := New(profile)
	e.Submit(start, Job{ID: 1, Output: 100})
	e.Submit(start, Job{ID: 2, Output: 100})
	e.Cancel(at(1), 2)
	e.Crash(at(2), at(100))
	e.Submit(at(3), Job{ID: 3, Output: 1})
	assert.DeepEqual(t, e.Advance(at(50)), []Event{{at(2), 1, Lost, 0}, {at(3), 3, Down, 0}})
	assert.Assert(t, e.Up(at(100)))
}

func TestPlainService(t *testing.T) {
	e := New(Profile{Slots: 1, Queue: 5, Plain: true, Slowness: 2})
	e.Submit(start, Job{ID: 1, Work: 10 * time.Millisecond})
	e.Submit(start, Job{ID: 2, Work: 10 * time.Millisecond})
	assert.DeepEqual(t, e.Advance(at(1000)), []Event{{at(20), 1, Began, 0}, {at(20), 1, Ended, 0}, {at(40), 2, Began, 0}, {at(40), 2, Ended, 0}})
}

func TestColdEngineBearsLittle(t *testing.T) {
	p := profile
	p.MaxColdRate, p.Slots = 2, 8
	e := New(p)
	e.SetCold(at(3000))
	for n, ms := range []int{0, 400, 1001, 1402} { // two in any second
		e.Submit(at(ms), Job{ID: uint64(n), Output: 1})
	}
	assert.Equal(t, e.ColdCrashes(), 0)
	e.Submit(at(1403), Job{ID: 9, Output: 1})
	assert.Equal(t, e.ColdCrashes(), 1)
	assert.Assert(t, !e.Up(at(1404)) && e.Up(at(2403)))
	for n := range 20 {
		e.Submit(at(3000+n), Job{ID: uint64(n), Output: 1})
	}
	assert.Equal(t, e.ColdCrashes(), 1, "it is warm")
}

func TestSubjectsThatAreKeptAreNotReadAgain(t *testing.T) {
	p := profile
	p.PrefixCacheSize = 1
	e := New(p)
	clock := start
	took := func(subject uint64) time.Duration {
		clock = clock.Add(time.Minute)
		begun := clock
		e.Submit(begun, Job{ID: 1, Prompt: 2000, PrefixTokens: 1000, Output: 1, PrefixID: subject})
		for _, ev := range e.Advance(begun.Add(time.Second)) {
			if ev.Kind == Ended {
				return ev.At.Sub(begun)
			}
		}
		return 0
	}
	first := took(1)
	assert.Assert(t, took(1) < first-5*time.Millisecond)
	assert.Equal(t, took(2), first)
	assert.Equal(t, took(1), first, "its place was taken")
}

// A trouble's end once gave an engine the speed 1 instead of its own.
func TestSlownessOfATroubleIsTakenBack(t *testing.T) {
	e := New(Profile{Slots: 1, Queue: 5, Plain: true, Slowness: 2})
	e.SetSlowdown(8)
	e.SetSlowdown(1)
	e.Submit(start, Job{ID: 1, Work: 10 * time.Millisecond})
	assert.DeepEqual(t, e.Advance(at(1000)), []Event{{at(20), 1, Began, 0}, {at(20), 1, Ended, 0}})
}
