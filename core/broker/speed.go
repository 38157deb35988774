package broker

import (
	"cmp"
	"slices"
	"time"

	"yuccadoor/core/speed"
)

// meanUnitWeight is the weight of an answer in the mean time per unit of work of a service.
// Answers of all its targets count, so that it is steadier than that of one target.
const meanUnitWeight = 0.02

// Bounds of the use of slow targets.
const (
	// fastShare is the share of a service's targets that are at least as fast as its fast
	// ones. A single target could not take all that it is awaited for, or state too little.
	fastShare = 0.25
	// refreshInterval is the age from which the estimates for all targets of a service are
	// made anew. Disturbances last some hundred milliseconds.
	refreshInterval = 10 * time.Millisecond
	// slowRatio is the factor from which a target counts as slow beside the fast ones of
	// its service. It lies below the 2.5 of a disturbance, and above the scatter of averages.
	slowRatio = 1.5
	// slowMargin is the factor on the estimated time to the start of an answer at a slow
	// target: a third of that time under a disturbance by 2.5.
	slowMargin = 1.5
	// faultRatio is the factor from which measured times contradict what a target states.
	// Averages over some ten requests of unlike kinds differ by less without a fault.
	faultRatio = 2.0
)

// serviceSpeed is what is known of the targets of a service that state how long work takes
// on their machines.
type serviceSpeed struct {
	changes *speed.Changes
	// unitTime is the mean time per unit of work at slowdown 1; 0 if unknown.
	unitTime time.Duration
	// fast is the factor of its fast targets, as of refreshedAt; 0 if none may serve.
	fast        float64
	refreshedAt time.Time
}

// ObserveLoad records what a target stated of its load. Reports of a former lifetime of the
// target, and reports without a slowdown, are ignored.
func (b *Broker) ObserveLoad(now time.Time, r speed.Report) {
	t := b.targets[r.Target]
	if t == nil || t.published == nil || t.published.Born != r.Born || r.Slowdown == 0 || !r.Valid() {
		return
	}
	s := b.sharedMachines[t.published.Service]
	if s == nil {
		s = &serviceSpeed{changes: speed.NewChanges()}
		b.sharedMachines[t.published.Service] = s
		delete(b.latencies, t.published.Service) // which were scaled to the fastest target
	}
	t.startSpeed()
	t.speed.Observe(now.Add(-max(r.Age, 0)), r.Slowdown, s.changes)
	b.updateFactor(now, t, s)
	b.refreshFleets(now)
	t.ramp.State(now, r.Waiting)
}

// startSpeed forgets the speed of a former lifetime of the target.
func (t *target) startSpeed() {
	if t.speedOf != t.published.Born {
		t.speed, t.speedOf = speed.Target{}, t.published.Born
	}
}

// sharesMachines reports whether the targets of a service state how long work takes on
// their machines at the moment. Their machines then carry other work too, so that neither
// places nor averages tell what the service can do.
func (b *Broker) sharesMachines(service string) bool { return b.sharedMachines[service] != nil }

// updateFactor estimates how long work takes at a target now: the stated slowdown, times
// what its answers took longer than those of the other targets at the same slowdown.
func (b *Broker) updateFactor(now time.Time, t *target, s *serviceSpeed) {
	t.startSpeed()
	t.factor = t.speed.Slowdown(now, s.changes) * s.unstated(t)
}

// unstated is the factor by which a target's answers take longer than those of the others at
// the same slowdown: 1 within the scatter of the averages.
func (s *serviceSpeed) unstated(t *target) float64 {
	own := t.speed.UnitTime()
	if own == 0 || s.unitTime == 0 {
		return 1
	}
	ratio := float64(own) / float64(s.unitTime)
	if ratio < faultRatio && ratio > 1/faultRatio {
		return 1
	}
	return ratio
}

// refreshSpeeds updates how fast the targets of a service work now.
func (b *Broker) refreshSpeeds(now time.Time, service string) {
	s := b.sharedMachines[service]
	if s == nil || now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	var factors []float64
	b.work += uint64(len(b.roster.ForService(service)))
	for _, p := range b.roster.ForService(service) {
		if t := b.targets[p.ID]; t != nil {
			b.updateFactor(now, t, s)
			if b.mayServe(now, t) {
				factors = append(factors, t.factor)
			}
		}
	}
	s.fast, s.refreshedAt = 0, now
	if len(factors) > 0 {
		slices.Sort(factors)
		s.fast = factors[int(fastShare*float64(len(factors)))]
	}
}

// mayServe reports whether a target serves requests as fast as it states: it is not leaving,
// paused, ejected or cold.
func (b *Broker) mayServe(now time.Time, t *target) bool {
	return t.consecutiveFailures < ejectAfterFailures && !t.notice.Leaving() && !t.cold(now) && t.blockedForAll(now) == 0
}

// unitTime is the time that a target takes per unit of work.
func (b *Broker) unitTime(t *target) time.Duration {
	s := b.sharedMachines[t.published.Service]
	if s == nil || t.factor == 0 {
		return t.unitTime()
	}
	return time.Duration(float64(s.meanUnitTime()) * t.factor)
}

// meanUnitTime is the mean time per unit of work at slowdown 1.
func (s *serviceSpeed) meanUnitTime() time.Duration { return cmp.Or(s.unitTime, initialTokenTime) }

// fastFactor is how long work takes at the fast targets of a service, relative to the target
// to which its latency estimates are scaled.
func (b *Broker) fastFactor(service string) float64 {
	if s := b.sharedMachines[service]; s != nil && s.fast > 0 {
		return s.fast
	}
	return 1
}

// learnUnitTime updates the time per unit of work of a target that states its slowdown, and
// of its service, from a complete answer.
func (b *Broker) learnUnitTime(now time.Time, t *target, c Completion, prompt int) {
	s := b.sharedMachines[t.published.Service]
	if s == nil {
		return
	}
	units := 1.0 // of a plain service
	if c.OutputTokens > 0 {
		units = float64(c.OutputTokens) + float64(prompt)/promptTokensPerOutputToken
	}
	t.startSpeed()
	perUnit := t.speed.ObserveAnswer(now.Add(-c.Took), now, time.Duration(float64(c.Took)/units), s.changes)
	s.unitTime = speed.Average(s.unitTime, perUnit, meanUnitWeight)
}

// slownessOver is the slowness of a target over a part of the time that an answer took: its
// mean and the highest.
func (b *Broker) slownessOver(t *target, from, to time.Time) (mean, highest float64) {
	s := b.sharedMachines[t.published.Service]
	if s == nil {
		slowness := b.slowness(t)
		return slowness, slowness
	}
	mean, highest = t.speed.Over(from, to, s.changes)
	unstated := s.unstated(t) * t.ramp.Factor()
	return mean * unstated, highest * unstated
}

// isSlow reports whether a target works much slower now than the fast ones of its service.
func (b *Broker) isSlow(t *target) bool {
	s := b.sharedMachines[t.published.Service]
	return s != nil && s.fast > 0 && t.factor > slowRatio*s.fast
}

// fitsAt reports whether the answer to a request would probably start by a time at a target
// and, at a slow one, also if it is disturbed meanwhile, and end while the caller waits.
func (b *Broker) fitsAt(now time.Time, q *queuedRequest, t *target, startBy time.Time) bool {
	latency := t.prefillBacklog(now) + b.startLatencyAt(q, t)
	if !b.isSlow(t) {
		return !now.Add(latency).After(startBy)
	}
	return !now.Add(time.Duration(slowMargin*float64(latency))).After(startBy) && b.endsInTime(now, q, t)
}

// endsInTime reports whether a request would probably end at a target while its caller
// waits, or would not even at a fast one. Its run outlasts most disturbances.
func (b *Broker) endsInTime(now time.Time, q *queuedRequest, t *target) bool {
	if q.endBy.IsZero() {
		return true
	}
	s := b.sharedMachines[t.published.Service]
	ends := func(factor float64) bool {
		took := q.cost * factor * float64(s.meanUnitTime())
		return !now.Add(time.Duration(took)).After(q.endBy)
	}
	return ends(slowMargin*t.speed.Usual()*s.unstated(t)) || !ends(s.fast)
}

// mayUse reports whether a request may be sent to a free target at which it would not start
// in time: not to a slow one while it can still be in time elsewhere. A slot of a fast target
// frees within some ten milliseconds, and at the slow one the request is late for certain,
// or its prompt stalls the streams beside it.
func (b *Broker) mayUse(_ time.Time, q *queuedRequest, t *target) bool {
	return !b.isSlow(t) || q.hasOwnTargets() || b.unreached.isolated(q.host)
}

// mayUseLate reports whether a late request may be sent to a free target: not to a slow one
// at which it would not start before it is given up, or not end while its caller waits.
func (b *Broker) mayUseLate(now time.Time, q *queuedRequest, t *target) bool {
	return !b.isSlow(t) || q.hasOwnTargets() || b.fitsAt(now, q, t, q.expiresAt) || now.Add(b.startLatency(q)).After(q.expiresAt)
}
