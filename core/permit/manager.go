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

// Times and bounds of the manager's side.
const (
	holderGrace   = 30 * time.Second       // permits of a lost holder count this long
	takeoverWait  = 10 * time.Second       // longest wait for answers to a claim
	noticeSkew    = 3 * time.Second        // between two hosts' noticing the same cut
	reportLag     = 5 * time.Second        // oldest load report that a target gives
	claimPeriod   = 500 * time.Millisecond // between repeats of a claim
	maxAsks       = 4096                   // asks kept for one target
	backoffFirst  = 500 * time.Millisecond // after a target failed
	backoffLast   = 8 * time.Second
	backoffFactor = 2
	unreported    = -1
)

// holderKey names a ticket across the fleet.
type holderKey struct {
	holder netip.AddrPort
	ticket Ticket
}

type outstanding struct {
	workspace string
	seq       uint64 // message in which the grant went out; 0 when learnt from the holder
	era       uint64 // the target's era at the time of the grant
}

// managed is the state of one target under this host's management.
type managed struct {
	target      model.Target
	warmth      *limit.Limiter
	asks        *queue.Queue[holderKey, waitingAsk]
	running     map[holderKey]outstanding
	byWork      map[string]int    // running, by workspace
	era         uint64            // counts resets; results of an earlier era do not warm
	incarnation model.Incarnation // last reported; 0 before the first report
	known       HandoverState     // what a former manager said
	probing     bool              // one trial at a time until a result comes
	downTil     time.Time
	backoff     time.Duration

	// A new manager grants nothing until every listed host has said what it
	// holds, or waitTil passes. After that, while some are silent, it takes the
	// target's own report for what they hold.
	settled  bool
	answered map[netip.AddrPort]bool
	waitTil  time.Time
	trustAt  time.Time // reports read earlier may show the time before the cut
	askedAt  time.Time
	claim    uint64 // number of the take-over
	reported int    // running by the target's last report; negative before the first
}

// peer is the state of the protocol with one holder.
type peer struct {
	incarnation model.Incarnation
	heard       uint64 // Seq of its last message
	echo        time.Duration
	seq         uint64 // of the last message to it
	out         FromManager
	pending     bool
	lostAt      time.Time // zero while the holder is alive
}

// Manager grants permits for the targets that this host manages. One goroutine
// owns it.
type Manager struct {
	incarnation model.Incarnation
	view        *view.View
	targets     map[netip.AddrPort]*managed
	peers       map[netip.AddrPort]*peer
	order       []netip.AddrPort                  // of targets, for a fixed order of work
	retired     map[netip.AddrPort]HandoverState  // targets that other hosts manage now
	superseded  map[netip.AddrPort]model.Revision // by which list another host took over
	claims      uint64
}

// NewManager returns a manager without targets.
func NewManager(incarnation model.Incarnation) *Manager {
	return &Manager{
		incarnation: incarnation,
		targets:     map[netip.AddrPort]*managed{},
		peers:       map[netip.AddrPort]*peer{},
		retired:     map[netip.AddrPort]HandoverState{},
		superseded:  map[netip.AddrPort]model.Revision{},
	}
}

// UpdateView takes a new snapshot: targets come under management or leave it, and
// limits follow the catalog.
func (m *Manager) UpdateView(now time.Time, v *view.View) {
	was := m.view
	m.view = v
	m.order = m.order[:0]
	mine := map[netip.AddrPort]bool{}
	for _, t := range v.Managed() {
		if v.Catalog == nil || v.Catalog.Services[t.Service] == nil || m.superseded[t.Address] > v.List.Revision {
			continue
		}
		mine[t.Address] = true
		m.order = append(m.order, t.Address)
		m.adoptTarget(now, t, was)
	}
	for a, t := range m.targets {
		if !mine[a] {
			m.dropTarget(a, t)
		}
	}
	m.watchPeers(now)
	m.serveAll(now)
}

func (m *Manager) adoptTarget(now time.Time, t model.Target, was *view.View) {
	s := m.view.Catalog.Services[t.Service]
	g := m.targets[t.Address]
	if g == nil {
		g = &managed{
			target:  t,
			warmth:  limit.NewLimiter(bounds(s)),
			asks:    queue.New[holderKey, waitingAsk](),
			running: map[holderKey]outstanding{},
			byWork:  map[string]int{},
		}
		m.targets[t.Address] = g
		delete(m.retired, t.Address)
		delete(m.superseded, t.Address)
		m.takeOver(now, g)
		return
	}
	g.target = t
	g.warmth.Configure(bounds(s))
	if !m.view.Usable(t.Address) {
		m.denyAll(g, Unusable)
		return
	}
	if was != nil && !was.Usable(t.Address) {
		g.reset()
	}
}

func bounds(s *conf.Service) limit.Bounds {
	return limit.Bounds{ColdSlots: s.Cold.Slots, WarmupResults: s.Cold.Results, WarmSlots: s.Warm.Slots}
}

func (m *Manager) dropTarget(a netip.AddrPort, g *managed) {
	m.denyAll(g, NotManager)
	m.retired[a] = HandoverState{Target: a, Slots: g.warmth.Slots(), Incarnation: g.incarnation}
	delete(m.targets, a)
}

func (m *Manager) denyAll(g *managed, s Status) {
	var keys []holderKey
	g.asks.Each(func(k holderKey, _ waitingAsk) bool {
		keys = append(keys, k)
		return true
	})
	for _, k := range keys {
		g.asks.Remove(k)
		m.notice(k, g.target.Address, s)
	}
}

// watchPeers notes which holders are out of reach since when. One that the
// platform no longer lists is gone, and so is what it ran.
func (m *Manager) watchPeers(now time.Time) {
	for a, p := range m.peers {
		_, listed := m.view.List.HostAt(a)
		switch {
		case !listed:
			m.dropAsks(a)
			m.dropHoldings(a)
		case m.view.Alive(a):
			p.lostAt = time.Time{}
		case p.lostAt.IsZero():
			p.lostAt = now
			m.dropAsks(a)
		}
	}
	for _, g := range m.targets {
		m.settle(g)
	}
}

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

func (m *Manager) dropHoldings(holder netip.AddrPort) {
	for _, g := range m.targets {
		for k := range g.running {
			if k.holder == holder {
				g.stop(k)
			}
		}
	}
}

func (m *Manager) peer(a netip.AddrPort) *peer {
	p := m.peers[a]
	if p == nil {
		p = &peer{}
		m.peers[a] = p
	}
	return p
}

func (m *Manager) notice(k holderKey, target netip.AddrPort, s Status) {
	p := m.peer(k.holder)
	p.pending = true
	p.out.Notices = append(p.out.Notices, Notice{Ticket: k.ticket, Target: target, Status: s})
}

// Receive handles a holder's message.
func (m *Manager) Receive(now time.Time, holder netip.AddrPort, in FromHolder) {
	p := m.peer(holder)
	if in.Incarnation != p.incarnation {
		if p.incarnation != 0 {
			m.dropAsks(holder)
			m.dropHoldings(holder)
		}
		p.incarnation, p.heard = in.Incarnation, 0
	}
	if in.Seq <= p.heard {
		return // a repeat, or crossed with a newer full statement
	}
	if in.Seq != p.heard+1 && !in.Full {
		p.out.Resync, p.pending = true, true
		return
	}
	p.heard = in.Seq
	p.echo = max(p.echo, in.Sent)
	m.apply(now, holder, in)
	m.serveAll(now)
}

func (m *Manager) apply(now time.Time, holder netip.AddrPort, in FromHolder) {
	for _, r := range in.Releases {
		m.release(now, holderKey{holder, r.Ticket}, r)
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
			g.asks.Remove(holderKey{holder, h.Ticket}) // granted by a former manager
			g.start(holderKey{holder, h.Ticket}, outstanding{workspace: h.Workspace, era: g.era})
		}
	}
	m.accepted(holder, in)
	for _, a := range in.Asks {
		m.ask(now, holderKey{holder, a.Ticket}, a)
	}
}

// reconcile frees the permits that a full statement does not name, but for
// those granted in messages that the holder had not yet handled.
func (m *Manager) reconcile(holder netip.AddrPort, in FromHolder) {
	held := map[Withdrawal]bool{}
	for _, h := range in.Holdings {
		held[Withdrawal{h.Ticket, h.Target}] = true
	}
	seen := in.Seen
	if in.SeenOf != m.incarnation {
		seen = 0
	}
	for a, g := range m.targets {
		for k, o := range g.running {
			if k.holder == holder && o.seq <= seen && !held[Withdrawal{k.ticket, a}] {
				g.stop(k)
			}
		}
	}
}

func (m *Manager) ask(now time.Time, k holderKey, a Ask) {
	g := m.targets[a.Target]
	switch {
	case g == nil:
		m.notice(k, a.Target, NotManager)
	case !m.view.Usable(a.Target) || now.Before(g.downTil):
		m.notice(k, a.Target, Unusable)
	case g.asks.Len() >= maxAsks:
		m.notice(k, a.Target, QueueFull)
	default:
		if _, again := g.running[k]; again {
			return // granted already; the grant is on its way
		}
		a.Tier = m.clampTier(a.Tier)
		g.enqueue(now, k, a)
		m.serve(now, g)
	}
}

func (m *Manager) release(now time.Time, k holderKey, r Release) {
	g := m.targets[r.Target]
	if g == nil {
		return
	}
	o, ok := g.running[k]
	if !ok {
		return
	}
	g.stop(k)
	if o.era == g.era {
		m.learn(now, g, r.Result)
	}
}

func (m *Manager) learn(now time.Time, g *managed, r limit.Result) {
	turned := g.warmth.Observe(r)
	switch r.Kind {
	case limit.NoConnect, limit.Broken, limit.Silent:
		g.era++
		g.backoff = min(max(g.backoff*backoffFactor, backoffFirst), backoffLast)
		g.downTil = now.Add(g.backoff)
		g.probing = true
		m.denyAll(g, Unusable)
	case limit.Completed:
		g.backoff = 0
		g.probing = false
	case limit.Unused, limit.Cancelled, limit.Overloaded:
	}
	if turned {
		g.era++
	}
}

// Report takes in a managed target's own account: its incarnation, and how many
// requests it runs. A new incarnation is cold; the one that a former manager
// knew keeps its limit.
func (m *Manager) Report(now time.Time, target netip.AddrPort, incarnation model.Incarnation, running int) {
	g := m.targets[target]
	if g == nil {
		return
	}
	if !now.Before(g.trustAt) {
		g.reported = running
	}
	if g.incarnation != 0 && g.incarnation != incarnation {
		g.reset()
	}
	g.incarnation = incarnation
	g.restore()
}

// MessagesLost tells the manager that messages to a holder may not have arrived. The
// next one shows the holder a gap, which it answers with a full statement.
func (m *Manager) MessagesLost(holder netip.AddrPort) {
	if p := m.peers[holder]; p != nil {
		p.pending = true
	}
}

// restore uses a former manager's knowledge while it is still about the same
// incarnation and nothing has contradicted it.
func (g *managed) restore() {
	if g.era == 0 && g.incarnation != 0 && g.known.Incarnation == g.incarnation {
		g.warmth.Restore(g.known.Slots)
	}
	if g.incarnation != 0 {
		g.known = HandoverState{}
	}
}

func (g *managed) reset() {
	g.warmth.Reset()
	g.era++
}

func (g *managed) start(k holderKey, o outstanding) {
	if _, again := g.running[k]; again {
		return
	}
	g.running[k] = o
	g.byWork[o.workspace]++
}

func (g *managed) stop(k holderKey) {
	o, ok := g.running[k]
	if !ok {
		return
	}
	delete(g.running, k)
	g.byWork[o.workspace]--
	if g.byWork[o.workspace] == 0 {
		delete(g.byWork, o.workspace)
	}
}

// Tick does what is due by time alone.
func (m *Manager) Tick(now time.Time) {
	for a, p := range m.peers {
		if !p.lostAt.IsZero() && now.Sub(p.lostAt) > holderGrace {
			p.lostAt = now
			m.doubt(now, a)
		}
	}
	for _, a := range m.order {
		g := m.targets[a]
		if !g.settled && now.Sub(g.askedAt) >= claimPeriod {
			m.sendClaim(now, g)
		}
	}
	m.serveAll(now)
}

func (m *Manager) serveAll(now time.Time) {
	for _, a := range m.order {
		m.serve(now, m.targets[a])
	}
}

// Flush returns the messages that have gathered, one a holder.
func (m *Manager) Flush() []ToHolder {
	var out []ToHolder
	for a, p := range m.peers {
		if !p.pending {
			continue
		}
		p.seq++
		msg := p.out
		msg.Incarnation, msg.Seq, msg.Echo = m.incarnation, p.seq, p.echo
		msg.Fence = m.view.List.Revision
		p.out, p.pending = FromManager{}, false
		out = append(out, ToHolder{Holder: a, Message: msg})
	}
	slices.SortFunc(out, func(a, b ToHolder) int { return a.Holder.Compare(b.Holder) })
	return out
}

// TargetLoad is the state of one managed target, for reports.
type TargetLoad struct {
	Target  netip.AddrPort
	Service string
	Zone    string
	Slots   int
	Running int
	Asks    int
	Down    bool
}

// Loads reports on every managed target, in the order of their addresses.
func (m *Manager) Loads(now time.Time) []TargetLoad {
	loads := make([]TargetLoad, 0, len(m.targets))
	for a, g := range m.targets {
		loads = append(loads, TargetLoad{
			Target: a, Service: g.target.Service, Zone: g.target.Zone,
			Slots: m.slots(g), Running: len(g.running), Asks: g.asks.Len(),
			Down: now.Before(g.downTil),
		})
	}
	slices.SortFunc(loads, func(a, b TargetLoad) int { return cmp.Compare(a.Target.String(), b.Target.String()) })
	return loads
}
