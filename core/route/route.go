// Package route implements the load balancing policies that choose a target for a
// request. All of them implement one interface, so that they can be compared. A
// policy cannot exceed a target's limits, since permits decide what may run. Package
// routes, of a similar name, is the routing table of the edge command; package spread
// has the policies that need no shared state.
package route

import (
	"net/netip"

	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

// Candidate is what this host knows about one target. Running and Waiting count
// only this host's requests and may be far below the fleet-wide load.
type Candidate struct {
	Target       model.Target
	Hash         uint64 // place.HashAddr of the target's address
	Local        bool   // whether the target is in this host's availability zone
	Running      int    // this host's running requests
	Waiting      int    // this host's requests waiting for a permit
	ReportedLoad int    // running and waiting requests in the last load report, of any age
	Slots        int    // concurrent requests that a warm target can run
	CachedTokens int    // prompt tokens assumed to be in the target's prefix cache
	Excluded     bool   // must not be picked: already asked, or denied recently
}

// Policy is a load balancing policy.
type Policy interface {
	// Pick returns the index of a candidate that is not excluded, or -1.
	Pick(r *model.Request, candidates []Candidate, random func() uint64) int
}

// PolicyByName returns a new instance of the named policy; false if there is none.
func PolicyByName(name string) (Policy, bool) {
	switch name {
	case "affinity":
		return Affinity{}, true
	case "round-robin":
		return &RoundRobin{}, true
	case "least-outstanding":
		return LeastOutstanding{}, true
	case "two-choices":
		return TwoChoices{}, true
	}
	return nil, false
}

// PolicyNames lists the names of all policies, the default first.
func PolicyNames() []string {
	return []string{"affinity", "round-robin", "least-outstanding", "two-choices"}
}

// RoundRobin picks the targets in cyclic order.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *model.Request, cs []Candidate, _ func() uint64) int {
	for i := range cs {
		index := (p.next + i) % len(cs)
		if !cs[index].Excluded {
			p.next = index + 1
			return index
		}
	}
	return -1
}

// LeastOutstanding picks the target with the fewest outstanding requests of this
// host.
type LeastOutstanding struct{}

// Pick implements Policy.
func (LeastOutstanding) Pick(_ *model.Request, cs []Candidate, _ func() uint64) int {
	best := -1
	for i := range cs {
		if cs[i].Excluded {
			continue
		}
		if best < 0 || cs[i].outstanding() < cs[best].outstanding() {
			best = i
		}
	}
	return best
}

func (c *Candidate) outstanding() int { return c.Running + c.Waiting }

// TwoChoices picks, of two random targets, the one with the lower reported load
// (power of two choices).
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ *model.Request, cs []Candidate, random func() uint64) int {
	first := randomCandidate(cs, random(), -1)
	second := randomCandidate(cs, random(), first)
	if second >= 0 && cs[second].ReportedLoad < cs[first].ReportedLoad {
		return second
	}
	return first
}

// randomCandidate returns the index of a random candidate that is neither
// excluded nor at index except, or -1.
func randomCandidate(cs []Candidate, random uint64, except int) int {
	eligible := 0
	for i := range cs {
		if !cs[i].Excluded && i != except {
			eligible++
		}
	}
	if eligible == 0 {
		return -1
	}
	remaining := int(random % uint64(eligible))
	for i := range cs {
		if cs[i].Excluded || i == except {
			continue
		}
		if remaining == 0 {
			return i
		}
		remaining--
	}
	return -1
}

// Cost weights of the affinity policy, in units of the prefill of one whole
// prompt.
const (
	loadWeight   = 1.0 // for a target whose known load fills its slots
	remoteWeight = 0.2 // for a target in another availability zone
	homeWeight   = 0.5 // for a target that is not the home of the prefix
)

// Affinity balances saved prefill against load. A prefix that no target is known
// to have cached prefers its home, the target chosen by rendezvous hashing. Hosts
// that do not know of each other's requests thus send a prefix to the same target.
type Affinity struct{}

// Pick implements Policy. Ties go to the first candidate after a random offset.
func (Affinity) Pick(r *model.Request, cs []Candidate, random func() uint64) int {
	if len(cs) == 0 {
		return -1
	}
	home := homeOf(r, cs)
	start := int(random() % uint64(len(cs)))
	best := -1
	lowest := 0.0
	for i := range cs {
		index := start + i
		if index >= len(cs) {
			index -= len(cs)
		}
		c := &cs[index]
		if c.Excluded {
			continue
		}
		if cost := c.cost(r, index == home); best < 0 || cost < lowest {
			best, lowest = index, cost
		}
	}
	return best
}

// homeOf returns the index of the candidate that is the home of the request's
// prefix, or -1 if the request has no prefix.
func homeOf(r *model.Request, cs []Candidate) int {
	if len(r.Prefix) == 0 {
		return -1
	}
	home := -1
	var best uint64
	for i := range cs {
		if s := place.FastScore(r.Prefix[0], cs[i].Hash); home < 0 || s > best {
			home, best = i, s
		}
	}
	return home
}

// cost is the cost of sending a request to the candidate; home says whether the
// candidate is the home of the request's prefix.
func (c *Candidate) cost(r *model.Request, home bool) float64 {
	cost := loadWeight * c.utilization()
	if !c.Local {
		cost += remoteWeight
	}
	if r.PromptTokens > 0 && len(r.Prefix) > 0 {
		cost += 1 - float64(min(c.CachedTokens, r.PromptTokens))/float64(r.PromptTokens)
		if !home && c.CachedTokens == 0 {
			cost += homeWeight
		}
	}
	return cost
}

// utilization is the known load divided by the slots. A waiting request counts
// twice, since it waits for a whole service time.
func (c *Candidate) utilization() float64 {
	return float64(max(c.Running, c.ReportedLoad)+2*c.Waiting) / float64(max(c.Slots, 1))
}

// History records which target was last sent a prompt with a given leading block.
// It is a bounded cache of two generations with at most size entries each: when
// the current one is full it replaces the previous one.
type History struct {
	size           int
	current        map[uint64]netip.AddrPort
	previous       map[uint64]netip.AddrPort
	tokensPerBlock int
}

// NewHistory returns an empty history for blocks of tokensPerBlock tokens.
func NewHistory(size, tokensPerBlock int) *History {
	return &History{size: size, tokensPerBlock: tokensPerBlock, current: map[uint64]netip.AddrPort{}, previous: map[uint64]netip.AddrPort{}}
}

// Record notes that a prompt with this prefix was sent to a target.
func (h *History) Record(prefix []uint64, target netip.AddrPort) {
	for _, b := range prefix {
		if len(h.current) >= h.size {
			h.previous, h.current = h.current, map[uint64]netip.AddrPort{}
		}
		h.current[b] = target
	}
}

// Forget removes all entries of a target whose prefix cache was lost.
func (h *History) Forget(target netip.AddrPort) {
	for _, generation := range []map[uint64]netip.AddrPort{h.current, h.previous} {
		for b, t := range generation {
			if t == target {
				delete(generation, b)
			}
		}
	}
}

// Cached returns the target assumed to have cached the longest part of a prefix,
// and the length of that part in tokens.
func (h *History) Cached(prefix []uint64) (netip.AddrPort, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		t, ok := h.current[prefix[i]]
		if !ok {
			t, ok = h.previous[prefix[i]]
		}
		if ok {
			return t, (i + 1) * h.tokensPerBlock
		}
	}
	return netip.AddrPort{}, 0
}
