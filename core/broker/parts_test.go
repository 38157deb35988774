package broker

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/core/quota"
)

const badPart, soundPart model.PromptPart = 1, 2

// crashTarget lets a granted request end with a crash of its target.
func (s *simulation) crashTarget(host netip.AddrPort, id uint64, shared ...model.PromptPart) {
	target := s.granted(host, id)
	s.complete(host, id, Broken, 0)
	s.b.ReportBrokenRun(s.now, BrokenRun{
		SharedParts: shared, Target: target, Address: s.b.roster.Targets[target].Address, EndedAt: s.now, Took: 10 * time.Millisecond, ConnectRefused: true,
	})
	s.collect()
}

// Guards against waiting requests being sent although a part of their prompts is known
// to crash targets.
func TestRequestsWithACrashingPartRunOneAtATimeUntilTheyAreRefused(t *testing.T) {
	s := newSimulation(9)
	shared := model.PromptParts{soundPart, badPart}
	crashes := 0
	for range 60 {
		sound := s.submit(hostB, Request{SharedParts: model.PromptParts{soundPart}})
		ids := map[netip.AddrPort]uint64{}
		for _, host := range []netip.AddrPort{hostA, hostB} {
			ids[host] = s.submit(host, Request{SharedParts: shared})
		}
		assert.Assert(t, crashes == 0 || s.granted(hostA, ids[hostA]) == "" || s.granted(hostB, ids[hostB]) == "", "two run at once")
		s.now = s.now.Add(20 * time.Millisecond)
		for host, id := range ids {
			if s.granted(host, id) != "" {
				crashes++
				s.crashTarget(host, id, shared...)
			}
			s.b.Cancel(host, id)
		}
		if s.granted(hostB, sound) != "" {
			s.complete(hostB, sound, Good, time.Millisecond)
		}
		s.advance(50 * time.Millisecond)
	}
	assert.Assert(t, crashes >= 3 && crashes <= 5, "%d crashes", crashes)
	r := s.refused(hostA, s.submit(hostA, Request{SharedParts: shared}))
	assert.Assert(t, r != nil && r.Cause == "PartCrashesTargets" && r.RetryAfter > 9*time.Minute, "%v", r)
	next := s.submit(hostA, Request{SharedParts: model.PromptParts{soundPart}})
	assert.Assert(t, s.granted(hostA, next) != "")
}

// An answer that may have ended with its target does not clear the parts of its prompt.
func TestInconclusiveAnswerClearsNoPart(t *testing.T) {
	for _, inconclusive := range []bool{false, true} {
		t.Run(fmt.Sprint(inconclusive), func(t *testing.T) {
			s := newSimulation(9)
			id := s.submit(hostA, Request{SharedParts: model.PromptParts{badPart}})
			s.crashTarget(hostA, id, badPart)
			s.advance(time.Second)
			id = s.submit(hostA, Request{SharedParts: model.PromptParts{badPart}})
			s.b.Complete(s.now, hostA, Completion{ID: id, Target: s.granted(hostA, id), Outcome: Good, Took: time.Millisecond, Inconclusive: inconclusive})
			s.advance(time.Second)
			answers := s.b.NewPartRecords(s.now).Answers
			assert.Equal(t, len(answers) == 0, inconclusive)
		})
	}
}

// Guards against a sound request being refused for crashes of its neighbour.
func TestContentIsNotRefusedForCrashesThatAPartExplains(t *testing.T) {
	s := newSimulation(9)
	const neighbour = 7
	for range crashThreshold {
		bad := s.submit(hostA, Request{SharedParts: model.PromptParts{badPart}})
		target := s.granted(hostA, bad)
		run := BrokenRun{Content: neighbour, Target: target, Address: s.b.roster.Targets[target].Address, EndedAt: s.now, Took: 10 * time.Millisecond, ConnectRefused: true}
		s.crashTarget(hostA, bad, badPart)
		s.b.ReportBrokenRun(s.now, run)
		s.advance(time.Second)
	}
	id := s.submit(hostA, Request{Content: neighbour})
	assert.Assert(t, s.granted(hostA, id) != "", "%v", s.refused(hostA, id))
}

// A new leader learns from the hosts which parts their running requests have.
func TestRunningRequestsOfANewLeaderHoldTheirParts(t *testing.T) {
	s := newSimulation(9)
	s.b.Sync(s.now, hostB, []RunningRequest{{ID: 900, Target: "t1", SharedParts: model.PromptParts{badPart}}}, nil)
	observer := New(quota.Tolerance{}, 2)
	observer.ReportBrokenRun(s.now, BrokenRun{
		SharedParts: model.PromptParts{badPart}, Address: netip.MustParseAddrPort("10.1.0.9:1"), EndedAt: s.now, Took: 10 * time.Millisecond, ConnectRefused: true,
	})
	s.b.MergePartRecords(s.now, observer.NewPartRecords(s.now))
	id := s.submit(hostA, Request{SharedParts: model.PromptParts{badPart}})
	assert.Equal(t, s.granted(hostA, id), "")
	s.b.Complete(s.now, hostB, Completion{ID: 900, Target: "t1", Outcome: Good, Took: time.Millisecond})
	s.advance(100 * time.Millisecond)
	assert.Assert(t, s.granted(hostA, id) != "")
}

// Guards against refusals whose reason no log tells, and against requests that are refused although
// one of them may run: after a crash with another cause a sound request clears its parts.
func TestSoundRequestRunsBesideAPartThatCrashesTargets(t *testing.T) {
	const caller, otherPart model.PromptPart = 4, 5
	s := newSimulation(9)
	for _, p := range []model.PromptPart{otherPart, badPart, badPart} {
		id := s.submit(hostA, Request{SharedParts: model.PromptParts{caller, p}})
		s.crashTarget(hostA, id, caller, p)
		s.advance(400 * time.Millisecond)
	}
	refusal := s.refused(hostA, s.submit(hostA, Request{SharedParts: model.PromptParts{caller, badPart}}))
	assert.Assert(t, refusal != nil && refusal.Cause == "PartCrashesTargets" && refusal.RetryAfter < time.Minute, "%v", refusal)
	assert.DeepEqual(t, refusal.Suspects, model.PromptParts{caller, badPart})
	assert.Equal(t, len(refusal.Crashes), 3)
	sound := Request{Content: 7, SharedParts: model.PromptParts{caller, soundPart}}
	id := s.submit(hostA, sound)
	assert.Assert(t, s.granted(hostA, id) != "")
	steps := map[CrashStep]int{}
	for _, e := range s.b.TakeCrashEvents() {
		steps[e.Step]++
	}
	assert.Equal(t, steps[PartsProbed], 1)
	s.complete(hostA, id, Good, time.Millisecond)
	s.advance(time.Second)
	for range 3 {
		id := s.submit(hostA, sound)
		assert.Assert(t, s.granted(hostA, id) != "")
	}
}
