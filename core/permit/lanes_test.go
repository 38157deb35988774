package permit

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
)

// Under overload, plain earliest-deadline-first scheduling starts every request just too
// late for its objective. Asks that can still meet their objective must be granted
// before those of the same tier that cannot, but never before a more urgent tier.
func TestAsksThatCanMeetTheirObjectiveAreGrantedFirstInTheirTier(t *testing.T) {
	p := newPair(t)
	ask := func(ticket Ticket, tier model.Tier, useful time.Duration) {
		r := &model.Request{Tier: tier, Deadline: p.now.Add(time.Minute + time.Duration(ticket)*time.Second)}
		if useful != 0 {
			r.LatestStart = p.now.Add(useful)
		}
		p.holder.Ask(p.now, ticket, r, p.target)
	}
	for ticket := Ticket(1); ticket <= slotsPerTarget; ticket++ {
		ask(ticket, 0, 0)
	}
	p.deliverToManager()
	assert.Equal(t, len(p.deliverToHolder()), slotsPerTarget)

	ask(10, 1, 100*time.Millisecond) // will miss its objective
	ask(11, 1, time.Minute)
	ask(12, 1, -time.Millisecond) // has already missed its objective
	ask(13, 2, time.Minute)
	ask(14, 1, 0)   // no objective
	ask(15, 128, 0) // a tier that exists only in the holder's newer configuration
	p.deliverToManager()
	p.now = p.now.Add(200 * time.Millisecond)
	var order []Ticket
	for running := Ticket(1); len(order) < 6; {
		p.holder.Release(running, p.target, limit.Result{Kind: limit.Cancelled})
		p.deliverToManager()
		for _, e := range p.deliverToHolder() {
			order = append(order, e.Ticket)
			running = e.Ticket
		}
	}
	assert.DeepEqual(t, order, []Ticket{11, 14, 10, 12, 13, 15})
}
