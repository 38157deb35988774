package hosts

import (
	"cmp"
	"net/netip"
	"slices"
	"time"
)

// Hosts that are not readers also read the store themselves when no host has had an answer
// from it for too long. Readers that are cut off from the store, or from the other hosts, do
// not have to report that first.
const (
	// DefaultApplyWithin is the time within which a published change must be in force on
	// all hosts, where the deployment states none.
	DefaultApplyWithin = 2 * time.Second
	// answerAgeShare is the age of the store's latest answer from which the first stand-ins
	// read, as a fraction of the time within which changes must be in force. It exceeds the
	// longest wait of a watch, which has the answer that there is no change, and the
	// period of the heartbeats that tell others.
	answerAgeShare = 0.8
	// standInInterval is the time between the starts of two stand-ins: more than reading
	// takes, so that the next do not start if the first can read.
	standInInterval = 40 * time.Millisecond
	// standInTime is how long a stand-in reads: the leader has assigned other readers by
	// then if those that it had report that they cannot read.
	standInTime = 10 * time.Second
)

// answers is what a host knows of the store's answers to any host.
type answers struct {
	latest       time.Time     // when the store last answered; zero if unknown
	applyWithin  time.Duration // within which changes must be in force on all hosts
	standInUntil time.Time     // while this host stands in for the readers
}

// SetApplyWithin sets the time within which published changes must be in force on all hosts;
// DefaultApplyWithin if it is not positive.
func (h *Hosts) SetApplyWithin(d time.Duration) {
	if d <= 0 {
		d = DefaultApplyWithin
	}
	h.answers.applyWithin = d
}

// RecordAnswer records that the store answered a host at a time: all that was published before
// is known to that host. An answer that ends a long silence is announced early.
func (h *Hosts) RecordAnswer(now, at time.Time, own bool) {
	if !at.After(h.answers.latest) {
		return
	}
	h.sendNow = h.sendNow || own && now.Sub(h.answers.latest) > h.answers.applyWithin/2
	h.answers.latest = at
}

// AnswerAge returns how long ago the store last answered a host, as far as this host knows.
func (h *Hosts) AnswerAge(now time.Time) (time.Duration, bool) {
	return now.Sub(h.answers.latest), !h.answers.latest.IsZero()
}

// standsIn reports whether this host reads in place of readers that have had no answer for too
// long. Hosts start one after the other, and only so many, and one that cannot read either
// stops: if the store answers nobody, few hosts find that out.
func (h *Hosts) standsIn(now time.Time, readers []netip.AddrPort) bool {
	if h.self.ReadFailing {
		h.answers.standInUntil = time.Time{}
		return false
	}
	if now.Before(h.answers.standInUntil) {
		return true
	}
	age, known := h.AnswerAge(now)
	limit := time.Duration(answerAgeShare * float64(h.answers.applyWithin))
	if !known || age < limit {
		return false
	}
	rank := h.standInRank(now, readers)
	if rank < 0 || age < limit+time.Duration(rank)*standInInterval {
		return false
	}
	h.answers.standInUntil = now.Add(standInTime)
	return true
}

// standInRank returns the place of this host in the order in which hosts stand in for
// readers; -1 if it is not among them. The order does not depend on which hosts fail to read,
// and the first ones are of different zones.
func (h *Hosts) standInRank(now time.Time, readers []netip.AddrPort) int {
	live := h.liveCandidates(now)
	slices.SortFunc(live, func(a, b candidate) int { return cmp.Compare(a.hash, b.hash) })
	rank := 0
	for _, a := range selectReaders(live, readerCount+maxStandIns) {
		if rank == maxStandIns {
			break
		}
		if a == h.self.Address {
			return rank
		}
		if !slices.Contains(readers, a) {
			rank++
		}
	}
	return -1
}
