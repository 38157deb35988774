// Package crash detects requests whose content crashes targets, also known as
// queries of death. A content that was running at several crashes, with no
// complete answer since, is refused for a time. Hosts can share their records, so
// that crashes seen by different hosts add up.
package crash

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Limits of the records.
const (
	Expiry     = 10 * time.Minute // after this time a crash is forgotten
	maxRecords = 4096
	maxShared  = 16 // records per message
	// maxHandover is the number of records that a host hands over to another that
	// may have missed some, about 10 KB.
	maxHandover = 256
)

// record is one crash of a target that was running a content.
type record struct {
	id      member.CrashID
	process member.Process
	sentAt  time.Time // when the broken request was sent
	at      time.Time
}

// sameCrash reports whether two requests broke in one crash: in the same process, their
// running times overlap, within the timing error between hosts. A request that the same host
// sent after a crash reached the restarted target.
func (c record) sameCrash(d record) bool {
	if c.id == d.id {
		return true
	}
	slack, ok := c.process.Slack(d.process, c.id.Seer == d.id.Seer)
	return ok && c.sentAt.Sub(d.at) <= slack && d.sentAt.Sub(c.at) <= slack
}

// Records holds the crashes that one host knows of. One goroutine owns it.
type Records struct {
	process uint64 // identifies this host's process in the ids of its records
	serial  uint64 // of the last crash reported here
	crashes map[model.Fingerprint][]record
	// answered is when each content with crashes was last answered completely.
	// Crashes before that had another cause.
	answered   map[model.Fingerprint]time.Time
	threshold  int // number of crashes at which a content is refused
	size       int
	batchStart int // index at which the next batch starts
}

// NewRecords returns empty records that refuse a content at crashLimit crashes.
// processID identifies this process; no other process has the same number.
func NewRecords(processID uint64, crashLimit int) *Records {
	return &Records{
		process: processID, crashes: map[model.Fingerprint][]record{}, answered: map[model.Fingerprint]time.Time{}, threshold: crashLimit,
	}
}

// RecordCrash records that a target crashed at a time while running a content
// that it was sent took earlier. Several reports of one crash count once.
func (r *Records) RecordCrash(at time.Time, took time.Duration, f model.Fingerprint, process member.Process) {
	r.serial++
	r.add(f, record{id: member.CrashID{Seer: r.process, Serial: r.serial}, process: process, sentAt: at.Add(-took), at: at})
}

// LastSerial returns the number of crashes reported here, with repeated reports
// of one crash counted each time.
func (r *Records) LastSerial() uint64 { return r.serial }

// add adds a record unless it is known, or older than the last answer to its
// content.
func (r *Records) add(f model.Fingerprint, c record) {
	if slices.ContainsFunc(r.crashes[f], c.sameCrash) || !c.at.After(r.answered[f]) {
		return
	}
	if r.size >= maxRecords {
		r.evict()
	}
	r.crashes[f] = append(r.crashes[f], c)
	r.size++
}

// evict makes room for a record. It drops the content with the fewest crashes; of
// several, the one whose latest crash is the oldest.
func (r *Records) evict() {
	var fewest model.Fingerprint
	found := false
	for f, crashes := range r.crashes {
		fewestCrashes := r.crashes[fewest]
		if !found || cmp.Or(cmp.Compare(len(crashes), len(fewestCrashes)), latest(crashes).Compare(latest(fewestCrashes))) < 0 {
			fewest, found = f, true
		}
	}
	r.retain(fewest, func(record) bool { return false })
}

// latest returns the time of the latest crash.
func latest(crashes []record) time.Time {
	return slices.MaxFunc(crashes, func(a, b record) int { return a.at.Compare(b.at) }).at
}

// RecordAnswer records that a target answered a content completely, so that the
// content does not crash targets. It reports whether the content had crashes.
func (r *Records) RecordAnswer(now time.Time, f model.Fingerprint) bool {
	if len(r.crashes[f]) == 0 {
		return false
	}
	r.clear(f, now)
	return true
}

// clear drops the crashes of a content up to a time.
func (r *Records) clear(f model.Fingerprint, until time.Time) {
	if !until.After(r.answered[f]) {
		return
	}
	r.answered[f] = until
	r.retain(f, func(c record) bool { return c.at.After(until) })
}

// Forgive drops the crashes that have another cause than the content, as reported by
// explained for the process, the sending of the request and the crash.
func (r *Records) Forgive(explained func(process member.Process, sentAt, at time.Time) bool) {
	for f := range r.crashes {
		r.retain(f, func(c record) bool { return !explained(c.process, c.sentAt, c.at) })
	}
}

// retain drops the records of a content for which wanted returns false.
func (r *Records) retain(f model.Fingerprint, wanted func(record) bool) {
	before := len(r.crashes[f])
	kept := slices.DeleteFunc(r.crashes[f], func(c record) bool { return !wanted(c) })
	r.size -= before - len(kept)
	r.crashes[f] = kept
	if len(kept) == 0 {
		delete(r.crashes, f)
	}
}

// Count returns the number of known crashes of a content.
func (r *Records) Count(now time.Time, f model.Fingerprint) int {
	r.expireContent(now, f)
	return len(r.crashes[f])
}

// Refused reports whether a content is refused, and for how much longer.
func (r *Records) Refused(now time.Time, f model.Fingerprint) (time.Duration, bool) {
	if r.Count(now, f) < r.threshold {
		return 0, false
	}
	crashes := slices.Clone(r.crashes[f])
	slices.SortFunc(crashes, func(a, b record) int { return b.at.Compare(a.at) })
	return crashes[r.threshold-1].at.Add(Expiry).Sub(now), true
}

func (r *Records) expire(now time.Time) {
	for f := range r.crashes {
		r.expireContent(now, f)
	}
	maps.DeleteFunc(r.answered, func(_ model.Fingerprint, at time.Time) bool { return now.Sub(at) >= Expiry })
}

func (r *Records) expireContent(now time.Time, f model.Fingerprint) {
	if len(r.crashes[f]) == 0 {
		return
	}
	r.retain(f, func(c record) bool { return now.Sub(c.at) < Expiry })
}

// Answers returns the contents with crashes that were answered since.
func (r *Records) Answers(now time.Time) []member.Answer {
	r.expire(now)
	answers := make([]member.Answer, 0, len(r.answered))
	for f, at := range r.answered {
		answers = append(answers, member.Answer{Fingerprint: f, Age: now.Sub(at)})
	}
	return answers
}

// MergeAnswers merges the answers that other hosts have seen.
func (r *Records) MergeAnswers(now time.Time, answers []member.Answer) {
	for _, a := range answers {
		if a.Age >= 0 && a.Age < Expiry {
			r.clear(a.Fingerprint, now.Add(-a.Age))
		}
	}
}

// NextBatch returns the next few records to share. Successive calls go through
// all records in turn.
func (r *Records) NextBatch(now time.Time) []member.Crash {
	all := r.collect(now, func(record) bool { return true })
	if len(all) <= maxShared {
		return all
	}
	r.batchStart = (r.batchStart + maxShared) % len(all)
	return append(all[r.batchStart:], all[:r.batchStart]...)[:maxShared]
}

// Handover returns the records for a host that may have missed some: all, or
// those of the contents with the most crashes.
func (r *Records) Handover(now time.Time) []member.Crash {
	all := r.collect(now, func(record) bool { return true })
	slices.SortStableFunc(all, func(a, b member.Crash) int {
		return cmp.Compare(len(r.crashes[b.Fingerprint]), len(r.crashes[a.Fingerprint]))
	})
	return all[:min(len(all), maxHandover)]
}

// OwnSince returns the records of crashes reported here after the one with a
// serial number.
func (r *Records) OwnSince(now time.Time, after uint64) []member.Crash {
	return r.collect(now, func(c record) bool { return c.id.Seer == r.process && c.id.Serial > after })
}

// collect returns the records for which wanted returns true, the latest first.
func (r *Records) collect(now time.Time, wanted func(record) bool) []member.Crash {
	r.expire(now)
	all := make([]member.Crash, 0, r.size)
	for f, crashes := range r.crashes {
		for _, c := range crashes {
			if wanted(c) {
				all = append(all, member.Crash{ID: c.id, Fingerprint: f, Target: c.process.Address, Born: c.process.Born, Age: now.Sub(c.at), Took: c.at.Sub(c.sentAt)})
			}
		}
	}
	slices.SortFunc(all, func(a, b member.Crash) int { return cmp.Compare(a.Age, b.Age) })
	return all
}

// Merge merges another host's records.
func (r *Records) Merge(now time.Time, shared []member.Crash) {
	for _, c := range shared {
		if c.Age >= 0 && c.Age < Expiry {
			at := now.Add(-c.Age)
			r.add(c.Fingerprint, record{id: c.ID, process: c.Process(), sentAt: at.Add(-c.Took), at: at})
		}
	}
}
