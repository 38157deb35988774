package coord

import (
	"time"

	"yuccadoor/core/admit"
	"yuccadoor/core/broker"
)

// recordReturn keeps what the leader has booked for a refused request, for the next leader.
func (c *Coordinator) recordReturn(now time.Time, p *pendingRequest, r *broker.Refusal) {
	if !r.Booked || p.request.Content == 0 {
		return
	}
	q := &p.request
	c.returns.Add(now, admit.Return{
		Service: q.Service, Tier: q.Tier, Class: q.Class, Content: q.Content, Cost: broker.CostOf(*q),
		DueIn: r.RetryAfter, StartIn: q.StartWithin - now.Sub(p.submitted),
	})
}
