package coord

import (
	"net/netip"
	"time"

	"yuccadoor/core/admit"
	"yuccadoor/core/broker"
	"yuccadoor/core/member"
	"yuccadoor/core/notice"
	"yuccadoor/core/origin"
	"yuccadoor/core/parts"
	"yuccadoor/core/quota"
	"yuccadoor/core/speed"
	"yuccadoor/io/pack"
)

// RequestUpdates reports changes in a host's requests, and notices of targets, to its
// leader.
type RequestUpdates struct {
	Requests      []broker.Request    `cbor:"1,keyasint,omitempty"`
	Completions   []broker.Completion `cbor:"2,keyasint,omitempty"`
	Cancellations []uint64            `cbor:"3,keyasint,omitempty"`
	// Notices are the notices that the host has received from targets.
	Notices []notice.Notice `cbor:"4,keyasint,omitempty"`
	// Loads is what targets have stated of their load.
	Loads []speed.Report `cbor:"5,keyasint,omitempty"`
}

func (u *RequestUpdates) empty() bool {
	return len(u.Requests)+len(u.Completions)+len(u.Cancellations)+len(u.Notices)+len(u.Loads) == 0
}

// HostState is the complete state of a host, sent to a new leader.
type HostState struct {
	Running  []broker.RunningRequest `cbor:"1,keyasint,omitempty"`
	Requests []broker.Request        `cbor:"2,keyasint,omitempty"`
	// QuotaUsage is what requests of the host have used of allowances, omitted if this
	// leader has granted or charged it already.
	QuotaUsage []quota.UsageEntry `cbor:"3,keyasint,omitempty"`
	// Notices are the notices from targets that are still in effect.
	Notices []notice.Notice `cbor:"4,keyasint,omitempty"`
	// Streams are the resumable streams that the host has begun.
	Streams []origin.Begun `cbor:"5,keyasint,omitempty"`
	// Loads is what targets have last stated of their load to the host.
	Loads []speed.Report `cbor:"6,keyasint,omitempty"`
	// Returns are the bookings of refused callers, omitted if this leader made them.
	Returns []admit.Return `cbor:"7,keyasint,omitempty"`
}

// Decisions carries a leader's decisions on a host's requests.
type Decisions struct {
	Grants   []broker.Grant   `cbor:"1,keyasint,omitempty"`
	Refusals []broker.Refusal `cbor:"2,keyasint,omitempty"`
	// Lag is how long messages to the leader waited for their turn.
	Lag time.Duration `cbor:"3,keyasint,omitempty"`
}

// CrashRecords carries a host's records of request contents that crash targets.
type CrashRecords struct {
	Crashes []member.Crash  `cbor:"1,keyasint,omitempty"`
	Answers []member.Answer `cbor:"2,keyasint,omitempty"` // contents answered since they crashed a target
	Parts   parts.Shared    `cbor:"3,keyasint,omitempty"` // of parts of prompts
}

func (m *CrashRecords) empty() bool { return len(m.Crashes)+len(m.Answers) == 0 && m.Parts.Empty() }

// crashEvents maps crash detection steps to log events.
var crashEvents = map[broker.CrashStep]string{
	broker.CrashSuspected: "crash suspected", broker.CrashRecorded: "crash recorded", broker.CrashRuledOut: "crash ruled out",
	broker.CrashesCleared: "crashes cleared", broker.PartRefused: "prompt part refused", broker.PartAllowed: "prompt part allowed again",
	broker.PartsProbed: "prompt parts probed",
}

// logCrashSteps logs and counts the steps of crash detection since the last call.
func (c *Coordinator) logCrashSteps() {
	for _, e := range c.broker.TakeCrashEvents() {
		run := e.Run
		c.settings.Log.Event("info", crashEvents[e.Step], "Request", run.RequestID, "Content", run.Content, "Parts", run.SharedParts, "Target", run.Target,
			"Address", run.Address, "Refused", run.ConnectRefused, "Took", run.Took, "Age", e.Age, "Crashes", e.CrashCount, "Crash", e.ID)
		if c.settings.Counters != nil {
			c.settings.Counters.RecordCrashStep(e.Step)
		}
	}
}

// logCuts logs and counts the zones that began or ceased to be cut off since the last call.
func (c *Coordinator) logCuts() {
	for _, e := range c.broker.TakeCutEvents() {
		c.settings.Log.Event("warn", "path between zones changed", "From", e.Path.From, "To", e.Path.To, "Cut", e.Cut)
		if c.settings.Counters != nil {
			c.settings.Counters.RecordZonePath(e.Cut)
		}
	}
}

// logSilence logs which targets have been found silent, or answer again, since the last call.
func (c *Coordinator) logSilence() {
	for _, s := range c.broker.TakeSilenceChanges() {
		message, host := "target answers again", "all"
		if s.Silent {
			message = "target is silent"
		}
		if s.Host.IsValid() {
			host = s.Host.String()
		}
		c.settings.Log.Event("warn", message, "Target", s.Target, "Host", host, "Usual", s.Usual)
	}
}

// flushCrashes sends new crash records to all other hosts, since any of them may be
// the next leader.
func (c *Coordinator) flushCrashes(now time.Time) {
	m := CrashRecords{c.broker.NewCrashes(now), c.broker.NewAnswers(now), c.broker.NewPartRecords(now)}
	if m.empty() {
		return
	}
	c.broadcast(now, methodCrashes, pack.Of(m))
}

// updateLeader determines the current leader and drops the requests of dead hosts from
// the broker.
func (c *Coordinator) updateLeader(now time.Time) {
	alive, known := c.hosts.Counts(now)
	c.broker.SetReachableShare(alive, known)
	c.updateStep(now, alive, known)
	for h := range c.clientHosts {
		if !c.hosts.IsAlive(now, h) && h != c.self() {
			delete(c.clientHosts, h)
			c.broker.RemoveHost(h)
		}
	}
	leader, ok := c.hosts.Leader(now)
	if !ok {
		return
	}
	if leader != c.leader {
		if leader == c.self() && !c.reading {
			c.setUnsettled(now)
		}
		c.settings.Log.Event("info", "leader changed", "Leader", leader, "Former", c.leader, "Alive", alive, "Known", known)
		c.leader, c.synced = leader, false
		c.pace.SetLag(now, 0) // another process, with a queue of its own
		c.publish()
	}
}

// confirmLoss is the time after a probe within which a loss of messages shows that the probed
// host is lost: more than a probe takes.
const confirmLoss = time.Second

// isLeaderLost reports whether the leader is lost now that messages to it may have been. A
// connection may be reset or fall silent while new ones work, and hosts that then follow another
// leader use limits that hold over all hosts a second time. So the first loss has the leader
// probed, and its successor, which may be in the same zone that was cut off; the loss counts if
// no new connection is accepted.
func (c *Coordinator) isLeaderLost(now time.Time) bool {
	p, ok := c.mesh.(prober)
	if !ok || now.Sub(c.probedAt[c.leader]) <= confirmLoss {
		return true
	}
	clear(c.probedAt)
	c.probe(now, p, c.leader)
	if next, ok := c.hosts.Successor(now); ok && next != c.self() {
		c.probe(now, p, next)
	}
	return false
}

func (c *Coordinator) probe(now time.Time, p prober, host netip.AddrPort) {
	c.probedAt[host] = now
	p.Probe(host)
}

// flushRequests sends updates to the leader, or the complete state if the leader does
// not have it. It reports whether it sent anything.
func (c *Coordinator) flushRequests(now time.Time) bool {
	if !c.leader.IsValid() {
		return false
	}
	if !c.synced {
		c.synced = true
		c.outgoing, c.unsent = RequestUpdates{}, nil
		c.sendState(now)
		return true
	}
	if len(c.unsent) == 0 && c.outgoing.empty() && !c.loads.Due(now) || !c.pace.Take(now) {
		return false
	}
	for _, id := range c.unsent {
		if p := c.pending[id]; p != nil && !p.sent {
			p.sent = true
			c.outgoing.Requests = append(c.outgoing.Requests, c.withTimeLeft(now, id, p, false))
		}
	}
	c.unsent = c.unsent[:0]
	c.outgoing.Loads = c.loads.Take(now)
	if c.outgoing.empty() {
		return false
	}
	updates := c.outgoing
	c.outgoing = RequestUpdates{}
	if c.leader == c.self() {
		c.handleRequests(now, c.self(), updates, 0)
	} else {
		c.mesh.Send(c.leader, methodAsks, pack.Of(updates))
	}
	return true
}

// withTimeLeft returns a request with its time limits reduced by the time that it has
// waited.
func (c *Coordinator) withTimeLeft(now time.Time, id uint64, p *pendingRequest, resubmitted bool) broker.Request {
	r := p.request
	r.ID = id
	r.Resubmitted = r.Resubmitted || resubmitted
	waited := now.Sub(p.submitted)
	r.StartWithin -= waited
	r.ExpiresIn -= waited
	r.ShortenCallerWait(waited)
	return r
}

// sendState sends the complete state of this host to its leader. A pending request is
// marked as resubmitted, and so not charged again, only if it was sent to the same leader
// process before; any other leader charges it.
func (c *Coordinator) sendState(now time.Time) {
	leader := process{c.leader, c.hosts.Incarnation(c.leader)}
	known := leader == c.usageSentTo
	c.usageSentTo = leader
	s := HostState{Notices: c.broker.HandoverNotices(now, c.self()), Streams: c.streams.own.Begun(now), Loads: c.loads.Handover(now)}
	if !known {
		s.QuotaUsage, s.Returns = c.usage.Entries(now), c.returns.Pending(now)
	}
	for id, g := range c.running {
		s.Running = append(s.Running, broker.RunningRequest{ID: id, Target: g.target, SharedParts: g.parts})
	}
	for id, p := range c.pending {
		s.Requests = append(s.Requests, c.withTimeLeft(now, id, p, p.sent && known))
		p.sent = true
	}
	if c.leader == c.self() {
		c.handleState(now, c.self(), s, 0)
	} else {
		c.mesh.Send(c.leader, methodSync, pack.Of(s))
	}
	c.sendAllCrashes(now, c.leader)
}

// handleState replaces what the broker knows of a host by its complete state, in a message
// of an age.
func (c *Coordinator) handleState(now time.Time, host netip.AddrPort, s HostState, age time.Duration) {
	c.clientHosts[host] = true
	c.broker.Charge(now, s.QuotaUsage)
	c.applyNotices(now, host, s.Notices)
	c.broker.Origins().Merge(now.Add(-max(age, 0)), host, s.Streams)
	c.observeLoads(now, s.Loads, age)
	c.broker.RestoreReturns(now.Add(-age), s.Returns)
	c.broker.Sync(now, host, s.Running, aged(s.Requests, age))
	c.sendAllCrashes(now, host)
	c.sendNotices(now, host)
}

// sendAllCrashes sends all crash records to a host that may have missed some.
func (c *Coordinator) sendAllCrashes(now time.Time, host netip.AddrPort) {
	m := CrashRecords{c.broker.AllCrashes(now), c.broker.AllAnswers(now), c.broker.AllPartRecords(now)}
	if !m.empty() && host != c.self() {
		c.mesh.Send(host, methodCrashes, pack.Of(m))
	}
}

func (c *Coordinator) handleCrashes(now time.Time, m CrashRecords) {
	c.broker.MergeAnswers(now, m.Answers)
	c.broker.MergeCrashes(now, m.Crashes)
	c.broker.MergePartRecords(now, m.Parts)
}

// aged returns requests with their time limits reduced by the age of their message, which is
// negative if it came after the event loop last read the time: callers
// wait on while it waits for its turn.
func aged(requests []broker.Request, age time.Duration) []broker.Request {
	for i := range requests {
		requests[i].StartWithin -= age
		requests[i].ExpiresIn -= age
		requests[i].ShortenCallerWait(age)
	}
	return requests
}

// handleRequests applies a host's updates, in a message of an age, to the broker. If the
// broker does not have the host's state, only what targets stated is applied and the host is asked
// to resync.
func (c *Coordinator) handleRequests(now time.Time, host netip.AddrPort, u RequestUpdates, age time.Duration) {
	c.applyNotices(now, host, u.Notices) // before the completions, which free slots at those targets
	c.observeLoads(now, u.Loads, age)
	if !c.clientHosts[host] {
		c.mesh.Send(host, methodResync, struct{}{})
		return
	}
	for _, completion := range u.Completions {
		c.broker.Complete(now, host, completion)
	}
	for _, id := range u.Cancellations {
		c.broker.Cancel(host, id)
	}
	for _, request := range aged(u.Requests, age) {
		c.broker.Submit(now, host, request)
	}
}

// flushDecisions sends the broker's decisions to the hosts that they concern. It
// reports whether there were any.
func (c *Coordinator) flushDecisions(now time.Time) bool {
	grants, refusals := c.broker.TakeDecisions(now)
	if len(grants) == 0 && len(refusals) == 0 {
		return false
	}
	byHost := map[netip.AddrPort]*Decisions{}
	decisions := func(h netip.AddrPort) *Decisions {
		if byHost[h] == nil {
			byHost[h] = &Decisions{}
		}
		return byHost[h]
	}
	for h, g := range grants {
		decisions(h).Grants = g
	}
	for h, r := range refusals {
		decisions(h).Refusals = r
	}
	for h, d := range byHost {
		d.Lag = c.lag
		if h == c.self() {
			c.handleDecisions(now, c.self(), *d)
		} else {
			c.mesh.Send(h, methodVerdicts, pack.Of(*d))
		}
	}
	return true
}

// handleDecisions delivers decisions to the waiting requests.
func (c *Coordinator) handleDecisions(now time.Time, from netip.AddrPort, d Decisions) {
	c.setLeaderLag(now, from, d.Lag)
	for _, g := range d.Grants {
		p := c.pending[g.ID]
		if p == nil {
			// Cancelled, or already granted by a former leader: return this grant unused.
			if _, running := c.running[g.ID]; from == c.leader && !running {
				c.outgoing.Completions = append(c.outgoing.Completions, broker.Completion{ID: g.ID, Target: g.Target, Outcome: broker.Unused})
			}
			continue
		}
		delete(c.pending, g.ID)
		run := grantedRequest{target: g.Target, parts: p.request.SharedParts}
		if !p.request.Resubmitted && p.request.QuotaTokens > 0 {
			run.workspace, run.tokens = p.request.Workspace, p.request.QuotaTokens
			c.usage.Add(c.settings.Now(), run.workspace, run.tokens)
		}
		c.running[g.ID] = run
		if t := c.roster.Snapshot().Targets[g.Target]; t != nil {
			c.recordStream(c.settings.Now(), p.request.Stream, p.request.Service, t.Version)
		}
		p.decision <- Decision{Target: g.Target}
	}
	for _, r := range d.Refusals {
		if p := c.pending[r.ID]; p != nil {
			delete(c.pending, r.ID)
			c.recordReturn(now, p, &r)
			refusal := r
			p.decision <- Decision{Refusal: &refusal}
		}
	}
}

// handleMessagesLost is called when messages to a host may not have been delivered. It asks a
// client host to resync, and if the host is the leader, syncs with the leader again.
func (c *Coordinator) handleMessagesLost(now time.Time, host netip.AddrPort) {
	delete(c.streams.told, host)
	if host == c.leader && !c.isLeaderLost(now) {
		c.settings.Log.Event("info", "connection to leader lost", "Leader", host)
		c.synced = false
	} else {
		c.hosts.ConnectionLost(now, host)
	}
	if c.clientHosts[host] {
		delete(c.clientHosts, host)
		c.broker.RemoveHost(host)
		c.mesh.Send(host, methodResync, struct{}{})
	}
	if host == c.leader && !c.hosts.IsAlive(now, host) {
		c.settings.Log.Event("warn", "leader lost", "Leader", host)
		c.synced = false
		c.updateLeader(now)
	}
}
