package coord

import "time"

// settleTime is how long a host that was paused, or leads without having read the store, may
// lack what others know: they have heard of each other by then.
const settleTime = 5 * time.Second

// stepState is whether this host may lack what others know of targets.
type stepState struct {
	unsettledAt time.Time // when the host was last paused, or began to lead; zero for never
	apartSince  time.Time // zero while the host is in step
	listedAt    time.Time // when the store was last listed here
}

// updateStep determines whether this host may lack what others know: it hears from a minority
// only, was paused, or leads since a moment ago. A listing that it has read itself since then
// brings it into step.
func (c *Coordinator) updateStep(now time.Time, alive, known int) {
	s := &c.step
	settled := s.unsettledAt.IsZero() || now.Sub(s.unsettledAt) >= settleTime
	switch {
	case 2*alive >= known && settled:
		s.apartSince = time.Time{}
	case s.apartSince.IsZero():
		s.apartSince = now
	}
	caughtUp := c.reading && c.storeUp && s.listedAt.After(s.apartSince)
	c.broker.SetOutOfStep(now, !s.apartSince.IsZero() && !caughtUp)
}

// setUnsettled marks this host as out of step.
func (c *Coordinator) setUnsettled(now time.Time) {
	c.step.unsettledAt, c.step.apartSince = now, now
	c.broker.SetOutOfStep(now, true)
}
