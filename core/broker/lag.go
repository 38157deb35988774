package broker

import "time"

// Limits of what is granted in advance while this host's decisions lag.
const (
	// minLag is the lag from which ends that are on their way count: a few turns of the
	// event loop.
	minLag = 20 * time.Millisecond
	// maxAdvance limits the grants to a target to a multiple of its slots: targets queue
	// only a few requests.
	maxAdvance = 2
	lagWeight  = 0.2 // of a new lag in the moving average
)

// SetLag records how long messages waited for their turn here. The ends of requests are late
// by that, and by the spacing of the messages of hosts.
func (b *Broker) SetLag(lag time.Duration) {
	b.lag += time.Duration(lagWeight * float64(lag-b.lag))
}

// places is the number of requests that a target may be granted: those that it runs at once,
// and at a plain service as many as have ended there without it being known here, while
// decisions lag. Engines take longer for an answer, and queue in the order of arrival: what is
// granted to them too early loses its turn.
func (t *target) places(b *Broker) int {
	slots := t.slots(b)
	if b.lag < minLag || t.plainTime <= 0 {
		return slots
	}
	late := b.lag + min(b.lag, maxSpacing)/2
	return int(float64(slots) * min(1+float64(late)/float64(t.plainTime), maxAdvance))
}
