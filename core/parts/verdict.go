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
	RetryAfter time.Duration // of a refused request; 0 if an answer to another request may soon change the verdict
	// Suspects are parts on account of which a request that is not refused may run only
	// while no other request with one of them is running.
	Suspects model.PromptParts
}

// findings are the conclusions from the records.
type findings struct {
	validUntil time.Time
	explained  map[*crashEvent]bool // crashes that a refused part explains
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
		events := unexplained(r.crashesOf(p), f.explained)
		if containsExplanation(now, p, parts, events) && !r.mayProbe(now, events) {
			return Verdict{Refused: true}
		}
		v.Suspects = append(v.Suspects, r.suspects(p, events)...)
	}
	return v
}

// containsExplanation reports whether a request has all parts that can explain the
// crashes of one of them, if these are enough to refuse it.
func containsExplanation(now time.Time, p model.PromptPart, parts model.PromptParts, events []*crashEvent) bool {
	events = settled(now, events)
	return successive(p, events) >= refusalThreshold && containsAll(parts, inAll(events))
}

// mayProbe reports whether a request with all parts that explain some crashes may run once more:
// if all of them were answered before, soundRefusal after the last crash, unless that was a
// probe's.
func (r *Records) mayProbe(now time.Time, events []*crashEvent) bool {
	last := events[len(events)-1].endedAt
	probed := len(events) > 1 && last.Sub(events[len(events)-2].endedAt) >= soundRefusal
	unsound := slices.ContainsFunc(inAll(events), func(p model.PromptPart) bool { return !r.sound.contains(p) })
	return !probed && !unsound && now.Sub(last) >= soundRefusal
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
	r.findings = &findings{r.nextSettled(now), explained}
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
