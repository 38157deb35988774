// Package crash recognises requests whose content crashes targets, also known as
// queries of death. A content that was running at several crashes, with no whole
// answer since, is refused for a time; the records can be shared, so that the
// crashes may have been seen by different hosts.
package crash

import (
	"cmp"
	"maps"
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
)

// Bounds of the records.
const (
	Expiry     = 10 * time.Minute // after which a crash is forgotten
	maxRecords = 4096
	maxShared  = 16 // records in one message
	// maxHandover is how many records a host hands to another that may have missed
	// some; 10 KB.
	maxHandover = 256
	// onTheWay is by how much later a record may seem that came from another
	// host: its age is as of sending, and messages take some time.
	onTheWay = 300 * time.Millisecond
)

// record is one crash of one target while it ran a content.
type record struct {
	id     member.CrashID
	target netip.AddrPort
	began  time.Time // when the request that broke was sent
	at     time.Time
}

// sameCrash reports whether two requests broke at one crash: both were under way
// at some time, as far as hosts agree about time. One sent after a crash met the
// target's next process.
func (c record) sameCrash(d record) bool {
	if c.id == d.id {
		return true
	}
	slack := time.Duration(0)
	if c.id.Seer != d.id.Seer {
		slack = onTheWay
	}
	return c.target == d.target && c.began.Sub(d.at) <= slack && d.began.Sub(c.at) <= slack
}

// Records are the crashes that one host knows of. One goroutine owns it.
type Records struct {
	self    uint64 // number of this host's process, in the ids of its records
	serial  uint64 // of the last record made here
	crashes map[model.Fingerprint][]record
	// answered is when contents with crashes were last answered whole. Crashes
	// before that had another cause.
	answered map[model.Fingerprint]time.Time
	limit    int // crashes at which a content is refused
	size     int
	next     int // where the next message starts
}

// NewRecords returns empty records of the process with this number, which no
// other process has, that refuse a content at so many crashes.
func NewRecords(self uint64, limit int) *Records {
	return &Records{
		self: self, crashes: map[model.Fingerprint][]record{}, answered: map[model.Fingerprint]time.Time{}, limit: limit,
	}
}

// RecordCrash records that a target broke at a time, while it ran a content that it
// had been sent took before. Several reports of one crash count once.
func (r *Records) RecordCrash(at time.Time, took time.Duration, f model.Fingerprint, target netip.AddrPort) {
	r.serial++
	r.add(f, record{id: member.CrashID{Seer: r.self, Serial: r.serial}, target: target, began: at.Add(-took), at: at})
}

// LastSerial is how many crashes were reported here, each as often as it was.
func (r *Records) LastSerial() uint64 { return r.serial }

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

// evict makes room for a record: it drops the content with the fewest crashes, of
// several the one whose last crash is the oldest.
func (r *Records) evict() {
	var least model.Fingerprint
	found := false
	for f, crashes := range r.crashes {
		of := r.crashes[least]
		if !found || cmp.Or(cmp.Compare(len(crashes), len(of)), last(crashes).Compare(last(of))) < 0 {
			least, found = f, true
		}
	}
	r.keep(least, func(record) bool { return false })
}

// last is when the latest of some crashes was.
func last(crashes []record) time.Time {
	return slices.MaxFunc(crashes, func(a, b record) int { return a.at.Compare(b.at) }).at
}

// RecordAnswer takes in that a target has answered a content whole: it does not crash
// those that run it. It reports whether crashes were recorded of it.
func (r *Records) RecordAnswer(now time.Time, f model.Fingerprint) bool {
	if len(r.crashes[f]) == 0 {
		return false
	}
	r.clear(f, now)
	return true
}

// clear drops what was recorded of a content up to a time.
func (r *Records) clear(f model.Fingerprint, until time.Time) {
	if !until.After(r.answered[f]) {
		return
	}
	r.answered[f] = until
	r.keep(f, func(c record) bool { return c.at.After(until) })
}

// keep drops the records of a content for which wanted does not hold.
func (r *Records) keep(f model.Fingerprint, wanted func(record) bool) {
	before := len(r.crashes[f])
	kept := slices.DeleteFunc(r.crashes[f], func(c record) bool { return !wanted(c) })
	r.size -= before - len(kept)
	r.crashes[f] = kept
	if len(kept) == 0 {
		delete(r.crashes, f)
	}
}

// Count is how many crashes of a content are known.
func (r *Records) Count(now time.Time, f model.Fingerprint) int {
	r.expireOf(now, f)
	return len(r.crashes[f])
}

// Refused reports whether a content is to be refused, and for how long.
func (r *Records) Refused(now time.Time, f model.Fingerprint) (time.Duration, bool) {
	if r.Count(now, f) < r.limit {
		return 0, false
	}
	crashes := slices.Clone(r.crashes[f])
	slices.SortFunc(crashes, func(a, b record) int { return b.at.Compare(a.at) })
	return crashes[r.limit-1].at.Add(Expiry).Sub(now), true
}

func (r *Records) expire(now time.Time) {
	for f := range r.crashes {
		r.expireOf(now, f)
	}
	maps.DeleteFunc(r.answered, func(_ model.Fingerprint, at time.Time) bool { return now.Sub(at) >= Expiry })
}

func (r *Records) expireOf(now time.Time, f model.Fingerprint) {
	if len(r.crashes[f]) == 0 {
		return
	}
	r.keep(f, func(c record) bool { return now.Sub(c.at) < Expiry })
}

// Answers returns which contents with crashes were answered since.
func (r *Records) Answers(now time.Time) []member.Answer {
	r.expire(now)
	answers := make([]member.Answer, 0, len(r.answered))
	for f, at := range r.answered {
		answers = append(answers, member.Answer{Fingerprint: f, Age: now.Sub(at)})
	}
	return answers
}

// MergeAnswers takes in which contents other hosts have seen answered.
func (r *Records) MergeAnswers(now time.Time, answers []member.Answer) {
	for _, a := range answers {
		if a.Age >= 0 && a.Age < Expiry {
			r.clear(a.Fingerprint, now.Add(-a.Age))
		}
	}
}

// NextBatch returns some of the records, all of them in turn.
func (r *Records) NextBatch(now time.Time) []member.Crash {
	all := r.collect(now, func(record) bool { return true })
	if len(all) <= maxShared {
		return all
	}
	r.next = (r.next + maxShared) % len(all)
	return append(all[r.next:], all[:r.next]...)[:maxShared]
}

// Handover returns what another host needs that may have missed some: all records,
// or those of the contents with the most crashes.
func (r *Records) Handover(now time.Time) []member.Crash {
	all := r.collect(now, func(record) bool { return true })
	slices.SortStableFunc(all, func(a, b member.Crash) int {
		return cmp.Compare(len(r.crashes[b.Fingerprint]), len(r.crashes[a.Fingerprint]))
	})
	return all[:min(len(all), maxHandover)]
}

// OwnSince returns the records that were made here after the one with a number.
func (r *Records) OwnSince(now time.Time, after uint64) []member.Crash {
	return r.collect(now, func(c record) bool { return c.id.Seer == r.self && c.id.Serial > after })
}

// collect returns the records for which wanted holds, the latest first.
func (r *Records) collect(now time.Time, wanted func(record) bool) []member.Crash {
	r.expire(now)
	all := make([]member.Crash, 0, r.size)
	for f, crashes := range r.crashes {
		for _, c := range crashes {
			if wanted(c) {
				all = append(all, member.Crash{ID: c.id, Fingerprint: f, Target: c.target, Age: now.Sub(c.at), Took: c.at.Sub(c.began)})
			}
		}
	}
	slices.SortFunc(all, func(a, b member.Crash) int { return cmp.Compare(a.Age, b.Age) })
	return all
}

// Merge takes in a peer's records.
func (r *Records) Merge(now time.Time, shared []member.Crash) {
	for _, c := range shared {
		if c.Age >= 0 && c.Age < Expiry {
			at := now.Add(-c.Age)
			r.add(c.Fingerprint, record{id: c.ID, target: c.Target, began: at.Add(-c.Took), at: at})
		}
	}
}
