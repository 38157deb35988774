package broker

import (
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/warmup"
)

// SetSlowStart sets how targets that start are limited. The product uses the default,
// warmup.ByResponses; the replay compares it with the others.
func (b *Broker) SetSlowStart(now time.Time, m warmup.Method) {
	b.slowStart = m
	clear(b.fleets)
	b.publishStarts(now)
}

// publishStarts takes the published targets of the services that start them slowly into their slow
// start.
func (b *Broker) publishStarts(now time.Time) {
	if len(b.fleets) == 0 && len(b.sharedMachines) == 0 {
		return
	}
	entries := map[string][]warmup.Entry{}
	b.work += uint64(len(b.roster.Targets))
	for _, id := range slices.Sorted(maps.Keys(b.roster.Targets)) {
		published, t := b.roster.Targets[id], b.targets[id]
		t.ramp = nil
		if b.startsSlowly(published.Service) {
			entries[published.Service] = append(entries[published.Service], warmup.Entry{
				ID: id, Born: published.Born, Slots: t.slots(b), Cold: t.cold(now), Usable: b.roster.Usable(id) != nil,
			})
		}
	}
	maps.DeleteFunc(b.fleets, func(service string, _ *warmup.Fleet) bool { return !b.startsSlowly(service) })
	for _, service := range slices.Sorted(maps.Keys(entries)) {
		b.publishFleet(now, service, entries[service])
	}
}

// publishFleet takes the published targets of one service in. The failures of a former
// process at an address say nothing of the one that has started since.
func (b *Broker) publishFleet(now time.Time, service string, entries []warmup.Entry) {
	f := b.fleets[service]
	if f == nil {
		f = warmup.NewFleet(b.slowStart)
		b.fleets[service] = f
	}
	for _, id := range f.Publish(now, entries) {
		t := b.targets[id]
		t.consecutiveFailures, t.ejectedUntil, t.rejectedUntil = 0, time.Time{}, time.Time{}
		clear(t.connectBackoffs)
		clear(t.lostBy)
	}
	for _, e := range entries {
		b.targets[e.ID].ramp = f.Ramp(e.ID)
	}
}

// startsSlowly reports whether the targets of a service are limited when they start: where they
// state how long work takes on their machines. Without that a new target cannot be told from a
// slow machine soon enough, and the limit costs callers more than it saves.
func (b *Broker) startsSlowly(service string) bool {
	return b.slowStart != warmup.None && b.sharesMachines(service)
}

// refreshFleets takes in the services whose targets have begun to share machines, and the
// share of the fleet that this leader decides for.
func (b *Broker) refreshFleets(now time.Time) {
	for _, f := range b.fleets {
		f.SetShare(b.reachableShare)
	}
	for service := range b.sharedMachines {
		if b.fleets[service] == nil && b.startsSlowly(service) {
			b.publishStarts(now)
			return
		}
	}
}

// observeStart records how a request ended at a target that may be starting. failures is
// the number of its failures in succession before, lost whether answers were lost among them.
// What was granted before the start says nothing of it, and errors that a target answers with
// say nothing of what it bears: when three quarters of the engines of a deployment answered
// some requests with errors, most were limited to one request for long.
func (b *Broker) observeStart(now time.Time, host netip.AddrPort, t *target, r *run, c Completion, failures int, lost bool) {
	if t.ramp == nil || !t.ramp.Concerns(r.grantedAt) {
		return
	}
	prompt := 0
	if r.queued != nil {
		prompt = r.queued.request.PromptTokens
	}
	switch {
	case c.Outcome == Good:
		if lost && failures >= ejectAfterFailures {
			t.ramp.Begin(now, warmup.Ejected)
		}
		t.ramp.Observe(now, warmup.Sample{Prompt: prompt, Output: c.OutputTokens, Took: c.Took, Slowdown: b.statedSlowdown(now, t, c.Took)})
	case c.Outcome == Rejected:
		t.ramp.Fail(now, warmup.Rejected)
	case c.Outcome == NoConnect:
		if !b.unreached.isolated(host) && (b.aliveHosts <= 1 || t.blockedForAll(now) > 0) {
			t.ramp.Begin(now, warmup.Unreachable)
		}
	case t.consecutiveFailures > failures && c.Outcome != Failed:
		t.ramp.Fail(now, warmup.Failing)
	}
	t.ramp.SetCold(now, t.cold(now))
}

// statedSlowdown is the mean slowdown that a target has stated of its machine while it worked on
// an answer; 1 if it states none.
func (b *Broker) statedSlowdown(now time.Time, t *target, took time.Duration) float64 {
	s := b.sharedMachines[t.published.Service]
	if s == nil || !t.speed.Stated() {
		return 1
	}
	mean, _ := t.speed.Over(now.Add(-took), now, s.changes)
	return mean
}

// noteLeastUrgent records the lowest priority in a queue whose service has targets that
// start slowly.
func (b *Broker) noteLeastUrgent(service string, queue []*queuedRequest) {
	b.leastUrgent = 0
	if b.fleets[service] == nil {
		return
	}
	b.work += uint64(len(queue))
	for _, q := range queue {
		if !q.cancelled {
			b.leastUrgent = max(b.leastUrgent, priority(q.request.Tier, q.request.Class))
		}
	}
}

// mayTry reports whether a request may be given to a target that has yet to show that it
// works: less urgent requests that wait are used for that first.
func (b *Broker) mayTry(now time.Time, q *queuedRequest, t *target) bool {
	return priority(q.request.Tier, q.request.Class) >= b.leastUrgent || !t.ramp.Tries(now)
}

// StartEvent is a change of what a target of a service may be given.
type StartEvent struct {
	Service string
	warmup.Event
}

// TakeStartEvents returns the changes since the last call.
func (b *Broker) TakeStartEvents() []StartEvent {
	var all []StartEvent
	for _, service := range slices.Sorted(maps.Keys(b.fleets)) {
		for _, e := range b.fleets[service].TakeEvents() {
			all = append(all, StartEvent{service, e})
		}
	}
	return all
}

// StartingCount returns the number of targets that do not have their whole share yet.
func (b *Broker) StartingCount(now time.Time) int {
	n := 0
	for _, f := range b.fleets {
		n += f.Limited(now)
	}
	return n
}
