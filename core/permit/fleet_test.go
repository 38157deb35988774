package permit

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/conf"
	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
)

const (
	fleetHosts = 4
	fleetSlots = 2
	passPiece  = 250 * time.Millisecond
)

var fleetText = `
Tiers: [{Name: Order}, {Name: Live}, {Name: Draft}]
Zones: [{Name: a}]
Services:
  - {Name: lm, Kind: Plain, Cold: {Slots: 2}, Warm: {Slots: 2}}
Workspaces: []
`

// node is one host of the test fleet: a manager and a holder joined by lossy
// ordered links.
type node struct {
	address netip.AddrPort
	manager *Manager
	holder  *Holder
	alive   map[netip.AddrPort]bool
	list    *model.HostList // as this node has read it
}

type linkKey struct{ from, to int }

// job is one request that truly runs on a target.
type job struct {
	node        int
	incarnation model.Incarnation
	ticket      Ticket
	target      netip.AddrPort
}

// fleet drives the protocol and knows the truth.
type fleet struct {
	t       *rapid.T
	now     time.Time
	list    *model.HostList
	catalog *conf.Catalog
	nodes   []*node
	links   map[linkKey][]any
	cut     map[linkKey]bool
	jobs    []job
	ticket  Ticket
	serial  model.Incarnation
	history map[netip.AddrPort][]sample // of the number running
	granted int
	side    []bool      // of a partition, by node
	notices []time.Time // when each node notices it
}

type sample struct {
	at      time.Time
	running int
}

func newFleet(t *rapid.T) *fleet {
	catalog, err := conf.Parse("fleet", []byte(fleetText), 1)
	assert.NilError(t, err)
	f := &fleet{
		t: t, now: time.Unix(1_000_000, 0), catalog: catalog, list: &model.HostList{Revision: 1},
		links: map[linkKey][]any{}, cut: map[linkKey]bool{}, history: map[netip.AddrPort][]sample{},
	}
	for i := range fleetHosts {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		f.list.Hosts = append(f.list.Hosts, model.Host{Peer: a, Zone: "a", State: model.Live})
	}
	for i := range 3 {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", i+1))
		f.list.Targets = append(f.list.Targets, model.Target{Address: a, Service: "lm", Zone: "a", State: model.Live})
	}
	for i := range fleetHosts {
		f.nodes = append(f.nodes, &node{address: f.list.Hosts[i].Peer, alive: f.everyone(), list: f.list})
		f.start(i)
	}
	return f
}

func (f *fleet) everyone() map[netip.AddrPort]bool {
	alive := map[netip.AddrPort]bool{}
	for _, h := range f.list.Hosts {
		alive[h.Peer] = true
	}
	return alive
}

// start gives a node a new process.
func (f *fleet) start(i int) {
	f.serial++
	n := f.nodes[i]
	n.manager = NewManager(f.serial)
	n.holder = NewHolder(f.serial, f.now)
	f.adopt(i)
}

func (f *fleet) adopt(i int) {
	n := f.nodes[i]
	v := view.New(n.address, "a", f.catalog, n.list, maps.Clone(n.alive))
	n.manager.UpdateView(f.now, v)
	f.happened(i, n.holder.UpdateView(v))
	f.flush(i)
}

// flush puts what a node wants to send on its links.
func (f *fleet) flush(i int) {
	n := f.nodes[i]
	for again := true; again; {
		again = false
		for _, m := range n.holder.Flush(f.now) {
			if m.Manager == n.address {
				n.manager.Receive(f.now, n.address, m.Message)
				again = true
				continue
			}
			f.send(i, m.Manager, m.Message)
		}
		for _, m := range n.manager.Flush() {
			if m.Holder == n.address {
				f.happened(i, n.holder.Receive(n.address, m.Message, n.manager))
				again = true
				continue
			}
			f.send(i, m.Holder, m.Message)
		}
	}
}

func (f *fleet) send(from int, to netip.AddrPort, m any) {
	k := linkKey{from, f.index(to)}
	if f.cut[k] {
		f.nodes[from].holder.MessagesLost(to)
		f.nodes[from].manager.MessagesLost(to)
		return
	}
	f.links[k] = append(f.links[k], m)
}

func (f *fleet) index(a netip.AddrPort) int {
	return slices.IndexFunc(f.list.Hosts, func(h model.Host) bool { return h.Peer == a })
}

// happened starts what has been granted, and checks the truth.
func (f *fleet) happened(i int, events []Event) {
	for _, e := range events {
		if e.Kind != Granted {
			continue
		}
		if !f.now.Before(e.Expires) {
			f.nodes[i].holder.Release(e.Ticket, e.Target, limit.Result{Kind: limit.Unused})
			continue
		}
		f.granted++
		f.jobs = append(f.jobs, job{i, f.nodes[i].manager.incarnation, e.Ticket, e.Target})
		f.sample(e.Target)
		f.check(e.Target)
	}
}

func (f *fleet) runningOn(target netip.AddrPort) int {
	n := 0
	for _, j := range f.jobs {
		if j.target == target {
			n++
		}
	}
	return n
}

func (f *fleet) check(target netip.AddrPort) {
	if n := f.runningOn(target); n > fleetSlots {
		f.t.Fatalf("target %s runs %d, bears %d", target, n, fleetSlots)
	}
}

// deliver hands over the next message of a link.
func (f *fleet) deliver(k linkKey) {
	m := f.links[k][0]
	f.links[k] = f.links[k][1:]
	n, from := f.nodes[k.to], f.nodes[k.from].address
	switch m := m.(type) {
	case FromHolder:
		n.manager.Receive(f.now, from, m)
	case FromManager:
		f.happened(k.to, n.holder.Receive(from, m, n.manager))
	}
	f.flush(k.to)
}

// lose drops what is under way on a link; its sender learns of that.
func (f *fleet) lose(k linkKey) {
	if len(f.links[k]) == 0 {
		return
	}
	delete(f.links, k)
	n, to := f.nodes[k.from], f.nodes[k.to].address
	n.holder.MessagesLost(to)
	n.manager.MessagesLost(to)
	f.flush(k.from)
}

func (f *fleet) finish(at int) {
	j := f.jobs[at]
	f.jobs = slices.Delete(f.jobs, at, at+1)
	f.sample(j.target)
	f.nodes[j.node].holder.Release(j.ticket, j.target, limit.Result{Kind: limit.Completed})
	f.flush(j.node)
}

// restart replaces a node's process: what it ran is cut off, and so is what is
// under way on its links.
func (f *fleet) restart(i int) {
	f.jobs = slices.DeleteFunc(f.jobs, func(j job) bool { return j.node == i })
	for other := range f.nodes {
		delete(f.links, linkKey{i, other})
		k := linkKey{other, i}
		delete(f.links, k)
		if other != i {
			f.nodes[other].holder.MessagesLost(f.nodes[i].address)
			f.nodes[other].manager.MessagesLost(f.nodes[i].address)
		}
	}
	f.start(i)
}

// sample records what a target runs, for its lagging reports.
func (f *fleet) sample(target netip.AddrPort) {
	f.history[target] = append(f.history[target], sample{f.now, f.runningOn(target)})
}

// pass lets time go by in small pieces, as a host's ticker does.
func (f *fleet) pass(d time.Duration) {
	for d > 0 {
		piece := min(d, passPiece)
		d -= piece
		f.now = f.now.Add(piece)
		f.notice()
		for i, n := range f.nodes {
			n.manager.Tick(f.now)
			f.flush(i)
		}
	}
}

// report gives a manager a target's account as it was a while ago.
func (f *fleet) report(i int, target netip.AddrPort, age time.Duration) {
	running := 0
	for _, s := range f.history[target] {
		if !s.at.After(f.now.Add(-age)) {
			running = s.running
		}
	}
	f.nodes[i].manager.Report(f.now, target, 1, running)
}

func (f *fleet) ask(i int, target netip.AddrPort, tier model.Tier) {
	f.ticket++
	r := &model.Request{Tier: tier, Workspace: "w", Deadline: f.now.Add(time.Minute)}
	f.nodes[i].holder.Ask(f.now, f.ticket, r, target)
	f.flush(i)
}

// step does one random thing that may happen at any moment.
func (f *fleet) step(what string) {
	switch {
	case what == "ask":
		i := rapid.IntRange(0, fleetHosts-1).Draw(f.t, "node")
		f.ask(i, f.target("target"), model.Tier(rapid.IntRange(0, 1).Draw(f.t, "tier")))
	case what == "finish" && len(f.jobs) > 0:
		f.finish(rapid.IntRange(0, len(f.jobs)-1).Draw(f.t, "job"))
	case what == "restart":
		f.restart(rapid.IntRange(0, fleetHosts-1).Draw(f.t, "node"))
	case what == "pass":
		f.pass(time.Duration(rapid.IntRange(1, 600).Draw(f.t, "ms")) * time.Millisecond)
	case what == "leap":
		f.pass(time.Duration(rapid.IntRange(1, 5).Draw(f.t, "seconds")) * time.Second)
	case what == "lose" && len(f.busy()) > 0:
		f.lose(rapid.SampledFrom(f.busy()).Draw(f.t, "link"))
	case len(f.busy()) > 0:
		f.deliver(rapid.SampledFrom(f.busy()).Draw(f.t, "link"))
	}
}

// target draws one of the targets.
func (f *fleet) target(label string) netip.AddrPort {
	return f.list.Targets[rapid.IntRange(0, len(f.list.Targets)-1).Draw(f.t, label)].Address
}

// busy lists the links with messages under way, in a fixed order.
func (f *fleet) busy() []linkKey {
	var busy []linkKey
	for from := range fleetHosts {
		for to := range fleetHosts {
			if len(f.links[linkKey{from, to}]) > 0 {
				busy = append(busy, linkKey{from, to})
			}
		}
	}
	return busy
}

// settle delivers everything until nothing is under way.
func (f *fleet) settle() {
	for range 10_000 {
		busy := f.busy()
		if len(busy) == 0 {
			return
		}
		f.deliver(busy[0])
	}
	f.t.Fatalf("messages never end")
}

// No target is ever given more than it bears, whatever is lost, delayed or
// restarted; and when the faults end, every slot can be used again.
func TestManagerNeverOverrunsTargetUnderLossAndRestarts(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.settle()
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{
			"ask", "ask", "deliver", "deliver", "deliver", "deliver", "finish", "pass", "lose", "restart",
		}), 50, 300).Draw(t, "steps")
		for _, s := range steps {
			f.step(s)
		}
		f.recover()
		granted += f.granted
	})
	assert.Assert(t, granted > 0)
}

// recover checks that no slot has leaked: after all work has ended and links
// work again, each target fills up to its limit.
func (f *fleet) recover() {
	f.settle()
	for len(f.jobs) > 0 {
		f.finish(0)
		f.settle()
	}
	for range 30 {
		f.pass(500 * time.Millisecond)
		f.settle()
		for len(f.jobs) > 0 {
			f.finish(0)
			f.settle()
		}
	}
	for _, t := range f.list.Targets {
		for range 3 { // a denied ask is asked again, as a scheduler would
			for range fleetSlots - f.runningOn(t.Address) {
				f.ask(0, t.Address, 0)
			}
			f.settle()
		}
		if n := f.runningOn(t.Address); n != fleetSlots {
			f.t.Fatalf("target %s runs %d of %d after all faults ended", t.Address, n, fleetSlots)
		}
	}
}

// Management of targets moves as hosts leave and return; every host reads the
// list at its own time. Nothing is overrun, and no slot is lost.
func TestManagementMovesBetweenHostsWithoutOverrun(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.settle()
		latest := f.list
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			switch s := rapid.SampledFrom([]string{
				"ask", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "finish", "pass", "lose", "publish", "read",
			}).Draw(t, "step"); s {
			case "publish":
				latest = f.publish(latest)
			case "read":
				i := rapid.IntRange(0, fleetHosts-1).Draw(t, "node")
				f.nodes[i].list = latest
				f.adopt(i)
			default:
				f.step(s)
			}
		}
		for i, n := range f.nodes {
			n.list = latest
			f.adopt(i)
		}
		f.recover()
		granted += f.granted
	})
	assert.Assert(t, granted > 0)
}

// publish makes the next list: one host changes between live and leaving.
func (f *fleet) publish(latest *model.HostList) *model.HostList {
	next := &model.HostList{Revision: latest.Revision + 1, Hosts: slices.Clone(latest.Hosts), Targets: latest.Targets}
	h := &next.Hosts[rapid.IntRange(1, fleetHosts-1).Draw(f.t, "host")]
	if h.State == model.Live {
		h.State = model.Leaving
	} else {
		h.State = model.Live
	}
	return next
}

// A zone's hosts are cut into two sides that both reach the targets. Each side
// notices at its own time; targets report late. Still no target is overrun.
func TestPartitionInsideZoneNeverOverrunsColdTarget(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(t)
		f.settle()
		f.prelude()
		side := rapid.SliceOfN(rapid.Bool(), fleetHosts, fleetHosts).Draw(t, "side")
		f.partition(side)
		latest := int((noticeSkew - passPiece) / time.Millisecond)
		for range fleetHosts {
			f.notices = append(f.notices, f.now.Add(time.Duration(rapid.IntRange(0, latest).Draw(t, "notice"))*time.Millisecond))
		}
		for range rapid.IntRange(60, 300).Draw(t, "steps") {
			f.step(rapid.SampledFrom([]string{"ask", "ask", "ask", "deliver", "deliver", "deliver", "finish", "pass", "leap"}).Draw(t, "step"))
			i := rapid.IntRange(0, fleetHosts-1).Draw(t, "reader")
			f.report(i, f.target("read"), time.Duration(rapid.IntRange(0, int(reportLag/time.Millisecond)).Draw(t, "age"))*time.Millisecond)
		}
		granted += f.granted
	})
	assert.Assert(t, granted > 0)
}

// prelude lets some work start before the cut.
func (f *fleet) prelude() {
	f.pass(time.Millisecond)
	for range rapid.IntRange(0, 8).Draw(f.t, "before") {
		f.step("ask")
	}
	f.settle()
}

func (f *fleet) partition(side []bool) {
	f.side = side
	for from := range fleetHosts {
		for to := range fleetHosts {
			if side[from] != side[to] {
				k := linkKey{from, to}
				f.cut[k] = true
				f.lose(k)
			}
		}
	}
}

// notice makes nodes whose time has come see the other side as dead.
func (f *fleet) notice() {
	for i, when := range f.notices {
		if when.IsZero() || f.now.Before(when) {
			continue
		}
		f.notices[i] = time.Time{}
		for j := range f.side {
			f.nodes[i].alive[f.nodes[j].address] = f.side[i] == f.side[j]
		}
		f.adopt(i)
	}
}
