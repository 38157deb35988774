package permit

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/conf"
	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/queue"
	"yuccadoor/core/view"
)

// Timing parameters and limits of a Manager.
const (
	holderGrace      = 30 * time.Second       // how long permits of an unreachable holder are counted
	takeoverTimeout  = 10 * time.Second       // maximum time to wait for answers to a claim
	detectionSkew    = 3 * time.Second        // maximum difference between two hosts' detection of the same partition
	maxReportAge     = 5 * time.Second        // maximum age of the data in a target's load report
	claimPeriod      = 500 * time.Millisecond // between repetitions of a claim
	maxAsksPerTarget = 4096                   // maximum number of queued asks for one target
	initialBackoff   = 500 * time.Millisecond // after the first failure of a target
	maxBackoff       = 8 * time.Second
	backoffFactor    = 2 // growth with each further failure
	noReport         = -1
)

// holderKey identifies a ticket in the cluster.
type holderKey struct {
	holder netip.AddrPort
	ticket Ticket
}

// issuedPermit is a granted permit that has not been released.
type issuedPermit struct {
	workspace  string
	seq        uint64 // Seq of the message with the grant; 0 if the holder reported the permit
	generation uint64 // generation of the target at the time of the grant
}

// managedTarget is the state of one target that this host manages.
type managedTarget struct {
	target             model.Target
	limiter            *limit.Limiter
	asks               *queue.Queue[holderKey, waitingAsk]
	running            map[holderKey]issuedPermit
	runningByWorkspace map[string]int    // number of running requests
	generation         uint64            // incremented on failures and resets; results from earlier generations are ignored
	incarnation        model.Incarnation // as last reported; 0 before the first report
	handover           HandoverState     // state from a former manager; zero if none or used
	probing            bool              // grant one permit at a time until a request completes
	downUntil          time.Time
	backoff            time.Duration

	// State of the takeover. A new manager grants no permits until every listed
	// host has reported its holdings or takeoverDeadline has passed. After the
	// deadline, while some hosts have not answered, it uses the target's load
	// report as the number of permits that they hold.
	takeoverDone     bool
	answered         map[netip.AddrPort]bool // whether a host has answered the current claim
	takeoverDeadline time.Time
	reportsValidFrom time.Time // earlier reports may contain data from before the partition
	claimSentAt      time.Time
	claimNumber      uint64 // Claim.Number of the current claim
	reportedRunning  int    // running requests in the target's last report; noReport before the first
}

// holderLink is the protocol state for one holder.
type holderLink struct {
	incarnation model.Incarnation
	receivedSeq uint64        // Seq of the last message from it
	newestSent  time.Duration // latest FromHolder.Sent, to be echoed
	sentSeq     uint64        // Seq of the last message to it
	outbox      FromManager
	pending     bool      // a message must be sent
	graceStart  time.Time // start of the current holderGrace period; zero while the holder is alive
}

// Manager grants permits for the targets that this host manages. It is not safe for
// concurrent use.
type Manager struct {
	incarnation   model.Incarnation
	view          *view.View
	targets       map[netip.AddrPort]*managedTarget
	holderLinks   map[netip.AddrPort]*holderLink
	targetOrder   []netip.AddrPort                  // addresses of the managed targets, in a fixed order of processing
	formerTargets map[netip.AddrPort]HandoverState  // state of targets that other hosts manage now
	supersededBy  map[netip.AddrPort]model.Revision // revision of the host list by which another host took over
	lastClaim     uint64
}

// NewManager returns a manager without targets.
func NewManager(incarnation model.Incarnation) *Manager {
	return &Manager{
		incarnation:   incarnation,
		targets:       map[netip.AddrPort]*managedTarget{},
		holderLinks:   map[netip.AddrPort]*holderLink{},
		formerTargets: map[netip.AddrPort]HandoverState{},
		supersededBy:  map[netip.AddrPort]model.Revision{},
	}
}

// UpdateView replaces the view of the cluster. It starts or stops managing targets
// accordingly and updates their limits from the catalog.
func (m *Manager) UpdateView(now time.Time, v *view.View) {
	previous := m.view
	m.view = v
	m.targetOrder = m.targetOrder[:0]
	managed := map[netip.AddrPort]bool{}
	for _, t := range v.ManagedTargets() {
		if v.Catalog == nil || v.Catalog.Services[t.Service] == nil || m.supersededBy[t.Address] > v.List.Revision {
			continue
		}
		managed[t.Address] = true
		m.targetOrder = append(m.targetOrder, t.Address)
		m.updateTarget(now, t, previous)
	}
	for a, t := range m.targets {
		if !managed[a] {
			m.dropTarget(a, t)
		}
	}
	m.updateHolders(now)
	m.grantAll(now)
}

// updateTarget starts or continues managing a target.
func (m *Manager) updateTarget(now time.Time, t model.Target, previous *view.View) {
	s := m.view.Catalog.Services[t.Service]
	g := m.targets[t.Address]
	if g == nil {
		g = &managedTarget{
			target:             t,
			limiter:            limit.NewLimiter(bounds(s)),
			asks:               queue.New[holderKey, waitingAsk](),
			running:            map[holderKey]issuedPermit{},
			runningByWorkspace: map[string]int{},
		}
		m.targets[t.Address] = g
		delete(m.formerTargets, t.Address)
		delete(m.supersededBy, t.Address)
		m.takeOver(now, g)
		return
	}
	g.target = t
	g.limiter.Configure(bounds(s))
	if !m.view.Usable(t.Address) {
		m.denyAll(g, Unusable)
		return
	}
	if previous != nil && !previous.Usable(t.Address) {
		g.reset()
	}
}

func bounds(s *conf.Service) limit.Bounds {
	return limit.Bounds{ColdSlots: s.Cold.Slots, WarmupResults: s.Cold.Results, WarmSlots: s.Warm.Slots}
}

// dropTarget stops managing a target and keeps its state for the next manager.
func (m *Manager) dropTarget(a netip.AddrPort, g *managedTarget) {
	m.denyAll(g, NotManager)
	m.formerTargets[a] = HandoverState{Target: a, Slots: g.limiter.Slots(), Incarnation: g.incarnation}
	delete(m.targets, a)
}

// denyAll rejects all queued asks for a target.
func (m *Manager) denyAll(g *managedTarget, s Status) {
	var keys []holderKey
	g.asks.Each(func(k holderKey, _ waitingAsk) bool {
		keys = append(keys, k)
		return true
	})
	for _, k := range keys {
		g.asks.Remove(k)
		m.queueNotice(k, g.target.Address, s)
	}
}

// updateHolders starts the grace period of holders that have become unreachable, and
// ends that of holders that are alive again. A holder that the platform no longer lists
// is gone, and its requests no longer run.
func (m *Manager) updateHolders(now time.Time) {
	for a, l := range m.holderLinks {
		_, listed := m.view.List.HostByPeer(a)
		switch {
		case !listed:
			m.dropAsks(a)
			m.dropPermits(a)
		case m.view.Alive(a):
			l.graceStart = time.Time{}
		case l.graceStart.IsZero():
			l.graceStart = now
			m.dropAsks(a)
		}
	}
	for _, g := range m.targets {
		m.finishTakeover(g)
	}
}

// dropAsks removes the queued asks of a holder for all targets.
func (m *Manager) dropAsks(holder netip.AddrPort) {
	for _, g := range m.targets {
		var keys []holderKey
		g.asks.Each(func(k holderKey, _ waitingAsk) bool {
			if k.holder == holder {
				keys = append(keys, k)
			}
			return true
		})
		for _, k := range keys {
			g.asks.Remove(k)
		}
	}
}

// dropPermits stops counting the permits of a holder for all targets.
func (m *Manager) dropPermits(holder netip.AddrPort) {
	for _, g := range m.targets {
		for k := range g.running {
			if k.holder == holder {
				g.removeRunning(k)
			}
		}
	}
}

// linkTo returns the protocol state for a holder, creating it if necessary.
func (m *Manager) linkTo(a netip.AddrPort) *holderLink {
	l := m.holderLinks[a]
	if l == nil {
		l = &holderLink{}
		m.holderLinks[a] = l
	}
	return l
}

func (m *Manager) queueNotice(k holderKey, target netip.AddrPort, s Status) {
	l := m.linkTo(k.holder)
	l.pending = true
	l.outbox.Notices = append(l.outbox.Notices, Notice{Ticket: k.ticket, Target: target, Status: s})
}

// Receive handles a message from a holder.
func (m *Manager) Receive(now time.Time, holder netip.AddrPort, in FromHolder) {
	l := m.linkTo(holder)
	if in.Incarnation != l.incarnation {
		if l.incarnation != 0 {
			m.dropAsks(holder)
			m.dropPermits(holder)
		}
		l.incarnation, l.receivedSeq = in.Incarnation, 0
	}
	if in.Seq <= l.receivedSeq {
		return // a duplicate, or older than a full state already handled
	}
	if in.Seq != l.receivedSeq+1 && !in.Full {
		l.outbox.Resync, l.pending = true, true
		return
	}
	l.receivedSeq = in.Seq
	l.newestSent = max(l.newestSent, in.Sent)
	m.apply(now, holder, in)
	m.grantAll(now)
}

// apply handles the contents of a message. Releases and holdings come before asks, so
// that asks are granted according to the slots that are in use.
func (m *Manager) apply(now time.Time, holder netip.AddrPort, in FromHolder) {
	for _, r := range in.Releases {
		m.handleRelease(now, holderKey{holder, r.Ticket}, r)
	}
	for _, w := range in.Withdrawals {
		if g := m.targets[w.Target]; g != nil {
			g.asks.Remove(holderKey{holder, w.Ticket})
		}
	}
	if in.Full {
		m.dropAsks(holder)
		m.reconcile(holder, in)
	}
	for _, h := range in.Holdings {
		if g := m.targets[h.Target]; g != nil {
			g.asks.Remove(holderKey{holder, h.Ticket}) // a former manager granted it
			g.addRunning(holderKey{holder, h.Ticket}, issuedPermit{workspace: h.Workspace, generation: g.generation})
		}
	}
	m.handleAccepted(holder, in)
	for _, a := range in.Asks {
		m.handleAsk(now, holderKey{holder, a.Ticket}, a)
	}
}

// reconcile frees the permits that are missing from a holder's full state, except those
// granted in messages that the holder had not handled when it sent that state.
func (m *Manager) reconcile(holder netip.AddrPort, in FromHolder) {
	held := map[askKey]bool{}
	for _, h := range in.Holdings {
		held[askKey{h.Ticket, h.Target}] = true
	}
	seen := in.Seen
	if in.SeenOf != m.incarnation {
		seen = 0
	}
	for a, g := range m.targets {
		for k, o := range g.running {
			if k.holder == holder && o.seq <= seen && !held[askKey{k.ticket, a}] {
				g.removeRunning(k)
			}
		}
	}
}

func (m *Manager) handleAsk(now time.Time, k holderKey, a Ask) {
	g := m.targets[a.Target]
	switch {
	case g == nil:
		m.queueNotice(k, a.Target, NotManager)
	case !m.view.Usable(a.Target) || now.Before(g.downUntil):
		m.queueNotice(k, a.Target, Unusable)
	case g.asks.Len() >= maxAsksPerTarget:
		m.queueNotice(k, a.Target, QueueFull)
	default:
		if _, exists := g.running[k]; exists {
			return // already granted; the grant is in transit
		}
		a.Tier = m.clampTier(a.Tier)
		g.enqueue(now, k, a)
		m.grantFreeSlots(now, g)
	}
}

func (m *Manager) handleRelease(now time.Time, k holderKey, r Release) {
	g := m.targets[r.Target]
	if g == nil {
		return
	}
	o, ok := g.running[k]
	if !ok {
		return
	}
	g.removeRunning(k)
	if o.generation == g.generation {
		m.observeResult(now, g, r.Result)
	}
}

// observeResult updates a target's limit. After a failure it grants no permits for an
// exponentially growing time, and then one at a time until a request completes.
func (m *Manager) observeResult(now time.Time, g *managedTarget, r limit.Result) {
	turnedCold := g.limiter.Observe(r)
	switch r.Kind {
	case limit.NoConnect, limit.Broken, limit.Silent:
		g.generation++
		g.backoff = min(max(g.backoff*backoffFactor, initialBackoff), maxBackoff)
		g.downUntil = now.Add(g.backoff)
		g.probing = true
		m.denyAll(g, Unusable)
	case limit.Completed:
		g.backoff = 0
		g.probing = false
	case limit.Unused, limit.Cancelled, limit.Overloaded:
	}
	if turnedCold {
		g.generation++
	}
}

// Report handles a target's load report: its incarnation and its number of running
// requests. A target whose incarnation has changed starts cold. A target that still has
// the incarnation in a former manager's handover keeps the limit from that handover.
func (m *Manager) Report(now time.Time, target netip.AddrPort, incarnation model.Incarnation, running int) {
	g := m.targets[target]
	if g == nil {
		return
	}
	if !now.Before(g.reportsValidFrom) {
		g.reportedRunning = running
	}
	if g.incarnation != 0 && g.incarnation != incarnation {
		g.reset()
	}
	g.incarnation = incarnation
	g.restoreLimit()
}

// MessagesLost must be called when messages to a holder may not have arrived. The next
// message shows the holder a gap in the sequence, and it responds with its full state.
func (m *Manager) MessagesLost(holder netip.AddrPort) {
	if l := m.holderLinks[holder]; l != nil {
		l.pending = true
	}
}

// restoreLimit applies the limit from a former manager's handover if the target's
// incarnation is the same and the limit has not been reset since.
func (g *managedTarget) restoreLimit() {
	if g.generation == 0 && g.incarnation != 0 && g.handover.Incarnation == g.incarnation {
		g.limiter.Restore(g.handover.Slots)
	}
	if g.incarnation != 0 {
		g.handover = HandoverState{}
	}
}

// reset makes the target cold and starts a new generation.
func (g *managedTarget) reset() {
	g.limiter.Reset()
	g.generation++
}

func (g *managedTarget) addRunning(k holderKey, o issuedPermit) {
	if _, exists := g.running[k]; exists {
		return
	}
	g.running[k] = o
	g.runningByWorkspace[o.workspace]++
}

func (g *managedTarget) removeRunning(k holderKey) {
	o, ok := g.running[k]
	if !ok {
		return
	}
	delete(g.running, k)
	g.runningByWorkspace[o.workspace]--
	if g.runningByWorkspace[o.workspace] == 0 {
		delete(g.runningByWorkspace, o.workspace)
	}
}

// Tick handles timeouts of holders and repeats unanswered claims. It must be called
// periodically.
func (m *Manager) Tick(now time.Time) {
	for a, l := range m.holderLinks {
		if !l.graceStart.IsZero() && now.Sub(l.graceStart) > holderGrace {
			l.graceStart = now
			m.distrustHolder(now, a)
		}
	}
	for _, a := range m.targetOrder {
		g := m.targets[a]
		if !g.takeoverDone && now.Sub(g.claimSentAt) >= claimPeriod {
			m.sendClaims(now, g)
		}
	}
	m.grantAll(now)
}

func (m *Manager) grantAll(now time.Time) {
	for _, a := range m.targetOrder {
		m.grantFreeSlots(now, m.targets[a])
	}
}

// Flush returns the pending messages, at most one per holder.
func (m *Manager) Flush() []ToHolder {
	var out []ToHolder
	for a, l := range m.holderLinks {
		if !l.pending {
			continue
		}
		l.sentSeq++
		msg := l.outbox
		msg.Incarnation, msg.Seq, msg.Echo = m.incarnation, l.sentSeq, l.newestSent
		msg.Fence = m.view.List.Revision
		l.outbox, l.pending = FromManager{}, false
		out = append(out, ToHolder{Holder: a, Message: msg})
	}
	slices.SortFunc(out, func(a, b ToHolder) int { return a.Holder.Compare(b.Holder) })
	return out
}

// TargetLoad is the state of one managed target, for status reports.
type TargetLoad struct {
	Target  netip.AddrPort
	Service string
	Zone    string
	Slots   int
	Running int
	Asks    int
	Down    bool
}

// Loads returns the state of all managed targets, sorted by address.
func (m *Manager) Loads(now time.Time) []TargetLoad {
	loads := make([]TargetLoad, 0, len(m.targets))
	for a, g := range m.targets {
		loads = append(loads, TargetLoad{
			Target: a, Service: g.target.Service, Zone: g.target.Zone,
			Slots: m.permitLimit(g), Running: len(g.running), Asks: g.asks.Len(),
			Down: now.Before(g.downUntil),
		})
	}
	slices.SortFunc(loads, func(a, b TargetLoad) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
	return loads
}
