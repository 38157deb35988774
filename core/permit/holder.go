package permit

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
)

// Times of the holder's side.
const (
	permitLife    = time.Second            // from the holder's message that a grant echoes
	refreshPeriod = 250 * time.Millisecond // between messages while asks are out
)

// EventKind is what happened to an ask.
type EventKind string

// The things that happen to an ask.
const (
	Granted EventKind = "Granted"
	Denied  EventKind = "Denied"
)

// Event tells the holder's scheduler what became of an ask.
type Event struct {
	Kind    EventKind
	Ticket  Ticket
	Target  netip.AddrPort
	Status  Status
	Expires time.Time      // of a grant: nothing may be sent later
	Fence   model.Revision // of a grant
}

// askKey names an ask or a permit of this holder.
type askKey struct {
	ticket Ticket
	target netip.AddrPort
}

// held is a permit in hand. Every manager that was ever told of it counts it
// until it is released: an earlier one may still be granting by an older list.
type held struct {
	managers  []netip.AddrPort // the present one last
	workspace string
}

func (p held) manager() netip.AddrPort { return p.managers[len(p.managers)-1] }

// movedTo returns the permit with a new present manager.
func (p held) movedTo(manager netip.AddrPort) held {
	others := slices.DeleteFunc(slices.Clone(p.managers), func(a netip.AddrPort) bool { return a == manager })
	return held{managers: append(others, manager), workspace: p.workspace}
}

// link is the state of the protocol with one manager.
type link struct {
	incarnation model.Incarnation // of the manager
	heard       uint64            // Seq of its last message
	seq         uint64            // of the last message to it
	sentAt      time.Time
	full        bool // the next message is a full statement
	out         FromHolder
	pending     bool
	asks        int
}

// fence is the newest claim to manage a target that this holder has answered.
type fence struct {
	revision model.Revision
	manager  netip.AddrPort
}

// Holder asks managers for permits on behalf of one host. One goroutine owns
// it.
type Holder struct {
	incarnation model.Incarnation
	epoch       time.Time // zero of this holder's monotonic clock
	view        *view.View
	links       map[netip.AddrPort]*link
	asks        map[askKey]asked
	permits     map[askKey]held
	fences      map[netip.AddrPort]fence
	accepted    map[netip.AddrPort]model.Revision // highest of any claim accepted, by target
}

type asked struct {
	manager  netip.AddrPort
	ask      Ask
	deadline time.Time
	useful   time.Time
}

// at returns the ask with its times counted from now.
func (a asked) at(now time.Time) Ask {
	fresh := a.ask
	fresh.Patience = a.deadline.Sub(now)
	if !a.useful.IsZero() {
		fresh.Useful = max(a.useful.Sub(now), late)
	}
	return fresh
}

// late stands for a start that already comes too late for the objective.
const late = time.Nanosecond

// NewHolder returns a holder without permits. epoch carries the monotonic
// reading against which messages are stamped.
func NewHolder(incarnation model.Incarnation, epoch time.Time) *Holder {
	return &Holder{
		incarnation: incarnation,
		epoch:       epoch,
		links:       map[netip.AddrPort]*link{},
		asks:        map[askKey]asked{},
		permits:     map[askKey]held{},
		fences:      map[netip.AddrPort]fence{},
		accepted:    map[netip.AddrPort]model.Revision{},
	}
}

// UpdateView takes a new snapshot. Permits and asks move to a target's new manager.
// It returns the asks that no manager can be given.
func (h *Holder) UpdateView(v *view.View) []Event {
	h.view = v
	for a, f := range h.fences {
		if !v.Alive(f.manager) || f.revision < v.List.Revision {
			delete(h.fences, a)
		}
	}
	for k, p := range h.permits {
		if m, ok := h.manager(k.target); ok && m != p.manager() {
			h.permits[k] = p.movedTo(m)
			h.state(k, m, p.workspace)
		}
	}
	for a, l := range h.links {
		if l.full && l.seq > 0 && v.Alive(a) {
			l.pending = true
		}
	}
	return h.moveAsks()
}

// moveAsks denies the asks whose manager has changed, so that the scheduler
// asks anew.
func (h *Holder) moveAsks() []Event {
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

// manager is whom this holder takes permits for a target from: the host whose
// claim it has answered, or else the one that its own view names.
func (h *Holder) manager(target netip.AddrPort) (netip.AddrPort, bool) {
	if f, ok := h.fences[target]; ok {
		return f.manager, true
	}
	return h.view.ManagerOf(target)
}

// state tells a manager of a permit that another one granted.
func (h *Holder) state(k askKey, manager netip.AddrPort, workspace string) {
	l := h.link(manager)
	l.pending = true
	l.out.Holdings = append(l.out.Holdings, Holding{Ticket: k.ticket, Target: k.target, Workspace: workspace})
}

func (h *Holder) link(manager netip.AddrPort) *link {
	l := h.links[manager]
	if l == nil {
		l = &link{full: true}
		h.links[manager] = l
	}
	return l
}

// Ask asks a target's manager for a permit; false when there is none to ask.
func (h *Holder) Ask(now time.Time, ticket Ticket, r *model.Request, target netip.AddrPort) bool {
	m, ok := h.manager(target)
	if !ok {
		return false
	}
	k := askKey{ticket, target}
	if _, again := h.asks[k]; again {
		return true
	}
	a := asked{manager: m, deadline: r.Deadline, useful: r.Useful, ask: Ask{
		Ticket: ticket, Target: target, Workspace: r.Workspace, Tier: r.Tier,
	}}
	h.asks[k] = a
	l := h.link(m)
	l.asks++
	l.pending = true
	if !l.full {
		l.out.Asks = append(l.out.Asks, a.at(now))
	}
	return true
}

// Withdraw takes an ask back.
func (h *Holder) Withdraw(ticket Ticket, target netip.AddrPort) {
	k := askKey{ticket, target}
	a, ok := h.asks[k]
	if !ok {
		return
	}
	h.forget(k)
	l := h.link(a.manager)
	l.pending = true
	l.out.Asks = slices.DeleteFunc(l.out.Asks, func(x Ask) bool { return x.Ticket == ticket && x.Target == target })
	l.out.Withdrawals = append(l.out.Withdrawals, Withdrawal{Ticket: ticket, Target: target})
}

func (h *Holder) forget(k askKey) {
	a, ok := h.asks[k]
	if !ok {
		return
	}
	delete(h.asks, k)
	h.link(a.manager).asks--
}

// Release gives a permit back.
func (h *Holder) Release(ticket Ticket, target netip.AddrPort, r limit.Result) {
	k := askKey{ticket, target}
	p, ok := h.permits[k]
	if !ok {
		return
	}
	delete(h.permits, k)
	for _, m := range p.managers {
		h.giveBack(m, k, r)
	}
}

func (h *Holder) giveBack(manager netip.AddrPort, k askKey, r limit.Result) {
	l := h.link(manager)
	l.pending = true
	l.out.Releases = append(l.out.Releases, Release{Ticket: k.ticket, Target: k.target, Result: r})
}

// LocalManager is the manager's side of the same host, as its holder needs it.
type LocalManager interface {
	// Handover is what this host can tell a new manager of a target.
	Handover(target netip.AddrPort) (HandoverState, bool)
	// Supersede tells that another host manages a target by a list of the
	// given revision.
	Supersede(target netip.AddrPort, revision model.Revision)
}

// Receive handles a manager's message.
func (h *Holder) Receive(manager netip.AddrPort, in FromManager, local LocalManager) []Event {
	l := h.link(manager)
	if in.Incarnation != l.incarnation {
		l.incarnation, l.heard, l.full, l.pending = in.Incarnation, 0, true, true
		l.out.Accepted = nil // of another process's claims
	}
	if in.Seq <= l.heard {
		return nil
	}
	if in.Seq != l.heard+1 || in.Resync {
		l.full, l.pending = true, true
	}
	l.heard = in.Seq
	for _, c := range in.Claims {
		h.claimed(manager, l, in.Fence, c, local)
	}
	var events []Event
	for _, g := range in.Grants {
		events = h.granted(events, manager, in, g)
	}
	for _, n := range in.Notices {
		events = h.noticed(events, manager, n)
	}
	return events
}

// claimed accepts a manager's claim, unless this host has read a newer list or
// accepted a claim by one: then the manager hears nothing, and claims again when
// it has read that list too.
func (h *Holder) claimed(manager netip.AddrPort, l *link, revision model.Revision, c Claim, local LocalManager) {
	if revision < h.view.List.Revision || revision < h.accepted[c.Target] {
		return
	}
	h.accepted[c.Target] = revision
	h.fences[c.Target] = fence{revision: revision, manager: manager}
	l.pending = true
	l.out.Accepted = append(l.out.Accepted, c)
	if k, ok := local.Handover(c.Target); ok {
		l.out.Known = append(l.out.Known, k)
	}
	local.Supersede(c.Target, revision)
	for k, p := range h.permits {
		if k.target == c.Target {
			h.state(k, manager, p.workspace)
			h.permits[k] = p.movedTo(manager)
		}
	}
}

func (h *Holder) granted(events []Event, manager netip.AddrPort, in FromManager, g Grant) []Event {
	k := askKey{g.Ticket, g.Target}
	if _, again := h.permits[k]; again {
		return events // the manager lost track of it and will hear
	}
	a, wanted := h.asks[k]
	h.forget(k)
	current, _ := h.manager(g.Target)
	stale := in.Fence < h.accepted[g.Target]
	if !wanted || stale || a.manager != manager || current != manager {
		h.giveBack(manager, k, limit.Result{Kind: limit.Unused})
		return events
	}
	h.permits[k] = held{managers: []netip.AddrPort{manager}, workspace: a.ask.Workspace}
	return append(events, Event{
		Kind: Granted, Ticket: g.Ticket, Target: g.Target, Fence: in.Fence,
		Expires: h.epoch.Add(in.Echo + permitLife),
	})
}

func (h *Holder) noticed(events []Event, manager netip.AddrPort, n Notice) []Event {
	k := askKey{n.Ticket, n.Target}
	if a, ok := h.asks[k]; !ok || a.manager != manager {
		return events
	}
	h.forget(k)
	if n.Status == NotManager && h.fences[n.Target].manager == manager {
		delete(h.fences, n.Target)
	}
	return append(events, Event{Kind: Denied, Ticket: n.Ticket, Target: n.Target, Status: n.Status})
}

// MessagesLost tells the holder that messages to a manager may not have arrived. A
// release may be among them, so a full statement follows even when nothing is
// held or asked for any more.
func (h *Holder) MessagesLost(manager netip.AddrPort) {
	l := h.links[manager]
	if l == nil {
		return
	}
	l.full = true
	l.pending = l.pending || h.view.Alive(manager)
}

// Flush returns the messages that have gathered, one a manager. While asks are
// out it also renews the stamp that keeps their grants fresh.
func (h *Holder) Flush(now time.Time) []ToManager {
	var out []ToManager
	for a, l := range h.links {
		if !l.pending && (l.asks == 0 || now.Sub(l.sentAt) < refreshPeriod) {
			continue
		}
		out = append(out, ToManager{Manager: a, Message: h.message(now, a, l)})
	}
	slices.SortFunc(out, func(a, b ToManager) int { return a.Manager.Compare(b.Manager) })
	return out
}

func (h *Holder) message(now time.Time, manager netip.AddrPort, l *link) FromHolder {
	msg := l.out
	l.seq++
	l.sentAt = now
	l.out, l.pending = FromHolder{}, false
	msg.Incarnation, msg.Seq, msg.Sent = h.incarnation, l.seq, now.Sub(h.epoch)
	if l.full {
		l.full = false
		h.fill(now, manager, &msg)
	}
	msg.Seen, msg.SeenOf = l.heard, l.incarnation
	return msg
}

// fill makes a message a full statement.
func (h *Holder) fill(now time.Time, manager netip.AddrPort, msg *FromHolder) {
	msg.Full = true
	msg.Asks, msg.Withdrawals, msg.Holdings = nil, nil, nil
	for k, p := range h.permits {
		if slices.Contains(p.managers, manager) {
			msg.Holdings = append(msg.Holdings, Holding{Ticket: k.ticket, Target: k.target, Workspace: p.workspace})
		}
	}
	for _, a := range h.asks {
		if a.manager == manager {
			msg.Asks = append(msg.Asks, a.at(now))
		}
	}
	slices.SortFunc(msg.Holdings, func(a, b Holding) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
	slices.SortFunc(msg.Asks, func(a, b Ask) int { return int(int64(a.Ticket) - int64(b.Ticket)) })
}

// PermitCount is the number of permits in hand.
func (h *Holder) PermitCount() int { return len(h.permits) }
