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

// pair is a holder on one host and the manager of a single target on another host.
type pair struct {
	now                           time.Time
	holderAddress, managerAddress netip.AddrPort
	target                        netip.AddrPort
	holder                        *Holder
	manager                       *Manager
	view                          func(self netip.AddrPort, revision model.Revision) *view.View
}

// newPair returns a pair whose manager has completed the takeover of the target.
func newPair(t *testing.T) *pair {
	t.Helper()
	catalog, err := conf.Parse("pair", []byte(clusterConfig), 1)
	assert.NilError(t, err)
	p := &pair{
		now:            time.Unix(1_000_000, 0),
		holderAddress:  netip.MustParseAddrPort("10.0.0.1:1"),
		managerAddress: netip.MustParseAddrPort("10.0.0.2:1"),
		target:         netip.MustParseAddrPort("10.0.1.1:1"),
	}
	p.view = func(self netip.AddrPort, revision model.Revision) *view.View {
		l := &model.HostList{
			Revision: revision,
			Hosts:    []model.Host{{Peer: p.holderAddress, Zone: "b", State: model.Live}, {Peer: p.managerAddress, Zone: "a", State: model.Live}},
			Targets:  []model.Target{{Address: p.target, Service: "lm", Zone: "a", State: model.Live}},
		}
		return view.New(self, "a", catalog, l, map[netip.AddrPort]bool{p.holderAddress: true, p.managerAddress: true})
	}
	p.holder, p.manager = NewHolder(1, p.now), NewManager(2)
	p.holder.UpdateView(p.view(p.holderAddress, 1))
	p.manager.UpdateView(p.now, p.view(p.managerAddress, 1))
	own := NewHolder(2, p.now)
	own.UpdateView(p.view(p.managerAddress, 1))
	for _, out := range p.manager.Flush() {
		if out.Holder == p.managerAddress {
			own.Receive(p.managerAddress, out.Message, p.manager)
		} else {
			p.holder.Receive(p.managerAddress, out.Message, p.manager)
		}
	}
	for _, out := range own.Flush(p.now) {
		p.manager.Receive(p.now, p.managerAddress, out.Message)
	}
	p.deliverToManager()
	assert.Assert(t, p.manager.targets[p.target].takeoverDone)
	return p
}

func (p *pair) deliverToManager() {
	for _, out := range p.holder.Flush(p.now) {
		p.manager.Receive(p.now, p.holderAddress, out.Message)
	}
}

func (p *pair) deliverToHolder() []Event {
	var events []Event
	for _, out := range p.manager.Flush() {
		if out.Holder == p.holderAddress {
			events = append(events, p.holder.Receive(p.managerAddress, out.Message, p.manager)...)
		}
	}
	return events
}

func (p *pair) ask(ticket Ticket) {
	p.holder.Ask(p.now, ticket, &model.Request{Deadline: p.now.Add(time.Minute)}, p.target)
}

func (p *pair) running() int { return len(p.manager.targets[p.target].running) }

// Regression test: a holder without permits or asks sent nothing after a connection was
// lost. If the lost messages included a release, its slot was never freed.
func TestLostReleaseIsRecovered(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.deliverToManager()
	assert.Equal(t, len(p.deliverToHolder()), 1)
	p.holder.Release(1, p.target, limit.Result{Kind: limit.Completed})
	p.holder.Flush(p.now) // lost with the connection
	assert.Equal(t, p.running(), 1)
	p.holder.MessagesLost(p.managerAddress)
	p.deliverToManager()
	assert.Equal(t, p.running(), 0)
}

// A lost grant causes a gap in the sequence numbers, which the holder detects at the next
// message. Its full state then lists the ask, and the manager grants it again.
func TestLostGrantIsRecovered(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.deliverToManager()
	p.manager.Flush() // lost
	assert.Equal(t, p.running(), 1)
	p.manager.MessagesLost(p.holderAddress)
	assert.Equal(t, len(p.deliverToHolder()), 0)
	p.deliverToManager()
	events := p.deliverToHolder()
	assert.Equal(t, len(events), 1)
	assert.Equal(t, events[0].Kind, Granted)
	assert.Equal(t, p.running(), 1)
}

// A full state that was in transit when the manager granted a permit must not free that
// permit, although it does not list it.
func TestFullStateInTransitKeepsNewGrant(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.holder.MessagesLost(p.managerAddress)
	p.deliverToManager() // full state with ask 1; the grant is now in transit
	p.holder.MessagesLost(p.managerAddress)
	p.deliverToManager() // another full state, sent before the grant arrived
	assert.Equal(t, p.running(), 1)
	assert.Equal(t, len(p.deliverToHolder()), 1)
	assert.Equal(t, p.running(), 1)
}

// Regression test: when a permit was granted a second time, the holder released the
// second grant, which freed the slot of the request that was running.
func TestRepeatedGrantDoesNotFreeRunningPermit(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.deliverToManager()
	assert.Equal(t, len(p.deliverToHolder()), 1)
	repeated := FromManager{Incarnation: 2, Fence: 1, Seq: p.holder.links[p.managerAddress].receivedSeq + 1, Grants: []Grant{{Ticket: 1, Target: p.target}}}
	assert.Equal(t, len(p.holder.Receive(p.managerAddress, repeated, p.manager)), 0)
	p.deliverToManager()
	assert.Equal(t, p.running(), 1)
}

// Regression test: a manager that had been replaced according to a newer host list
// reused its old state when an even newer list made it manager again.
func TestSupersededManagerStartsNewTakeover(t *testing.T) {
	p := newPair(t)
	p.manager.Supersede(p.target, 2)
	assert.Assert(t, p.manager.targets[p.target] == nil)
	p.manager.UpdateView(p.now, p.view(p.managerAddress, 1))
	assert.Assert(t, p.manager.targets[p.target] == nil, "an old host list restored the target")
	p.manager.UpdateView(p.now, p.view(p.managerAddress, 3))
	assert.Assert(t, !p.manager.targets[p.target].takeoverDone)
}

// A grant that echoes an old timestamp was delayed, in transit or because the process was
// paused. It must have expired when the holder handles it.
func TestGrantExpiresByHoldersClock(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.deliverToManager()
	p.now = p.now.Add(5 * time.Second) // the process is paused
	events := p.deliverToHolder()
	assert.Equal(t, len(events), 1)
	assert.Assert(t, !p.now.Before(events[0].Expires))
}

// A grant is delayed until the holder has accepted another manager's claim and a newer
// host list has made the sender of the grant the manager again. The grant must be
// rejected.
func TestGrantOlderThanAcceptedClaimIsRejected(t *testing.T) {
	p := newPair(t)
	p.ask(1)
	p.deliverToManager()
	delayed := p.manager.Flush()
	other := FromManager{Incarnation: 9, Fence: 2, Seq: 1, Claims: []Claim{{Target: p.target, Number: 1}}}
	p.holder.Receive(p.holderAddress, other, p.manager)
	p.holder.UpdateView(p.view(p.holderAddress, 3))
	p.ask(1)
	for _, out := range delayed {
		if out.Holder == p.holderAddress {
			assert.Equal(t, len(p.holder.Receive(p.managerAddress, out.Message, p.manager)), 0)
		}
	}
	assert.Equal(t, p.holder.PermitCount(), 0)
}
