package coord

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/member"
	"yuccadoor/core/notice"
	"yuccadoor/core/quota"
	"yuccadoor/io/pack"
)

// Asks are what a host tells its leader.
type Asks struct {
	Asks    []broker.Request    `cbor:"1,keyasint,omitempty"`
	Dones   []broker.Completion `cbor:"2,keyasint,omitempty"`
	Cancels []uint64            `cbor:"3,keyasint,omitempty"`
	// Notices are what targets have said of themselves to the host.
	Notices []notice.Notice `cbor:"4,keyasint,omitempty"`
}

func (a *Asks) empty() bool { return len(a.Asks)+len(a.Dones)+len(a.Cancels)+len(a.Notices) == 0 }

// Sync is the whole state of a host, told to a new leader.
type Sync struct {
	Running []broker.RunningRequest `cbor:"1,keyasint,omitempty"`
	Asks    []broker.Request        `cbor:"2,keyasint,omitempty"`
	// Used is what the host's callers have used of allowances, unless this leader
	// has granted or charged it.
	Used []quota.Used `cbor:"3,keyasint,omitempty"`
	// Notices are what targets have said of themselves, as far as it binds.
	Notices []notice.Notice `cbor:"4,keyasint,omitempty"`
}

// Verdicts are a leader's decisions on a host's requests.
type Verdicts struct {
	Grants   []broker.Grant   `cbor:"1,keyasint,omitempty"`
	Refusals []broker.Refusal `cbor:"2,keyasint,omitempty"`
}

// Crashes are what a host has recorded of contents that crash targets.
type Crashes struct {
	Crashes []member.Crash  `cbor:"1,keyasint,omitempty"`
	Answers []member.Answer `cbor:"2,keyasint,omitempty"` // contents that were answered since
}

func (m *Crashes) empty() bool { return len(m.Crashes)+len(m.Answers) == 0 }

// crashEvents names the steps in logs.
var crashEvents = map[broker.CrashStep]string{
	broker.CrashSuspected: "crash suspected", broker.CrashRecorded: "crash recorded", broker.CrashRuledOut: "crash ruled out",
	broker.CrashesCleared: "crashes cleared",
}

// noteCrashes logs and counts what became of suspected crashes.
func (c *Coord) noteCrashes() {
	for _, n := range c.broker.TakeCrashEvents() {
		k := n.Run
		c.settings.Log.Event("info", crashEvents[n.Step], "Request", k.RequestID, "Content", k.Content, "Target", k.Target,
			"Address", k.Address, "Refused", k.ConnectRefused, "Took", k.Took, "Age", n.Age, "Crashes", n.CrashCount)
		if c.settings.Counters != nil {
			c.settings.Counters.Crash(n.Step)
		}
	}
}

// flushCrashes tells all other hosts what was recorded here: any of them may lead
// next.
func (c *Coord) flushCrashes(now time.Time) {
	m := Crashes{c.broker.NewCrashes(now), c.broker.NewAnswers(now)}
	if m.empty() {
		return
	}
	c.tellAll(now, methodCrashes, pack.Of(m))
}

// elect looks who leads and drops what dead hosts had asked here.
func (c *Coord) elect(now time.Time) {
	alive, known := c.hosts.Share(now)
	c.broker.SetReachableShare(alive, known)
	live := c.hosts.Alive(now)
	for h := range c.asking {
		if !slices.Contains(live, h) && h != c.self() {
			delete(c.asking, h)
			c.broker.RemoveHost(now, h)
		}
	}
	leader, ok := c.hosts.Leader(now)
	if !ok {
		return
	}
	if leader != c.leader {
		c.settings.Log.Event("info", "leader changed", "Leader", leader, "Former", c.leader, "Alive", alive, "Known", known)
		c.leader, c.synced = leader, false
		c.publish()
	}
}

// flushAsks tells the leader what is new, or everything if it is a new leader.
func (c *Coord) flushAsks(now time.Time) bool {
	if !c.leader.IsValid() {
		return false
	}
	if !c.synced {
		c.synced = true
		c.out, c.fresh = Asks{}, nil
		c.sendSync(now)
		return true
	}
	for _, id := range c.fresh {
		if p := c.pending[id]; p != nil && !p.sent {
			p.sent = true
			c.out.Asks = append(c.out.Asks, c.left(now, id, p, false))
		}
	}
	c.fresh = c.fresh[:0]
	if c.out.empty() {
		return false
	}
	out := c.out
	c.out = Asks{}
	if c.leader == c.self() {
		c.takeAsks(now, c.self(), out)
	} else {
		c.mesh.Send(c.leader, methodAsks, pack.Of(out))
	}
	return true
}

// left gives an ask with the times that are left now.
func (c *Coord) left(now time.Time, id uint64, p *pending, again bool) broker.Request {
	a := p.ask
	a.ID = id
	a.Resubmitted = a.Resubmitted || again
	past := now.Sub(p.asked)
	a.StartWithin -= past
	a.ExpiresIn -= past
	return a
}

func (c *Coord) sendSync(now time.Time) {
	leader := process{c.leader, c.hosts.Incarnation(c.leader)}
	known := leader == c.charged
	c.charged = leader
	s := Sync{Notices: c.broker.HandoverNotices(now, c.self())}
	if !known {
		s.Used = c.usage.Used(now)
	}
	for id, g := range c.running {
		s.Running = append(s.Running, broker.RunningRequest{ID: id, Target: g.target})
	}
	for id, p := range c.pending {
		s.Asks = append(s.Asks, c.left(now, id, p, p.sent && known))
		p.sent = true
	}
	if c.leader == c.self() {
		c.takeSync(now, c.self(), s)
	} else {
		c.mesh.Send(c.leader, methodSync, pack.Of(s))
	}
	c.handCrashes(now, c.leader)
}

func (c *Coord) takeSync(now time.Time, host netip.AddrPort, s Sync) {
	c.asking[host] = true
	c.broker.Charge(now, s.Used)
	c.note(now, host, s.Notices)
	c.broker.Sync(now, host, s.Running, s.Asks)
	c.handCrashes(now, host)
	c.handNotices(now, host)
}

// handCrashes tells a host that may have missed some what is recorded of crashes
// here.
func (c *Coord) handCrashes(now time.Time, host netip.AddrPort) {
	m := Crashes{c.broker.AllCrashes(now), c.broker.AllAnswers(now)}
	if !m.empty() && host != c.self() {
		c.mesh.Send(host, methodCrashes, pack.Of(m))
	}
}

func (c *Coord) takeCrashes(now time.Time, m Crashes) {
	c.broker.MergeAnswers(now, m.Answers)
	c.broker.MergeCrashes(now, m.Crashes)
}

func (c *Coord) takeAsks(now time.Time, host netip.AddrPort, a Asks) {
	c.note(now, host, a.Notices) // before the ends that free places at those targets
	if !c.asking[host] {
		c.mesh.Send(host, methodResync, struct{}{})
		return
	}
	for _, d := range a.Dones {
		c.broker.Complete(now, host, d)
	}
	for _, id := range a.Cancels {
		c.broker.Cancel(host, id)
	}
	for _, ask := range a.Asks {
		c.broker.Submit(now, host, ask)
	}
}

// flushVerdicts delivers the broker's decisions.
func (c *Coord) flushVerdicts() bool {
	grants, refusals := c.broker.TakeDecisions()
	if len(grants) == 0 && len(refusals) == 0 {
		return false
	}
	verdicts := map[netip.AddrPort]*Verdicts{}
	of := func(h netip.AddrPort) *Verdicts {
		if verdicts[h] == nil {
			verdicts[h] = &Verdicts{}
		}
		return verdicts[h]
	}
	for h, g := range grants {
		of(h).Grants = g
	}
	for h, r := range refusals {
		of(h).Refusals = r
	}
	for h, v := range verdicts {
		if h == c.self() {
			c.takeVerdicts(c.self(), *v)
		} else {
			c.mesh.Send(h, methodVerdicts, pack.Of(*v))
		}
	}
	return true
}

func (c *Coord) takeVerdicts(from netip.AddrPort, v Verdicts) {
	for _, g := range v.Grants {
		p := c.pending[g.ID]
		if p == nil {
			// Cancelled, or granted by a former leader: this grant goes unused.
			if from == c.leader && c.running[g.ID] == (granted{}) {
				c.out.Dones = append(c.out.Dones, broker.Completion{ID: g.ID, Target: g.Target, Outcome: broker.Unused})
			}
			continue
		}
		delete(c.pending, g.ID)
		run := granted{target: g.Target}
		if !p.ask.Resubmitted && p.ask.QuotaTokens > 0 {
			run.workspace, run.tokens = p.ask.Workspace, p.ask.QuotaTokens
			c.usage.Add(c.settings.Now(), run.workspace, run.tokens)
		}
		c.running[g.ID] = run
		p.verdict <- Verdict{Target: g.Target}
	}
	for _, r := range v.Refusals {
		if p := c.pending[r.ID]; p != nil {
			delete(c.pending, r.ID)
			refusal := r
			p.verdict <- Verdict{Refusal: &refusal}
		}
	}
}

// lost takes in that messages to a host may not have arrived.
func (c *Coord) lost(now time.Time, host netip.AddrPort) {
	c.hosts.Lost(now, host)
	if c.asking[host] {
		delete(c.asking, host)
		c.broker.RemoveHost(now, host)
		c.mesh.Send(host, methodResync, struct{}{})
	}
	if host == c.leader {
		c.settings.Log.Event("warn", "leader lost", "Leader", host)
		c.synced = false
		c.elect(now)
	}
}
