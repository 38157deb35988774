package broker

import "time"

// Parameters for the gaps between the events of a stream.
const (
	// maxPrefillShare is the share of the shortest gap allowed at a target that
	// reading prompts may take. The rest covers network delay of events and
	// inaccurate estimates.
	maxPrefillShare = 0.7
	// minGapEvents is the number of events from which the gaps of a stream are
	// used.
	minGapEvents = 4
)

// learnEventGap updates the estimate of the longest gap in a stream, scaled to
// the fastest target. Engines read a prompt in chunks between the tokens of
// concurrent streams, so a gap lasts as long as a few chunks.
func (b *Broker) learnEventGap(now time.Time, t *target, c Completion) {
	e := b.latencies[t.published.Service]
	if e == nil || c.OutputTokens < minGapEvents || c.MaxEventGap <= 0 {
		return
	}
	_, slowness := b.slownessOver(t, now.Add(-c.Took), now)
	excess := time.Duration(float64(c.MaxEventGap)/slowness) - e.eventGap
	weight := estimateFall
	if excess > 0 {
		weight = estimateRise
	}
	e.eventGap = max(e.eventGap+time.Duration(weight*float64(excess)), 0)
}

// keepsEventGaps reports whether a target can read a request's prompt without
// exceeding the gaps allowed by the streams that run there. It matters for
// engines so slow that each chunk of a prompt takes a good part of the allowed
// gap: they are given no more prompt tokens at a time than they read within one
// gap, so that long prompts go to fast engines. A request that is late already
// may go to any target, since long prompts might otherwise never be served.
func (b *Broker) keepsEventGaps(now time.Time, q *queuedRequest, t *target) bool {
	e := b.latencies[t.published.Service]
	if e == nil || t.running == 0 || t.allowedEventGap <= 0 {
		return true
	}
	limit := time.Duration(maxPrefillShare * float64(t.allowedEventGap))
	if time.Duration(float64(e.eventGap)*b.slowness(t)) <= limit || t.prefillBacklog(now)+b.prefillTime(q, t) <= limit {
		return true
	}
	return now.Add(b.startLatency(q)).After(q.startBy)
}

// recordAllowedEventGap records the longest gap that a granted request allows.
func (t *target) recordAllowedEventGap(q *queuedRequest) {
	if t.running == 0 {
		t.allowedEventGap = 0
	}
	if gap := q.request.MaxEventGap; gap > 0 && (t.allowedEventGap == 0 || gap < t.allowedEventGap) {
		t.allowedEventGap = gap
	}
}
