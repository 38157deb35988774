package broker

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/notice"
	"yuccadoor/core/roster"
)

// Bounds and weights of what is known of a target.
const (
	plainSlots = 4 // requests at once where neither target nor operator tells
	// promptPart is how many prompt tokens take about as long to read as one
	// output token takes to make.
	promptPart = 250
	// rateWeight is the weight of a new observation in the averages.
	rateWeight = 0.15
	// firstRate is the time for one output token that is assumed of a target of
	// which nothing is known yet.
	firstRate = 5 * time.Millisecond
	// backoffLeast and backoffMost bound the backoff from a target that could not
	// be connected; it doubles with each failure in a row.
	backoffLeast = 250 * time.Millisecond
	backoffMost  = 2 * time.Second
	// badInRow is how many failed answers in a row eject a target: one in
	// twenty failing by chance does that once in some thousand answers.
	badInRow = 3
	// ejectLeast and ejectMost bound for how long; it doubles with each trial that
	// fails.
	ejectLeast = 500 * time.Millisecond
	ejectMost  = 4 * time.Second
	// mostEjected is the part of a service's targets that may be ejected at once,
	// and commonFailing the mean share of failures above which none is.
	mostEjected   = 0.34
	commonFailing = 0.3
	// silentAfter is after how long a request that was given up without any part
	// of an answer counts as failed.
	silentAfter = time.Second
	// rejectPause is how long a target that turned a request away gets no more
	// than it runs.
	rejectPause = 200 * time.Millisecond
	// remoteFactor is how much slower a target in another zone counts.
	remoteFactor = 1.4
	// errorFactor weighs the share of failed answers against speed.
	errorFactor = 4.0
)

// target is what the broker knows of one target beyond what is published.
type target struct {
	published *roster.Target
	running   int
	rate      time.Duration // for one output token; 0 while unknown
	plain     time.Duration // for a whole answer of a plain service
	failing   float64       // share of failed answers, in 0 to 1
	// unreached holds the hosts that could not connect lately.
	unreached     map[netip.AddrPort]unreached
	rejectedUntil time.Time
	bad           int           // failed answers in a row
	ejectedUntil  time.Time     // for failing
	coldUntil     time.Time     // as it told with an answer
	nextCold      time.Time     // when a cold target may get its next request
	notice        *notice.State // what it has said of itself; nil for nothing
	// prefillUntil is when the prompts that it was handed are probably read: engines
	// read them one after the other.
	prefillUntil time.Time
	// shortest is the shortest pause between events that its streams allow, since it
	// was last idle; 0 for none.
	shortest time.Duration
}

// unreached is a host's failure to connect to a target.
type unreached struct {
	failures int // in a row
	until    time.Time
}

// hostsAgree is how many hosts must fail to connect, or be asked for a pause, before
// all back off from the target: one host may be cut off from it, or have sent it
// too much.
const hostsAgree = 2

func newTarget(now time.Time) *target {
	return &target{nextCold: now, unreached: map[netip.AddrPort]unreached{}}
}

// cold reports whether the target bears only its cold rate, as published or as it
// told with an answer.
func (t *target) cold(now time.Time) bool {
	return t.published.Cold(now) || now.Before(t.coldUntil)
}

// blockedFor is how long a host backs off from the target.
func (t *target) blockedFor(now time.Time, host netip.AddrPort) time.Duration {
	return max(t.unreached[host].until.Sub(now), t.notice.PauseLeft(now, host), t.blocked(now), 0)
}

// blocked is how long all hosts back off from the target.
func (t *target) blocked(now time.Time) time.Duration {
	var waits []time.Duration
	for _, u := range t.unreached {
		if wait := u.until.Sub(now); wait > 0 {
			waits = append(waits, wait)
		}
	}
	return max(agreed(waits), agreed(t.notice.PausesLeft(now)))
}

// costOf gives the size of a request in output tokens.
func costOf(a Request) float64 {
	return 1 + float64(a.OutputTokens) + float64(a.PromptTokens)/promptPart
}

// slots is how many requests the target runs at once.
func (t *target) slots(b *Broker) int {
	if s := b.config.Service(t.published.Service); s != nil && s.Engine && s.Slots > 0 {
		return s.Slots
	}
	if t.published.Slots > 0 {
		return t.published.Slots
	}
	return plainSlots
}

func (t *target) hasRoom(now time.Time, b *Broker) bool {
	if t.bad >= badInRow && (now.Before(t.ejectedUntil) || t.running > 0) {
		return false // ejected, or on trial with one request
	}
	if t.running >= t.slots(b) || t.notice.Leaving() || t.blocked(now) > 0 {
		return false
	}
	if now.Before(t.rejectedUntil) && t.running > 0 {
		return false
	}
	return !t.cold(now) || !now.Before(t.nextCold)
}

// prefillBacklog is how long the target probably still reads prompts of others.
func (t *target) prefillBacklog(now time.Time) time.Duration {
	if t.running == 0 {
		return 0
	}
	return max(t.prefillUntil.Sub(now), 0)
}

// sent notes a grant: its prompt is read after those before it, and a cold target
// has had one of its pace.
func (t *target) sent(now time.Time, b *Broker, w *waiting) {
	t.prefillUntil = now.Add(t.prefillBacklog(now) + b.prefillTime(w, t))
	t.notePause(w)
	s := b.config.Service(t.published.Service)
	if s == nil || s.ColdPerSecond <= 0 || !t.cold(now) {
		return
	}
	pace := time.Duration(float64(time.Second) / (s.ColdPerSecond * max(b.share, 0.01)))
	t.nextCold = now.Add(pace)
}

// learn takes in how a request ended.
func (t *target) learn(now time.Time, host netip.AddrPort, d Completion, prompt int) {
	if d.ColdLeft > 0 {
		t.coldUntil = now.Add(d.ColdLeft)
	}
	switch d.Outcome {
	case Unused, Cancelled:
	case NoConnect:
		t.block(now, host)
		return
	default:
		delete(t.unreached, host)
	}
	if d.Outcome == Cancelled && d.TimeToFirstPart == 0 && d.Took > silentAfter {
		t.bad++
		return
	}
	switch d.Outcome {
	case Good:
		t.bad = 0
		t.failing *= 1 - rateWeight
		t.observe(d, prompt)
	case Failed:
		t.bad++
		t.failing += rateWeight * (1 - t.failing)
	case Rejected:
		t.rejectedUntil = now.Add(rejectPause)
	case Broken:
		// A server that is gone shows at the next connection; answers that are
		// lost on the way are no reason to back off from a sound one.
		t.bad++
		t.failing += rateWeight * (1 - t.failing)
	}
}

func (t *target) block(now time.Time, host netip.AddrPort) {
	u := t.unreached[host]
	u.until = now.Add(min(backoffLeast<<min(u.failures, 8), backoffMost))
	u.failures++
	t.unreached[host] = u
}

// eject gives a target that only fails no work for a while, longer each time it fails
// its trial. A target that fails at once has free places always, and would get
// most of the work. When many fail, or many are ejected, none is: then it is
// no matter of the target.
func (b *Broker) eject(now time.Time, t *target) {
	if t.bad < badInRow {
		return
	}
	others, ejected, failing := 0, 0, 0.0
	for _, p := range b.roster.Of(t.published.Service) {
		if o := b.targets[p.ID]; o != nil && o != t {
			others++
			failing += o.failing
			if o.bad >= badInRow {
				ejected++
			}
		}
	}
	if others == 0 || failing/float64(others) > commonFailing || float64(ejected+1) > mostEjected*float64(others+1) {
		t.bad = badInRow - 1
		return
	}
	t.ejectedUntil = now.Add(min(ejectLeast<<min(t.bad-badInRow, 8), ejectMost))
}

func (t *target) observe(d Completion, prompt int) {
	if d.OutputTokens <= 0 {
		t.plain = average(t.plain, d.Took)
		return
	}
	units := float64(d.OutputTokens) + float64(prompt)/promptPart
	t.rate = average(t.rate, time.Duration(float64(d.Took)/units))
}

func average(old, seen time.Duration) time.Duration {
	if old == 0 {
		return seen
	}
	return old + time.Duration(rateWeight*float64(seen-old))
}

// speed is the time that the target takes for one unit of work.
func (t *target) speed() time.Duration {
	switch {
	case t.rate > 0:
		return t.rate
	case t.plain > 0:
		return t.plain
	}
	return firstRate
}

// free lists the targets of a service that can be handed a request now.
func (b *Broker) free(now time.Time, service string) []*target {
	var free []*target
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && t.hasRoom(now, b) {
			free = append(free, t)
		}
	}
	return free
}

// pick chooses the target that probably answers soonest.
func (b *Broker) pick(now time.Time, w *waiting, free []*target, allowed func(time.Time, *waiting, *target) bool) *target {
	var best *target
	least := math.Inf(1)
	for _, t := range free {
		if slices.Contains(w.ask.ExcludedTargets, t.published.ID) || !t.hasRoom(now, b) || t.blockedFor(now, w.host) > 0 || !allowed(now, w, t) || !b.keepsPauses(now, w, t) {
			continue
		}
		if s := b.score(now, w, t); s < least {
			best, least = t, s
		}
	}
	return best
}

// score is how long a target will probably take for a request, in seconds: until it
// has read the prompts before, and then for the work, with others beside it. Failures
// and the way to another availability zone make it longer.
func (b *Broker) score(now time.Time, w *waiting, t *target) float64 {
	s := w.cost * t.speed().Seconds() * (1 + float64(t.running)/float64(4*t.slots(b)))
	s += t.prefillBacklog(now).Seconds()
	s *= 1 + errorFactor*t.failing
	if t.published.Zone != w.ask.Zone {
		s *= remoteFactor
	}
	return s
}

// answers is what was learnt of how soon a service's answers begin: a part that
// every request has and one for each token of its prompt.
type answers struct {
	first   time.Duration
	prompt  time.Duration
	reading slope         // of the time to the first part, in seconds, by prompt tokens
	fastest time.Duration // for one output token, of the fastest target
	pause   time.Duration // the longest between two events of a stream
}

// Weights of the estimate. It is to be exceeded by few requests, so that it
// rises faster than it falls.
const (
	firstRise = 0.1
	firstFall = 0.01
	// promptStart is assumed for one token of a prompt at first, as if it had been
	// seen of promptPrior prompts of longPrompt tokens.
	promptStart = 25 * time.Microsecond
	promptPrior = 5
	longPrompt  = 4000
)

// learnFirst takes in how soon an answer began, as if at the fastest target.
func (b *Broker) learnFirst(t *target, took time.Duration, prompt int) {
	service := t.published.Service
	a := b.services[service]
	if a == nil {
		a = &answers{first: took}
		a.reading.see(0, 0, promptPrior)
		a.reading.see(longPrompt, (longPrompt * promptStart).Seconds(), promptPrior)
		b.services[service] = a
	}
	a.fastest = b.fastestOf(service)
	took = time.Duration(float64(took) / b.slowness(t))
	a.reading.see(float64(prompt), took.Seconds(), 1)
	a.prompt = time.Duration(a.reading.perUnit() * float64(time.Second))
	over := took - time.Duration(prompt)*a.prompt - a.first
	weight := firstFall
	if over > 0 {
		weight = firstRise
	}
	a.first = max(a.first+time.Duration(weight*float64(over)), 0)
}

// fastestOf is the least time for a unit of work among a service's targets.
func (b *Broker) fastestOf(service string) time.Duration {
	var least time.Duration
	for _, p := range b.roster.Of(service) {
		if t := b.targets[p.ID]; t != nil && t.rate > 0 && (least == 0 || t.rate < least) {
			least = t.rate
		}
	}
	return least
}
