package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
)

// Under more load than can be served, earliest deadline first alone starts each
// request just too late for its objective. Those that can still meet it go
// first, but never before a more urgent tier.
func TestAsksThatCanMeetTheirObjectiveGoBeforeLateOnesOfTheirTier(t *testing.T) {
	p := newPair(t)
	ask := func(ticket Ticket, tier model.Tier, useful time.Duration) {
		r := &model.Request{Tier: tier, Deadline: p.now.Add(time.Minute + time.Duration(ticket)*time.Second)}
		if useful != 0 {
			r.LatestStart = p.now.Add(useful)
		}
		p.holder.Ask(p.now, ticket, r, p.target)
	}
	for ticket := Ticket(1); ticket <= fleetSlots; ticket++ {
		ask(ticket, 0, 0)
	}
	p.toManager()
	assert.Equal(t, len(p.toHolder()), fleetSlots)

	ask(10, 1, 100*time.Millisecond) // will be late
	ask(11, 1, time.Minute)
	ask(12, 1, -time.Millisecond) // late already
	ask(13, 2, time.Minute)
	ask(14, 1, 0)   // no objective
	ask(15, 128, 0) // a tier that only the holder's newer text has
	p.toManager()
	p.now = p.now.Add(200 * time.Millisecond)
	var order []Ticket
	for running := Ticket(1); len(order) < 6; {
		p.holder.Release(running, p.target, limit.Result{Kind: limit.Cancelled})
		p.toManager()
		for _, e := range p.toHolder() {
			order = append(order, e.Ticket)
			running = e.Ticket
		}
	}
	assert.DeepEqual(t, order, []Ticket{11, 14, 10, 12, 13, 15})
}
