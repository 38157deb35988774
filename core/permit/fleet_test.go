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
	clusterHosts   = 4
	slotsPerTarget = 2
	tickPeriod     = 250 * time.Millisecond
)

var clusterConfig = `
Tiers: [{Name: Order}, {Name: Live}, {Name: Draft}]
Zones: [{Name: a}]
Services:
  - {Name: lm, Kind: Plain, Cold: {Slots: 2}, Warm: {Slots: 2}}
Workspaces: []
`

// node is one host of the simulated cluster, with a manager and a holder.
type node struct {
	address netip.AddrPort
	manager *Manager
	holder  *Holder
	alive   map[netip.AddrPort]bool
	list    *model.HostList // last list that this node has read
}

// linkKey identifies the link from one node to another, by index.
type linkKey struct{ from, to int }

// runningRequest is a request that is running on a target.
type runningRequest struct {
	node        int
	incarnation model.Incarnation
	ticket      Ticket
	target      netip.AddrPort
}

// cluster simulates hosts that are connected by ordered links which can lose messages.
// It tracks the requests that are running on each target.
type cluster struct {
	t               *rapid.T
	now             time.Time
	list            *model.HostList
	catalog         *conf.Catalog
	nodes           []*node
	links           map[linkKey][]any
	cutLinks        map[linkKey]bool
	requests        []runningRequest
	lastTicket      Ticket
	lastIncarnation model.Incarnation
	history         map[netip.AddrPort][]sample // number of running requests over time
	granted         int
	sides           []bool      // side of the partition, by node
	detectionTimes  []time.Time // when each node detects the partition; zero once it has
}

// sample is a target's number of running requests from a point in time on.
type sample struct {
	at      time.Time
	running int
}

func newCluster(t *rapid.T) *cluster {
	catalog, err := conf.Parse("cluster", []byte(clusterConfig), 1)
	assert.NilError(t, err)
	c := &cluster{
		t: t, now: time.Unix(1_000_000, 0), catalog: catalog, list: &model.HostList{Revision: 1},
		links: map[linkKey][]any{}, cutLinks: map[linkKey]bool{}, history: map[netip.AddrPort][]sample{},
	}
	for i := range clusterHosts {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
		c.list.Hosts = append(c.list.Hosts, model.Host{Peer: a, Zone: "a", State: model.Live})
	}
	for i := range 3 {
		a := netip.MustParseAddrPort(fmt.Sprintf("10.0.1.%d:1", i+1))
		c.list.Targets = append(c.list.Targets, model.Target{Address: a, Service: "lm", Zone: "a", State: model.Live})
	}
	for i := range clusterHosts {
		c.nodes = append(c.nodes, &node{address: c.list.Hosts[i].Peer, alive: c.allAlive(), list: c.list})
		c.start(i)
	}
	return c
}

func (c *cluster) allAlive() map[netip.AddrPort]bool {
	alive := map[netip.AddrPort]bool{}
	for _, h := range c.list.Hosts {
		alive[h.Peer] = true
	}
	return alive
}

// start starts a new process on a node.
func (c *cluster) start(i int) {
	c.lastIncarnation++
	n := c.nodes[i]
	n.manager = NewManager(c.lastIncarnation)
	n.holder = NewHolder(c.lastIncarnation, c.now)
	c.updateView(i)
}

// updateView gives a node a view of its list and the hosts that it considers alive.
func (c *cluster) updateView(i int) {
	n := c.nodes[i]
	v := view.New(n.address, "a", c.catalog, n.list, maps.Clone(n.alive))
	n.manager.UpdateView(c.now, v)
	c.handleEvents(i, n.holder.UpdateView(v))
	c.flush(i)
}

// flush puts a node's pending messages on its links. Messages to itself are handled at
// once.
func (c *cluster) flush(i int) {
	n := c.nodes[i]
	for progress := true; progress; {
		progress = false
		for _, m := range n.holder.Flush(c.now) {
			if m.Manager == n.address {
				n.manager.Receive(c.now, n.address, m.Message)
				progress = true
				continue
			}
			c.send(i, m.Manager, m.Message)
		}
		for _, m := range n.manager.Flush() {
			if m.Holder == n.address {
				c.handleEvents(i, n.holder.Receive(n.address, m.Message, n.manager))
				progress = true
				continue
			}
			c.send(i, m.Holder, m.Message)
		}
	}
}

func (c *cluster) send(from int, to netip.AddrPort, m any) {
	k := linkKey{from, c.index(to)}
	if c.cutLinks[k] {
		c.nodes[from].holder.MessagesLost(to)
		c.nodes[from].manager.MessagesLost(to)
		return
	}
	c.links[k] = append(c.links[k], m)
}

func (c *cluster) index(a netip.AddrPort) int {
	return slices.IndexFunc(c.list.Hosts, func(h model.Host) bool { return h.Peer == a })
}

// handleEvents starts the granted requests and checks the limits of their targets.
func (c *cluster) handleEvents(i int, events []Event) {
	for _, e := range events {
		if e.Kind != Granted {
			continue
		}
		if !c.now.Before(e.Expires) {
			c.nodes[i].holder.Release(e.Ticket, e.Target, limit.Result{Kind: limit.Unused})
			continue
		}
		c.granted++
		c.requests = append(c.requests, runningRequest{i, c.nodes[i].manager.incarnation, e.Ticket, e.Target})
		c.sample(e.Target)
		c.checkLimit(e.Target)
	}
}

func (c *cluster) runningOn(target netip.AddrPort) int {
	n := 0
	for _, r := range c.requests {
		if r.target == target {
			n++
		}
	}
	return n
}

func (c *cluster) checkLimit(target netip.AddrPort) {
	if n := c.runningOn(target); n > slotsPerTarget {
		c.t.Fatalf("target %s runs %d requests, its limit is %d", target, n, slotsPerTarget)
	}
}

// deliver delivers the next message of a link.
func (c *cluster) deliver(k linkKey) {
	m := c.links[k][0]
	c.links[k] = c.links[k][1:]
	n, from := c.nodes[k.to], c.nodes[k.from].address
	switch m := m.(type) {
	case FromHolder:
		n.manager.Receive(c.now, from, m)
	case FromManager:
		c.handleEvents(k.to, n.holder.Receive(from, m, n.manager))
	}
	c.flush(k.to)
}

// dropMessages drops the messages in transit on a link and notifies the sender.
func (c *cluster) dropMessages(k linkKey) {
	if len(c.links[k]) == 0 {
		return
	}
	delete(c.links, k)
	n, to := c.nodes[k.from], c.nodes[k.to].address
	n.holder.MessagesLost(to)
	n.manager.MessagesLost(to)
	c.flush(k.from)
}

func (c *cluster) finish(at int) {
	r := c.requests[at]
	c.requests = slices.Delete(c.requests, at, at+1)
	c.sample(r.target)
	c.nodes[r.node].holder.Release(r.ticket, r.target, limit.Result{Kind: limit.Completed})
	c.flush(r.node)
}

// restart replaces a node's process. Its requests end, and the messages in transit on
// its links are lost.
func (c *cluster) restart(i int) {
	c.requests = slices.DeleteFunc(c.requests, func(r runningRequest) bool { return r.node == i })
	for other := range c.nodes {
		delete(c.links, linkKey{i, other})
		k := linkKey{other, i}
		delete(c.links, k)
		if other != i {
			c.nodes[other].holder.MessagesLost(c.nodes[i].address)
			c.nodes[other].manager.MessagesLost(c.nodes[i].address)
		}
	}
	c.start(i)
}

// sample records a target's number of running requests, for delayed load reports.
func (c *cluster) sample(target netip.AddrPort) {
	c.history[target] = append(c.history[target], sample{c.now, c.runningOn(target)})
}

// advance advances the time in steps of tickPeriod, and ticks all managers at each.
func (c *cluster) advance(d time.Duration) {
	for d > 0 {
		step := min(d, tickPeriod)
		d -= step
		c.now = c.now.Add(step)
		c.detectPartition()
		for i, n := range c.nodes {
			n.manager.Tick(c.now)
			c.flush(i)
		}
	}
}

// report gives a manager a target's load report with data of the given age.
func (c *cluster) report(i int, target netip.AddrPort, age time.Duration) {
	running := 0
	for _, s := range c.history[target] {
		if !s.at.After(c.now.Add(-age)) {
			running = s.running
		}
	}
	c.nodes[i].manager.Report(c.now, target, 1, running)
}

func (c *cluster) ask(i int, target netip.AddrPort, tier model.Tier) {
	c.lastTicket++
	r := &model.Request{Tier: tier, Workspace: "w", Deadline: c.now.Add(time.Minute)}
	c.nodes[i].holder.Ask(c.now, c.lastTicket, r, target)
	c.flush(i)
}

// step executes one random event of the given kind.
func (c *cluster) step(kind string) {
	switch {
	case kind == "ask":
		i := rapid.IntRange(0, clusterHosts-1).Draw(c.t, "node")
		c.ask(i, c.drawTarget("target"), model.Tier(rapid.IntRange(0, 1).Draw(c.t, "tier")))
	case kind == "finish" && len(c.requests) > 0:
		c.finish(rapid.IntRange(0, len(c.requests)-1).Draw(c.t, "request"))
	case kind == "restart":
		c.restart(rapid.IntRange(0, clusterHosts-1).Draw(c.t, "node"))
	case kind == "advance":
		c.advance(time.Duration(rapid.IntRange(1, 600).Draw(c.t, "ms")) * time.Millisecond)
	case kind == "advance seconds":
		c.advance(time.Duration(rapid.IntRange(1, 5).Draw(c.t, "seconds")) * time.Second)
	case kind == "lose" && len(c.busyLinks()) > 0:
		c.dropMessages(rapid.SampledFrom(c.busyLinks()).Draw(c.t, "link"))
	case len(c.busyLinks()) > 0:
		c.deliver(rapid.SampledFrom(c.busyLinks()).Draw(c.t, "link"))
	}
}

// drawTarget returns a random target.
func (c *cluster) drawTarget(label string) netip.AddrPort {
	return c.list.Targets[rapid.IntRange(0, len(c.list.Targets)-1).Draw(c.t, label)].Address
}

// busyLinks returns the links with messages in transit, in a fixed order.
func (c *cluster) busyLinks() []linkKey {
	var busy []linkKey
	for from := range clusterHosts {
		for to := range clusterHosts {
			if len(c.links[linkKey{from, to}]) > 0 {
				busy = append(busy, linkKey{from, to})
			}
		}
	}
	return busy
}

// deliverAll delivers messages until none are in transit.
func (c *cluster) deliverAll() {
	for range 10_000 {
		busy := c.busyLinks()
		if len(busy) == 0 {
			return
		}
		c.deliver(busy[0])
	}
	c.t.Fatalf("messages are still in transit after 10000 deliveries")
}

// No target exceeds its limit while messages are lost or delayed and hosts restart.
// After the faults have ended, all slots can be used again.
func TestManagerNeverOverloadsTargetUnderLossAndRestarts(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.deliverAll()
		steps := rapid.SliceOfN(rapid.SampledFrom([]string{
			"ask", "ask", "deliver", "deliver", "deliver", "deliver", "finish", "advance", "lose", "restart",
		}), 50, 300).Draw(t, "steps")
		for _, s := range steps {
			c.step(s)
		}
		c.checkNoLeaks()
		granted += c.granted
	})
	assert.Assert(t, granted > 0)
}

// checkNoLeaks checks that no slot has leaked: once all requests have ended and all
// messages are delivered, each target can be filled up to its limit.
func (c *cluster) checkNoLeaks() {
	c.deliverAll()
	for len(c.requests) > 0 {
		c.finish(0)
		c.deliverAll()
	}
	for range 30 {
		c.advance(500 * time.Millisecond)
		c.deliverAll()
		for len(c.requests) > 0 {
			c.finish(0)
			c.deliverAll()
		}
	}
	for _, t := range c.list.Targets {
		for range 3 { // repeats denied asks, as a scheduler does
			for range slotsPerTarget - c.runningOn(t.Address) {
				c.ask(0, t.Address, 0)
			}
			c.deliverAll()
		}
		if n := c.runningOn(t.Address); n != slotsPerTarget {
			c.t.Fatalf("target %s runs %d requests after all faults ended, want %d", t.Address, n, slotsPerTarget)
		}
	}
}

// Targets change managers as hosts leave and return, and hosts read the new host lists
// at different times. No target exceeds its limit, and no slot leaks.
func TestManagementMovesBetweenHostsWithoutOverload(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.deliverAll()
		latest := c.list
		for range rapid.IntRange(50, 300).Draw(t, "steps") {
			switch s := rapid.SampledFrom([]string{
				"ask", "ask", "ask", "deliver", "deliver", "deliver", "deliver", "finish", "advance", "lose", "publish", "read",
			}).Draw(t, "step"); s {
			case "publish":
				latest = c.publish(latest)
			case "read":
				i := rapid.IntRange(0, clusterHosts-1).Draw(t, "node")
				c.nodes[i].list = latest
				c.updateView(i)
			default:
				c.step(s)
			}
		}
		for i, n := range c.nodes {
			n.list = latest
			c.updateView(i)
		}
		c.checkNoLeaks()
		granted += c.granted
	})
	assert.Assert(t, granted > 0)
}

// publish returns the next host list, in which one host has changed between Live and
// Leaving.
func (c *cluster) publish(latest *model.HostList) *model.HostList {
	next := &model.HostList{Revision: latest.Revision + 1, Hosts: slices.Clone(latest.Hosts), Targets: latest.Targets}
	h := &next.Hosts[rapid.IntRange(1, clusterHosts-1).Draw(c.t, "host")]
	if h.State == model.Live {
		h.State = model.Leaving
	} else {
		h.State = model.Live
	}
	return next
}

// A partition splits the hosts of a zone into two sides that can both reach the targets.
// Hosts detect the partition at different times, and load reports are delayed. No
// target may exceed its limit.
func TestPartitionInsideZoneNeverOverloadsColdTarget(t *testing.T) {
	granted := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		c.deliverAll()
		c.startWork()
		side := rapid.SliceOfN(rapid.Bool(), clusterHosts, clusterHosts).Draw(t, "side")
		c.partition(side)
		latest := int((detectionSkew - tickPeriod) / time.Millisecond)
		for range clusterHosts {
			c.detectionTimes = append(c.detectionTimes, c.now.Add(time.Duration(rapid.IntRange(0, latest).Draw(t, "detection"))*time.Millisecond))
		}
		for range rapid.IntRange(60, 300).Draw(t, "steps") {
			c.step(rapid.SampledFrom([]string{"ask", "ask", "ask", "deliver", "deliver", "deliver", "finish", "advance", "advance seconds"}).Draw(t, "step"))
			i := rapid.IntRange(0, clusterHosts-1).Draw(t, "reader")
			c.report(i, c.drawTarget("read"), time.Duration(rapid.IntRange(0, int(maxReportAge/time.Millisecond)).Draw(t, "age"))*time.Millisecond)
		}
		granted += c.granted
	})
	assert.Assert(t, granted > 0)
}

// startWork starts some requests before the partition.
func (c *cluster) startWork() {
	c.advance(time.Millisecond)
	for range rapid.IntRange(0, 8).Draw(c.t, "before") {
		c.step("ask")
	}
	c.deliverAll()
}

// partition cuts the links between the two sides.
func (c *cluster) partition(side []bool) {
	c.sides = side
	for from := range clusterHosts {
		for to := range clusterHosts {
			if side[from] != side[to] {
				k := linkKey{from, to}
				c.cutLinks[k] = true
				c.dropMessages(k)
			}
		}
	}
}

// detectPartition makes the nodes whose detection time has come treat the other side as
// dead.
func (c *cluster) detectPartition() {
	for i, when := range c.detectionTimes {
		if when.IsZero() || c.now.Before(when) {
			continue
		}
		c.detectionTimes[i] = time.Time{}
		for j := range c.sides {
			c.nodes[i].alive[c.nodes[j].address] = c.sides[i] == c.sides[j]
		}
		c.updateView(i)
	}
}
