package broker

import (
	"time"

	"yuccadoor/core/model"
)

// Bounds of what a host sends to its leader.
const (
	// maxSpacing keeps waiting for the next update short beside the objectives of
	// requests. At this spacing the number of messages depends on that of the hosts only.
	maxSpacing = 150 * time.Millisecond
	// maxLag is half of the shortest time that callers wait for the first event of a stream.
	// Beyond it hosts refuse a part of the requests in the leader's stead.
	maxLag = time.Second
	// lagHalfLife is the time in which the lag counts half if the leader tells of none.
	lagHalfLife = time.Second
	// recentRanks is the number of requests by which a request's urgency is compared.
	recentRanks = 64
)

// Pace limits what a host sends to its leader by how far the leader's decisions lag
// behind. Updates are spaced, so that a leader that falls behind gets fewer messages with
// more in each, which cost it less. If that does not suffice, the least urgent requests are
// refused before they reach it.
type Pace struct {
	lag    time.Duration // of the leader
	lagAt  time.Time     // when the leader told it
	sentAt time.Time     // of the last update
	ranks  []float64     // of the last requests
	next   int           // index in ranks
	credit float64       // of requests of the rank that is admitted in part
}

// SetLag records how long messages to the leader waited for their turn.
func (p *Pace) SetLag(now time.Time, lag time.Duration) { p.lag, p.lagAt = lag, now }

// Lag returns the leader's lag as far as it is known.
func (p *Pace) Lag(now time.Time) time.Duration {
	return p.lag >> min(uint(max(now.Sub(p.lagAt), 0)/lagHalfLife), 32)
}

// Take reports whether an update may be sent now, and if so counts it as sent.
func (p *Pace) Take(now time.Time) bool {
	if now.Sub(p.sentAt) < min(p.Lag(now), maxSpacing) {
		return false
	}
	p.sentAt = now
	return true
}

// Admit reports whether a new request may be sent to the leader. The share of requests that
// may is the one that leaves a lag of maxLag, the most urgent ones first.
func (p *Pace) Admit(now time.Time, tier, class model.Tier) bool {
	rank := priority(tier, class)
	p.record(rank)
	lag := p.Lag(now)
	if lag <= maxLag {
		return true
	}
	before, equal := 0, 0
	for _, r := range p.ranks {
		switch {
		case r < rank:
			before++
		case r == rank:
			equal++
		}
	}
	room := float64(len(p.ranks))*float64(maxLag)/float64(lag) - float64(before)
	if room >= float64(equal) {
		return true
	}
	if room <= 0 {
		return false
	}
	if p.credit += room / float64(equal); p.credit < 1 {
		return false
	}
	p.credit--
	return true
}

// Refusal returns the refusal of a request that was not admitted.
func (p *Pace) Refusal(now time.Time, id uint64) *Refusal {
	lag := p.Lag(now)
	return &Refusal{ID: id, RetryAfter: limitRetryAfter(lag), ExpectedWait: lag, Cause: "LeaderLate"}
}

func (p *Pace) record(rank float64) {
	if len(p.ranks) < recentRanks {
		p.ranks = append(p.ranks, rank)
		return
	}
	p.ranks[p.next] = rank
	p.next = (p.next + 1) % recentRanks
}
