package permit

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
)

// Timing parameters of a Holder.
const (
	permitLifetime = time.Second            // lifetime of a grant, from the sending of the message that it echoes
	refreshPeriod  = 250 * time.Millisecond // maximum time between messages to a manager with open asks
)

// EventKind is the result of an ask.
type EventKind string

// The results of an ask.
const (
	Granted EventKind = "Granted"
	Denied  EventKind = "Denied"
)

// Event reports the result of an ask to the scheduler.
type Event struct {
	Kind    EventKind
	Ticket  Ticket
	Target  netip.AddrPort
	Status  Status         // reason for a denial
	Expires time.Time      // of a grant: nothing may be sent later
	Fence   model.Revision // of a grant: revision of the manager's host list
}

// askKey identifies an ask or a permit of this holder.
type askKey struct {
	ticket Ticket
	target netip.AddrPort
}

// heldPermit is a permit of this holder. Every manager that has been told of it counts
// it until it is released, because a former manager may still grant permits based on an
// older host list. The release therefore goes to all of them.
type heldPermit struct {
	managers  []netip.AddrPort // the current one is last
	workspace string
}

func (p heldPermit) currentManager() netip.AddrPort { return p.managers[len(p.managers)-1] }

// withManager returns the permit with a new current manager.
func (p heldPermit) withManager(manager netip.AddrPort) heldPermit {
	others := slices.DeleteFunc(slices.Clone(p.managers), func(a netip.AddrPort) bool { return a == manager })
	return heldPermit{managers: append(others, manager), workspace: p.workspace}
}

// managerLink is the protocol state for one manager.
type managerLink struct {
	incarnation    model.Incarnation // of the manager
	receivedSeq    uint64            // Seq of the last message from it
	sentSeq        uint64            // Seq of the last message to it
	sentAt         time.Time
	needsFullState bool // the next message must contain the full state
	outbox         FromHolder
	pending        bool // a message must be sent
	openAsks       int
}

// acceptedClaim is the newest claim for a target that this holder has accepted.
type acceptedClaim struct {
	revision model.Revision
	manager  netip.AddrPort
}

// Holder obtains permits from managers on behalf of one host. It is not safe for
// concurrent use.
type Holder struct {
	incarnation       model.Incarnation
	epoch             time.Time // origin of the timestamps in Sent and Echo
	view              *view.View
	links             map[netip.AddrPort]*managerLink
	asks              map[askKey]openAsk
	permits           map[askKey]heldPermit
	acceptedClaims    map[netip.AddrPort]acceptedClaim
	acceptedRevisions map[netip.AddrPort]model.Revision // highest revision of any accepted claim, by target
}

// openAsk is an ask without a result so far.
type openAsk struct {
	manager  netip.AddrPort
	ask      Ask
	deadline time.Time
	startBy  time.Time // latest start that meets the objective; zero without one
}

// relativeTo returns the ask with its durations relative to now.
func (a openAsk) relativeTo(now time.Time) Ask {
	ask := a.ask
	ask.Patience = a.deadline.Sub(now)
	if !a.startBy.IsZero() {
		ask.Useful = max(a.startBy.Sub(now), objectiveMissed)
	}
	return ask
}

// objectiveMissed is the value of Ask.Useful for a request that can no longer meet its
// objective. Zero means that it has no objective.
const objectiveMissed = time.Nanosecond

// NewHolder returns a holder without permits. Timestamps in messages are relative to
// epoch, which must have a monotonic clock reading.
func NewHolder(incarnation model.Incarnation, epoch time.Time) *Holder {
	return &Holder{
		incarnation:       incarnation,
		epoch:             epoch,
		links:             map[netip.AddrPort]*managerLink{},
		asks:              map[askKey]openAsk{},
		permits:           map[askKey]heldPermit{},
		acceptedClaims:    map[netip.AddrPort]acceptedClaim{},
		acceptedRevisions: map[netip.AddrPort]model.Revision{},
	}
}

// UpdateView replaces the view of the cluster. It reports permits to the new managers
// of their targets. Asks for targets whose manager has changed are withdrawn and
// returned as denied.
func (h *Holder) UpdateView(v *view.View) []Event {
	h.view = v
	for a, c := range h.acceptedClaims {
		if !v.Alive(c.manager) || c.revision < v.List.Revision {
			delete(h.acceptedClaims, a)
		}
	}
	for k, p := range h.permits {
		if m, ok := h.manager(k.target); ok && m != p.currentManager() {
			h.permits[k] = p.withManager(m)
			h.queueHolding(k, m, p.workspace)
		}
	}
	for a, l := range h.links {
		if l.needsFullState && l.sentSeq > 0 && v.Alive(a) {
			l.pending = true
		}
	}
	return h.denyMovedAsks()
}

// denyMovedAsks withdraws and denies the asks whose manager has changed, so that the
// scheduler asks the new one.
func (h *Holder) denyMovedAsks() []Event {
	var events []Event
	for k, a := range h.asks {
		if m, ok := h.manager(k.target); !ok || m != a.manager {
			h.Withdraw(k.ticket, k.target)
			events = append(events, Event{Kind: Denied, Ticket: k.ticket, Target: k.target, Status: NotManager})
		}
	}
	slices.SortFunc(events, func(a, b Event) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
	return events
}

// manager returns the host that this holder accepts permits for a target from: the one
// whose claim it has accepted or, without a claim, the manager according to its view.
func (h *Holder) manager(target netip.AddrPort) (netip.AddrPort, bool) {
	if c, ok := h.acceptedClaims[target]; ok {
		return c.manager, true
	}
	return h.view.ManagerOf(target)
}

// queueHolding reports to a manager a permit that another one granted.
func (h *Holder) queueHolding(k askKey, manager netip.AddrPort, workspace string) {
	l := h.linkTo(manager)
	l.pending = true
	l.outbox.Holdings = append(l.outbox.Holdings, Holding{Ticket: k.ticket, Target: k.target, Workspace: workspace})
}

// linkTo returns the protocol state for a manager, creating it if necessary. The first
// message to a manager contains the full state.
func (h *Holder) linkTo(manager netip.AddrPort) *managerLink {
	l := h.links[manager]
	if l == nil {
		l = &managerLink{needsFullState: true}
		h.links[manager] = l
	}
	return l
}

// Ask asks a target's manager for a permit. It returns false if the target has no
// manager.
func (h *Holder) Ask(now time.Time, ticket Ticket, r *model.Request, target netip.AddrPort) bool {
	m, ok := h.manager(target)
	if !ok {
		return false
	}
	k := askKey{ticket, target}
	if _, exists := h.asks[k]; exists {
		return true
	}
	a := openAsk{manager: m, deadline: r.Deadline, startBy: r.LatestStart, ask: Ask{
		Ticket: ticket, Target: target, Workspace: r.Workspace, Tier: r.Tier,
	}}
	h.asks[k] = a
	l := h.linkTo(m)
	l.openAsks++
	l.pending = true
	if !l.needsFullState {
		l.outbox.Asks = append(l.outbox.Asks, a.relativeTo(now))
	}
	return true
}

// Withdraw cancels an ask. It does nothing if there is no such ask.
func (h *Holder) Withdraw(ticket Ticket, target netip.AddrPort) {
	k := askKey{ticket, target}
	a, ok := h.asks[k]
	if !ok {
		return
	}
	h.removeAsk(k)
	l := h.linkTo(a.manager)
	l.pending = true
	l.outbox.Asks = slices.DeleteFunc(l.outbox.Asks, func(x Ask) bool { return x.Ticket == ticket && x.Target == target })
	l.outbox.Withdrawals = append(l.outbox.Withdrawals, Withdrawal{Ticket: ticket, Target: target})
}

func (h *Holder) removeAsk(k askKey) {
	a, ok := h.asks[k]
	if !ok {
		return
	}
	delete(h.asks, k)
	h.linkTo(a.manager).openAsks--
}

// Release returns a permit to all managers that count it.
func (h *Holder) Release(ticket Ticket, target netip.AddrPort, r limit.Result) {
	k := askKey{ticket, target}
	p, ok := h.permits[k]
	if !ok {
		return
	}
	delete(h.permits, k)
	for _, m := range p.managers {
		h.queueRelease(m, k, r)
	}
}

func (h *Holder) queueRelease(manager netip.AddrPort, k askKey, r limit.Result) {
	l := h.linkTo(manager)
	l.pending = true
	l.outbox.Releases = append(l.outbox.Releases, Release{Ticket: k.ticket, Target: k.target, Result: r})
}

// LocalManager is the part of the Manager on the same host that a Holder uses.
type LocalManager interface {
	// Handover returns this host's state of a target for its new manager.
	Handover(target netip.AddrPort) (HandoverState, bool)
	// Supersede is called when another host has become the manager of a target
	// according to a host list of the given revision.
	Supersede(target netip.AddrPort, revision model.Revision)
}

// Receive handles a message from a manager and returns the results of asks.
func (h *Holder) Receive(manager netip.AddrPort, in FromManager, local LocalManager) []Event {
	l := h.linkTo(manager)
	if in.Incarnation != l.incarnation {
		l.incarnation, l.receivedSeq, l.needsFullState, l.pending = in.Incarnation, 0, true, true
		l.outbox.Accepted = nil // these claims were made by a previous process
	}
	if in.Seq <= l.receivedSeq {
		return nil
	}
	if in.Seq != l.receivedSeq+1 || in.Resync {
		l.needsFullState, l.pending = true, true
	}
	l.receivedSeq = in.Seq
	for _, c := range in.Claims {
		h.handleClaim(manager, l, in.Fence, c, local)
	}
	var events []Event
	for _, g := range in.Grants {
		events = h.handleGrant(events, manager, in, g)
	}
	for _, n := range in.Notices {
		events = h.handleNotice(events, manager, n)
	}
	return events
}

// handleClaim accepts a manager's claim, unless this host has read a newer host list
// or accepted a claim based on one. In that case it does not answer. The manager keeps
// repeating its claim, which is accepted once the manager has read that list too.
func (h *Holder) handleClaim(manager netip.AddrPort, l *managerLink, revision model.Revision, c Claim, local LocalManager) {
	if revision < h.view.List.Revision || revision < h.acceptedRevisions[c.Target] {
		return
	}
	h.acceptedRevisions[c.Target] = revision
	h.acceptedClaims[c.Target] = acceptedClaim{revision: revision, manager: manager}
	l.pending = true
	l.outbox.Accepted = append(l.outbox.Accepted, c)
	if k, ok := local.Handover(c.Target); ok {
		l.outbox.Known = append(l.outbox.Known, k)
	}
	local.Supersede(c.Target, revision)
	for k, p := range h.permits {
		if k.target == c.Target {
			h.queueHolding(k, manager, p.workspace)
			h.permits[k] = p.withManager(manager)
		}
	}
}

// handleGrant records a permit, or releases it at once if it is not wanted any more or
// does not come from the current manager.
func (h *Holder) handleGrant(events []Event, manager netip.AddrPort, in FromManager, g Grant) []Event {
	k := askKey{g.Ticket, g.Target}
	if _, exists := h.permits[k]; exists {
		return events // the manager learns of this permit from the next full state
	}
	a, wanted := h.asks[k]
	h.removeAsk(k)
	current, _ := h.manager(g.Target)
	stale := in.Fence < h.acceptedRevisions[g.Target]
	if !wanted || stale || a.manager != manager || current != manager {
		h.queueRelease(manager, k, limit.Result{Kind: limit.Unused})
		return events
	}
	h.permits[k] = heldPermit{managers: []netip.AddrPort{manager}, workspace: a.ask.Workspace}
	return append(events, Event{
		Kind: Granted, Ticket: g.Ticket, Target: g.Target, Fence: in.Fence,
		Expires: h.epoch.Add(in.Echo + permitLifetime),
	})
}

// handleNotice removes a rejected ask. A manager that no longer manages the target also
// loses the claim that this holder has accepted from it.
func (h *Holder) handleNotice(events []Event, manager netip.AddrPort, n Notice) []Event {
	k := askKey{n.Ticket, n.Target}
	if a, ok := h.asks[k]; !ok || a.manager != manager {
		return events
	}
	h.removeAsk(k)
	if n.Status == NotManager && h.acceptedClaims[n.Target].manager == manager {
		delete(h.acceptedClaims, n.Target)
	}
	return append(events, Event{Kind: Denied, Ticket: n.Ticket, Target: n.Target, Status: n.Status})
}

// MessagesLost must be called when messages to a manager may not have arrived. The
// holder then sends its full state, even if it has no permits and no open asks, because
// a lost message may have contained a release.
func (h *Holder) MessagesLost(manager netip.AddrPort) {
	l := h.links[manager]
	if l == nil {
		return
	}
	l.needsFullState = true
	l.pending = l.pending || h.view.Alive(manager)
}

// Flush returns the pending messages, at most one per manager. While asks are open it
// also sends a message every refreshPeriod: grants echo its timestamp, and would
// otherwise expire too early.
func (h *Holder) Flush(now time.Time) []ToManager {
	var out []ToManager
	for a, l := range h.links {
		if !l.pending && (l.openAsks == 0 || now.Sub(l.sentAt) < refreshPeriod) {
			continue
		}
		out = append(out, ToManager{Manager: a, Message: h.nextMessage(now, a, l)})
	}
	slices.SortFunc(out, func(a, b ToManager) int { return a.Manager.Compare(b.Manager) })
	return out
}

func (h *Holder) nextMessage(now time.Time, manager netip.AddrPort, l *managerLink) FromHolder {
	msg := l.outbox
	l.sentSeq++
	l.sentAt = now
	l.outbox, l.pending = FromHolder{}, false
	msg.Incarnation, msg.Seq, msg.Sent = h.incarnation, l.sentSeq, now.Sub(h.epoch)
	if l.needsFullState {
		l.needsFullState = false
		h.fillFullState(now, manager, &msg)
	}
	msg.Seen, msg.SeenOf = l.receivedSeq, l.incarnation
	return msg
}

// fillFullState puts all holdings and asks for a manager into a message.
func (h *Holder) fillFullState(now time.Time, manager netip.AddrPort, msg *FromHolder) {
	msg.Full = true
	msg.Asks, msg.Withdrawals, msg.Holdings = nil, nil, nil
	for k, p := range h.permits {
		if slices.Contains(p.managers, manager) {
			msg.Holdings = append(msg.Holdings, Holding{Ticket: k.ticket, Target: k.target, Workspace: p.workspace})
		}
	}
	for _, a := range h.asks {
		if a.manager == manager {
			msg.Asks = append(msg.Asks, a.relativeTo(now))
		}
	}
	slices.SortFunc(msg.Holdings, func(a, b Holding) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
	slices.SortFunc(msg.Asks, func(a, b Ask) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
}

// PermitCount returns the number of permits that are not yet released.
func (h *Holder) PermitCount() int { return len(h.permits) }
