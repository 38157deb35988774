package permit

import (
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/conf"
	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
)

// pair is one holder and one manager on two hosts, with one target.
type pair struct {
	now     time.Time
	h, m    netip.AddrPort
	target  netip.AddrPort
	holder  *Holder
	manager *Manager
	view    func(self netip.AddrPort, revision model.Revision) *view.View
}

// newPair returns a pair whose manager has settled.
func newPair(t *testing.T) *pair {
	t.Helper()
	catalog, err := conf.Parse("pair", []byte(fleetText), 1)
	assert.NilError(t, err)
	p := &pair{
		now:    time.Unix(1_000_000, 0),
		h:      netip.MustParseAddrPort("10.0.0.1:1"),
		m:      netip.MustParseAddrPort("10.0.0.2:1"),
		target: netip.MustParseAddrPort("10.0.1.1:1"),
	}
	p.view = func(self netip.AddrPort, revision model.Revision) *view.View {
		l := &model.HostList{
			Revision: revision,
			Hosts:    []model.Host{{Peer: p.h, Zone: "b", State: model.Live}, {Peer: p.m, Zone: "a", State: model.Live}},
			Targets:  []model.Target{{Address: p.target, Service: "lm", Zone: "a", State: model.Live}},
		}
		return view.New(self, "a", catalog, l, map[netip.AddrPort]bool{p.h: true, p.m: true})
	}
	p.holder, p.manager = NewHolder(1, p.now), NewManager(2)
	p.holder.UpdateView(p.view(p.h, 1))
	p.manager.UpdateView(p.now, p.view(p.m, 1))
	own := NewHolder(2, p.now)
	own.UpdateView(p.view(p.m, 1))
	for _, out := range p.manager.Flush() {
		if out.Holder == p.m {
			own.Receive(p.m, out.Message, p.manager)
		} else {
			p.holder.Receive(p.m, out.Message, p.manager)
		}
	}
	for _, out := range own.Flush(p.now) {
		p.manager.Receive(p.now, p.m, out.Message)
	}
	p.toManager()
	assert.Assert(t, p.manager.targets[p.target].settled)
	return p
}

func (p *pair) toManager() {
	for _, out := range p.holder.Flush(p.now) {
		p.manager.Receive(p.now, p.h, out.Message)
	}
}

func (p *pair) toHolder() []Event {
	var events []Event
	for _, out := range p.manager.Flush() {
		if out.Holder == p.h {
			events = append(events, p.holder.Receive(p.m, out.Message, p.manager)...)
		}
	}
	return events
}

func (p *pair) ask(ticket Ticket) {
	p.holder.Ask(p.now, ticket, &model.Request{Deadline: p.now.Add(time.Minute)}, p.target)
}

func (p *pair) running() int { return len(p.manager.targets[p.target].running) }

// A holder with nothing left to say kept silent after a connection was lost, so
// that a lost release held its slot for good.
func TestLostReleaseIsMadeGood(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.toManager()
	assert.Equal(t, len(p.toHolder()), 1)
	p.holder.Release(1, p.target, limit.Result{Kind: limit.Completed})
	p.holder.Flush(p.now) // and the connection breaks
	assert.Equal(t, p.running(), 1)
	p.holder.MessagesLost(p.m)
	p.toManager()
	assert.Equal(t, p.running(), 0)
}

// A lost grant shows as a gap at the next message.
func TestLostGrantIsMadeGood(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.toManager()
	p.manager.Flush() // lost
	assert.Equal(t, p.running(), 1)
	p.manager.MessagesLost(p.h)
	assert.Equal(t, len(p.toHolder()), 0)
	p.toManager()
	events := p.toHolder()
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Kind, Granted)
	assert.Equal(t, p.running(), 1)
}

// A full statement that was under way when a permit was granted must not free
// that permit.
func TestCrossingStatementKeepsNewGrant(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.holder.MessagesLost(p.m)
	p.toManager() // full, asks 1; the grant is now under way
	p.holder.MessagesLost(p.m)
	p.toManager() // full again, sent before the grant arrived
	assert.Equal(t, p.running(), 1)
	assert.Equal(t, len(p.toHolder()), 1)
	assert.Equal(t, p.running(), 1)
}

// A second grant of a permit in hand was given back, which freed the slot of
// the request that was running under it.
func TestRepeatedGrantDoesNotFreeRunningPermit(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.toManager()
	assert.Equal(t, len(p.toHolder()), 1)
	again := FromManager{Incarnation: 2, Fence: 1, Seq: p.holder.links[p.m].heard + 1, Grants: []Grant{{Ticket: 1, Target: p.target}}}
	assert.Equal(t, len(p.holder.Receive(p.m, again, p.manager)), 0)
	p.toManager()
	assert.Equal(t, p.running(), 1)
}

// A manager that another had replaced by a newer list went on with its old
// state when a still newer list made it manager again.
func TestSupersededManagerTakesOverAnew(t *testing.T) {
	p := newPair(t)
	p.manager.Supersede(p.target, 2)
	assert.Assert(t, p.manager.targets[p.target] == nil)
	p.manager.UpdateView(p.now, p.view(p.m, 1))
	assert.Assert(t, p.manager.targets[p.target] == nil, "an old list brought it back")
	p.manager.UpdateView(p.now, p.view(p.m, 3))
	assert.Assert(t, !p.manager.targets[p.target].settled)
}

// A grant whose echo is old belongs to a process that was paused or to a
// message that was stuck: nothing may be sent on it.
func TestGrantExpiresByTheHoldersOwnClock(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.toManager()
	p.now = p.now.Add(5 * time.Second) // paused
	events := p.toHolder()
	assert.Equal(t, len(events), 1)
	assert.Assert(t, !p.now.Before(events[0].Expires))
}

// A grant made before another manager's claim was accepted arrived after a newer
// list had made its sender manager again.
func TestGrantOlderThanAnAcceptedClaimIsRefused(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.toManager()
	late := p.manager.Flush()
	other := FromManager{Incarnation: 9, Fence: 2, Seq: 1, Claims: []Claim{{Target: p.target, Number: 1}}}
	p.holder.Receive(p.h, other, p.manager)
	p.holder.UpdateView(p.view(p.h, 3))
	p.ask(1)
	for _, out := range late {
		if out.Holder == p.h {
			assert.Equal(t, len(p.holder.Receive(p.m, out.Message, p.manager)), 0)
		}
	}
	assert.Equal(t, p.holder.PermitCount(), 0)
}
