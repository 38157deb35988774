package parts

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/model"
)

// Verdict says whether a request may run, given its shared parts.
type Verdict struct {
	Refused    bool
	RetryAfter time.Duration // of a refused request; 0 if an answer to another request may soon change the verdict
	// Suspects are parts on account of which a request that is not refused may run only
	// while no other request with one of them is running.
	Suspects model.PromptParts
}

// findings are the conclusions from the records.
type findings struct {
	validUntil time.Time
	attributed map[model.PromptPart]bool // parts to which a crash is attributed
	// suspects are the parts that have reached their suspectThreshold, without the crashes
	// that a refused part explains. Each comes with the parts that explain its crashes as
	// well: if requests with these do not run at the same time, the next crash tells which
	// of them it is.
	suspects map[model.PromptPart]model.PromptParts
	// explanations are all the parts to which these crashes are attributed, for each part
	// that has reached refusalThreshold.
	explanations map[model.PromptPart]model.PromptParts
}

// Check returns the verdict on a request.
func (r *Records) Check(now time.Time, parts model.PromptParts) Verdict {
	if len(r.events)+len(r.refusals) == 0 || len(parts) == 0 {
		return Verdict{}
	}
	f := r.conclude(now)
	var v Verdict
	for _, p := range parts {
		if refused, ok := r.refusals[p]; ok {
			if left := refused.until.Sub(now); left > 0 {
				return Verdict{Refused: true, RetryAfter: left}
			}
			v.Suspects = append(v.Suspects, p)
			continue
		}
		if all, ok := f.explanations[p]; ok && containsAll(parts, all) {
			return Verdict{Refused: true}
		}
		v.Suspects = append(v.Suspects, f.suspects[p]...)
	}
	return v
}

func containsAll(parts, wanted model.PromptParts) bool {
	return !slices.ContainsFunc(wanted, func(p model.PromptPart) bool { return !slices.Contains(parts, p) })
}

// Explains reports whether a run at a target broke off in a crash that a refused part
// explains.
func (r *Records) Explains(now time.Time, target netip.AddrPort, sentAt, at time.Time) bool {
	r.conclude(now)
	x := run{sentAt: sentAt, at: at}
	return slices.ContainsFunc(r.events, func(e *crashEvent) bool {
		return e.includes(target, x) && slices.ContainsFunc(e.parts(), func(p model.PromptPart) bool { return r.isRefused(now, p) })
	})
}

func (r *Records) isRefused(now time.Time, p model.PromptPart) bool {
	f, ok := r.refusals[p]
	return ok && now.Before(f.until)
}

// parts returns the parts to which a crash is attributed, without repetition.
func (e *crashEvent) parts() model.PromptParts {
	var all model.PromptParts
	for _, x := range e.runs {
		all = append(all, x.parts...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// conclude returns the findings from the current records, and refuses the parts that
// are the only explanation of enough crashes.
func (r *Records) conclude(now time.Time) *findings {
	r.expire(now)
	if r.findings != nil && now.Before(r.findings.validUntil) {
		return r.findings
	}
	byPart := map[model.PromptPart][]*crashEvent{}
	for _, e := range r.events {
		for _, p := range e.parts() {
			byPart[p] = append(byPart[p], e)
		}
	}
	explained, found := map[*crashEvent]bool{}, map[model.PromptPart]bool{}
	explain := func(p model.PromptPart) {
		found[p] = true
		for _, e := range byPart[p] {
			explained[e] = true
		}
		r.refuse(p, byPart[p])
	}
	for p, ok := bestExplanation(now, byPart, explained); ok; p, ok = bestExplanation(now, byPart, explained) {
		explain(p)
	}
	for _, p := range slices.Sorted(maps.Keys(r.refusals)) {
		switch {
		case found[p] || len(byPart[p]) == 0:
		case len(unexplained(byPart[p], explained)) == 0, successive(p, settled(now, byPart[p])) >= refusalThreshold:
			r.dropRefusal(p) // another part explains its crashes too
		default:
			explain(p)
		}
	}
	r.findings = r.conclusions(now, byPart, explained)
	return r.findings
}

// conclusions returns the findings on the crashes that no refused part explains.
func (r *Records) conclusions(now time.Time, byPart map[model.PromptPart][]*crashEvent, explained map[*crashEvent]bool) *findings {
	f := &findings{
		validUntil: r.nextSettled(now), attributed: map[model.PromptPart]bool{},
		suspects: map[model.PromptPart]model.PromptParts{}, explanations: map[model.PromptPart]model.PromptParts{},
	}
	for p, events := range byPart {
		f.attributed[p] = true
		events = unexplained(events, explained)
		n := len(events)
		if n >= suspectThresholdSound {
			n = successive(p, events)
		}
		switch {
		case n >= suspectThresholdSound:
			f.suspects[p] = inAll(events)
		case n >= suspectThreshold && !r.sound.contains(p):
			f.suspects[p] = model.PromptParts{p}
		}
		if events = settled(now, events); n >= refusalThreshold && successive(p, events) >= refusalThreshold {
			f.explanations[p] = inAll(events)
		}
	}
	return f
}

// settled returns the crashes that all hosts have had time to report.
func settled(now time.Time, events []*crashEvent) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool { return now.Sub(e.end()) < reportTime })
}

// nextSettled is when the next crash is settled, or the next check for expiry is due.
func (r *Records) nextSettled(now time.Time) time.Time {
	next := r.expireAt
	for _, e := range r.events {
		if at := e.end().Add(reportTime); at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// bestExplanation returns the part with the most unexplained crashes in succession, of
// those that have reached refusalThreshold and are the only part to which all of these
// crashes are attributed.
func bestExplanation(now time.Time, byPart map[model.PromptPart][]*crashEvent, explained map[*crashEvent]bool) (model.PromptPart, bool) {
	var best model.PromptPart
	most := 0
	for _, p := range slices.Sorted(maps.Keys(byPart)) {
		if len(byPart[p]) < refusalThreshold {
			continue
		}
		events := settled(now, unexplained(byPart[p], explained))
		if n := successive(p, events); n > most && n >= refusalThreshold && len(inAll(events)) == 1 {
			best, most = p, n
		}
	}
	return best, most > 0
}

func unexplained(events []*crashEvent, explained map[*crashEvent]bool) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool { return explained[e] })
}

// inAll returns the parts to which all of some crashes are attributed.
func inAll(events []*crashEvent) model.PromptParts {
	var common model.PromptParts
	for i, e := range events {
		if i == 0 {
			common = e.parts()
			continue
		}
		parts := e.parts()
		common = slices.DeleteFunc(common, func(p model.PromptPart) bool { return !slices.Contains(parts, p) })
	}
	return common
}

// successive returns the highest number of the crashes of which each request with the
// part was sent after the one before had crashed its target. Crashes at the same time
// may have one other cause, such as the loss of an availability zone.
func successive(p model.PromptPart, events []*crashEvent) int {
	events = slices.SortedFunc(slices.Values(events), func(x, y *crashEvent) int { return x.end().Compare(y.end()) })
	n := 0
	var last time.Time
	for _, e := range events {
		if e.lastSentAt(p).After(last) {
			n++
			last = e.end()
		}
	}
	return n
}

// lastSentAt is when the last of the broken requests with a part was sent.
func (e *crashEvent) lastSentAt(p model.PromptPart) time.Time {
	var last time.Time
	for _, x := range e.runs {
		if x.sentAt.After(last) && slices.Contains(x.parts, p) {
			last = x.sentAt
		}
	}
	return last
}

// refuse refuses a part for its crashes, unless it is refused for them already.
func (r *Records) refuse(p model.PromptPart, events []*crashEvent) {
	latest := slices.MaxFunc(events, func(x, y *crashEvent) int { return x.end().Compare(y.end()) }).end()
	f, known := r.refusals[p]
	switch {
	case !known:
		r.evictRefusal()
		f.length = expiry
		f.until = latest.Add(f.length)
		r.changes = append(r.changes, Change{Part: p, Refused: true, Crashes: len(events)})
	case latest.After(f.until): // a probe
		f.length *= probeBackoff
		f.until = latest.Add(f.length)
		r.changes = append(r.changes, Change{Part: p, Refused: true, Crashes: len(events)})
	case latest.After(f.crashedAt): // sent before the part was refused
		f.until = latest.Add(f.length)
	}
	if latest.After(f.crashedAt) {
		f.crashedAt = latest
	}
	r.refusals[p] = f
}

// dropRefusal allows a part again.
func (r *Records) dropRefusal(p model.PromptPart) {
	delete(r.refusals, p)
	r.findings = nil
	r.changes = append(r.changes, Change{Part: p})
}

// evictRefusal drops the refusal that ends first if there are too many.
func (r *Records) evictRefusal() {
	if len(r.refusals) < maxRefusals {
		return
	}
	first := slices.MinFunc(slices.Collect(maps.Keys(r.refusals)), func(x, y model.PromptPart) int {
		return cmp.Or(r.refusals[x].until.Compare(r.refusals[y].until), cmp.Compare(x, y))
	})
	r.dropRefusal(first)
}
