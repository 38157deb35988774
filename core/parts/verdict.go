package parts

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Verdict says whether a request may run, given its shared parts.
type Verdict struct {
	Refused    bool
	RetryAfter time.Duration // of a refused request, until one like it may run
	// Suspects are parts on account of which a request that is not refused may run only
	// while no other request with one of them is running.
	Suspects model.PromptParts
	// Causes are the parts of a refused request that may be at fault, Crashes the latest
	// crashes that accuse them.
	Causes  model.PromptParts
	Crashes []member.CrashID
}

// maxNamedCrashes limits the crashes that a verdict names.
const maxNamedCrashes = 8

// refuse refuses the request for some time, for crashes that some of its parts may have caused.
func (v *Verdict) refuse(left time.Duration, causes model.PromptParts, crashes []member.CrashID) {
	v.Refused, v.RetryAfter = true, max(v.RetryAfter, left)
	for _, p := range causes {
		if !slices.Contains(v.Causes, p) {
			v.Causes = append(v.Causes, p)
		}
	}
	for _, id := range crashes {
		if len(v.Crashes) < maxNamedCrashes && !slices.Contains(v.Crashes, id) {
			v.Crashes = append(v.Crashes, id)
		}
	}
}

// findings are the conclusions from the records.
type findings struct {
	validUntil time.Time
	explained  map[*crashEvent]bool // crashes that a refused part explains
	evidence   map[model.PromptPart]*evidence
}

// evidence is what the crashes of a part tell, without those that another, refused part
// explains.
type evidence struct {
	crashes    int
	successive int               // of them; see successive
	common     model.PromptParts // of all the crashes
	partial    model.PromptParts // of enough of the crashes to explain them if the others had another cause
	// neverWithOthers is set if no other part is left to explain any of the crashes, laterAlone if
	// none is left for a crash after those that have requests run one at a time.
	neverWithOthers bool
	laterAlone      bool
	lastParts       model.PromptParts // of the latest crash
	latest          []member.CrashID  // one record of each of the latest crashes
	lastAt          time.Time         // of the latest crash, also one that some hosts may still report
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
			if left := min(refused.until.Sub(now), r.refusedProbeAt(now, p, parts).Sub(now)); left > 0 {
				v.refuse(left, model.PromptParts{p}, r.evidenceOn(now, p).latest)
			}
			v.Suspects = append(v.Suspects, p)
			continue
		}
		if wait := r.probeAt(now, p, parts).Sub(now); wait > 0 {
			e := r.evidenceOn(now, p)
			v.refuse(wait, slices.Concat(e.common, e.partial), e.latest)
		}
		v.Suspects = append(v.Suspects, r.suspects(p, unexplained(r.crashesOf(p), f.explained))...)
	}
	if v.Refused {
		v.Suspects = nil
	}
	return v
}

// Probes reports whether a request that may run does so in spite of crashes that have others
// refused.
func (r *Records) Probes(now time.Time, parts model.PromptParts) bool {
	if len(r.events)+len(r.refusals) == 0 {
		return false
	}
	r.conclude(now)
	return slices.ContainsFunc(parts, func(p model.PromptPart) bool {
		_, refused := r.refusals[p]
		e := r.evidenceOn(now, p)
		return refused || e.successive >= refusalThreshold && containsAll(parts, e.common)
	})
}

// evidenceOn returns the evidence on a part.
func (r *Records) evidenceOn(now time.Time, p model.PromptPart) *evidence {
	if found := r.findings.evidence[p]; found != nil {
		return found
	}
	events := r.crashesOf(p)
	if _, refused := r.refusals[p]; !refused {
		events = unexplained(events, r.findings.explained)
	}
	found := r.weigh(p, settled(now, events))
	if len(events) > 0 {
		found.lastAt = events[len(events)-1].endedAt
	}
	r.findings.evidence[p] = found
	return found
}

// weigh returns the evidence of some crashes that are attributed to a part, in order of time.
func (r *Records) weigh(p model.PromptPart, events []*crashEvent) *evidence {
	e := &evidence{crashes: len(events), successive: successive(p, events)}
	if e.successive < refusalThreshold {
		return e
	}
	isAlone := func(x *crashEvent) bool { return len(x.lastSentAt) == 1 }
	e.laterAlone = slices.ContainsFunc(events[refusalThreshold:], isAlone)
	e.neverWithOthers = !slices.ContainsFunc(events, func(x *crashEvent) bool { return !isAlone(x) })
	last := events[len(events)-1]
	for i := len(events) - 1; i >= 0 && len(e.latest) < maxNamedCrashes; i-- {
		e.latest = append(e.latest, events[i].runs[0].id)
	}
	e.lastParts, e.common = slices.Sorted(maps.Keys(last.lastSentAt)), inAll(events)
	needed := max(suspectThresholdSound, min(e.successive-maxOrdinary, (e.successive+1)/2))
	for q, n := range countSuccessive(events) {
		isUnlikely := r.sound.contains(q) && !r.sound.contains(p)
		if n >= needed && !isUnlikely && !slices.Contains(e.common, q) {
			e.partial = append(e.partial, q)
		}
	}
	slices.Sort(e.partial)
	return e
}

// countSuccessive returns what successive does for each part of some crashes.
func countSuccessive(events []*crashEvent) map[model.PromptPart]int {
	counts, last := map[model.PromptPart]int{}, map[model.PromptPart]time.Time{}
	for _, e := range events {
		for q, sentAt := range e.lastSentAt {
			if sentAt.After(last[q]) {
				counts[q]++
				last[q] = e.endedAt
			}
		}
	}
	return counts
}

// isConclusive reports whether a part is the only explanation of its crashes, of which only a few
// can have had other causes.
func (e *evidence) isConclusive() bool {
	if len(e.common) != 1 {
		return false
	}
	return e.laterAlone || len(e.partial) == 0 && (e.neverWithOthers || e.successive >= freeProbes)
}

// probeAt returns when a request with a part that is not refused may run in spite of its crashes.
// Requests that can tell the explanations apart run first.
func (r *Records) probeAt(now time.Time, p model.PromptPart, parts model.PromptParts) time.Time {
	e := r.evidenceOn(now, p)
	if e.successive < refusalThreshold || !containsAll(parts, e.common) {
		return time.Time{}
	}
	lacksOne, repeats := !containsAll(parts, e.partial), containsAll(parts, e.lastParts)
	switch {
	case e.crashes >= maxProbes:
		return e.lastAt.Add(refusalMemory)
	case lacksOne && !repeats && e.crashes < freeProbes:
		return time.Time{}
	case lacksOne:
		return e.lastAt.Add(r.probeInterval(e, refusalThreshold, parts))
	case repeats:
		return e.lastAt.Add(repeatInterval(e.crashes))
	}
	return e.lastAt.Add(r.probeInterval(e, e.crashes, parts))
}

// refusedProbeAt returns when a request with a refused part may run before the refusal ends: if it
// lacks another part that can explain the crashes, or differs from the one that crashed last. One
// crash is left for the request that runs after the refusal.
func (r *Records) refusedProbeAt(now time.Time, p model.PromptPart, parts model.PromptParts) time.Time {
	e := r.evidenceOn(now, p)
	differs := !e.neverWithOthers && !e.laterAlone && !containsAll(parts, e.lastParts)
	if e.successive < refusalThreshold || e.crashes >= maxProbes-1 || !differs && containsAll(parts, e.partial) {
		return r.refusals[p].until
	}
	return e.lastAt.Add(r.probeInterval(e, e.crashes, parts))
}

// probeInterval returns the time from the latest of a number of crashes to a request with other parts.
// One that has further suspects waits for one that has none, since its crash would tell less.
func (r *Records) probeInterval(e *evidence, crashes int, parts model.PromptParts) time.Duration {
	interval := firstProbe << min(crashes-refusalThreshold, maxProbes)
	if slices.ContainsFunc(parts, func(q model.PromptPart) bool {
		return len(r.byPart[q]) >= suspectThresholdSound && !slices.Contains(e.common, q)
	}) {
		return 2 * interval
	}
	return interval
}

// repeatInterval returns the time from a crash to the next request that has all parts of the
// one that ended in it.
func repeatInterval(crashes int) time.Duration {
	interval := soundRefusal
	for n := refusalThreshold; n < crashes && interval < refusalMemory; n++ {
		interval = max(minRenewal, interval*probeBackoff)
	}
	return min(interval, refusalMemory)
}

// suspects returns the parts of which one request at a time may run on account of the
// crashes attributed to a part. From the second crash on these are all parts that explain
// its crashes as well: if requests with them do not run at the same time, the next crash
// tells which of them it is.
func (r *Records) suspects(p model.PromptPart, events []*crashEvent) model.PromptParts {
	switch n := successive(p, events); {
	case n >= suspectThresholdSound:
		return inAll(events)
	case n >= suspectThreshold && !r.sound.contains(p):
		return model.PromptParts{p}
	}
	return nil
}

// crashesOf returns the crashes that are attributed to a part, in order of time.
func (r *Records) crashesOf(p model.PromptPart) []*crashEvent {
	events := r.byPart[p]
	if len(events) > 1 {
		slices.SortFunc(events, func(x, y *crashEvent) int { return x.endedAt.Compare(y.endedAt) })
	}
	return events
}

func containsAll(parts, wanted model.PromptParts) bool {
	return !slices.ContainsFunc(wanted, func(p model.PromptPart) bool { return !slices.Contains(parts, p) })
}

// Refuses reports whether any part is refused, or was within refusalMemory.
func (r *Records) Refuses(now time.Time) bool {
	r.conclude(now)
	return len(r.refusals) > 0
}

// Explains reports whether a run of a process broke off in a crash that a refused part
// explains.
func (r *Records) Explains(now time.Time, process member.Process, sentAt, at time.Time) bool {
	if r.conclude(now); len(r.refusals) == 0 {
		return false
	}
	x := run{sentAt: sentAt, at: at}
	return slices.ContainsFunc(r.events, func(e *crashEvent) bool {
		return e.includes(process, x) && r.isExplained(now, e)
	})
}

// isExplained reports whether a crash is attributed to a refused part.
func (r *Records) isExplained(now time.Time, e *crashEvent) bool {
	for p, f := range r.refusals {
		if _, ok := e.lastSentAt[p]; ok && now.Before(f.until) {
			return true
		}
	}
	return false
}

// conclude returns the findings from the current records, and refuses the parts that
// are the only explanation of enough crashes.
func (r *Records) conclude(now time.Time) *findings {
	r.expire(now)
	if r.findings != nil && now.Before(r.findings.validUntil) {
		return r.findings
	}
	byPart := map[model.PromptPart][]*crashEvent{} // of the parts that may be refused
	for p, events := range r.byPart {
		if _, known := r.refusals[p]; known || len(events) >= refusalThreshold {
			byPart[p] = r.crashesOf(p)
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
	for p, ok := r.bestExplanation(now, byPart, explained); ok; p, ok = r.bestExplanation(now, byPart, explained) {
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
	r.findings = &findings{validUntil: r.nextSettled(now), explained: explained, evidence: map[model.PromptPart]*evidence{}}
	return r.findings
}

// settled returns the crashes that all hosts have had time to report.
func settled(now time.Time, events []*crashEvent) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool { return now.Sub(e.endedAt) < reportTime })
}

// nextSettled is when the next crash is settled, or the next check for expiry is due.
func (r *Records) nextSettled(now time.Time) time.Time {
	next := r.expireAt
	for _, e := range r.events {
		if at := e.endedAt.Add(reportTime); at.After(now) && at.Before(next) {
			next = at
		}
	}
	return next
}

// bestExplanation returns the part with the most unexplained crashes in succession, of
// those whose crashes have no other explanation.
func (r *Records) bestExplanation(now time.Time, byPart map[model.PromptPart][]*crashEvent, explained map[*crashEvent]bool) (model.PromptPart, bool) {
	var best model.PromptPart
	most := 0
	for _, p := range slices.Sorted(maps.Keys(byPart)) {
		if len(byPart[p]) < refusalThreshold {
			continue
		}
		events := settled(now, unexplained(byPart[p], explained))
		if n := successive(p, events); n <= most || n < refusalThreshold || len(inAll(events)) > 1 {
			continue
		}
		if e := r.weigh(p, events); e.isConclusive() {
			best, most = p, e.successive
		}
	}
	return best, most > 0
}

func unexplained(events []*crashEvent, explained map[*crashEvent]bool) []*crashEvent {
	return slices.DeleteFunc(slices.Clone(events), func(e *crashEvent) bool { return explained[e] })
}

// inAll returns the parts to which all of some crashes are attributed.
func inAll(events []*crashEvent) model.PromptParts {
	common := slices.Sorted(maps.Keys(events[0].lastSentAt))
	for _, e := range events[1:] {
		common = slices.DeleteFunc(common, func(p model.PromptPart) bool {
			_, ok := e.lastSentAt[p]
			return !ok
		})
	}
	return common
}

// successive returns the highest number of the crashes, in order of time, of which each
// request with the part was sent after the one before had crashed its target. Crashes at
// the same time may have one other cause, such as the loss of an availability zone.
func successive(p model.PromptPart, events []*crashEvent) int {
	n := 0
	var last time.Time
	for _, e := range events {
		if e.lastSentAt[p].After(last) {
			n++
			last = e.endedAt
		}
	}
	return n
}

// refuse refuses a part for its crashes, unless it is refused for them already.
func (r *Records) refuse(p model.PromptPart, events []*crashEvent) {
	latest := events[len(events)-1].endedAt
	f, known := r.refusals[p]
	switch {
	case !known:
		r.evictRefusal()
		f.length = expiry
		if r.sound.contains(p) {
			f.length = soundRefusal
		}
		f.until = latest.Add(f.length)
		r.changes = append(r.changes, Change{Part: p, Refused: true, Crashes: len(events)})
	case latest.After(f.until): // a probe
		f.length = max(f.length*probeBackoff, minRenewal)
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
