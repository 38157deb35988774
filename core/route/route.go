// Package route chooses a target for a request among those that may take it.
// Policies are compared behind one interface; none of them can break a limit,
// since permits decide what may run.
package route

import (
	"net/netip"

	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

// Candidate is what this host knows of one target. Counts are this host's own
// and may be far from the whole truth.
type Candidate struct {
	Target   model.Target
	Hash     uint64 // of the target, for placing
	Local    bool   // in this host's availability zone
	Running  int    // this host's running requests
	Waiting  int    // this host's waiting asks
	Reported int    // running and waiting by the last load report, however old
	Slots    int    // what a warm target bears
	Cached   int    // prompt tokens believed to be in its prefix cache
	Excluded bool   // asked already, or denied a moment ago
}

// Policy chooses a candidate.
type Policy interface {
	// Pick returns the index of a candidate that is not skipped, or -1.
	Pick(r *model.Request, candidates []Candidate, random func() uint64) int
}

// PolicyByName returns the policy of that name; false when there is none.
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

// PolicyNames lists the policies, the default first.
func PolicyNames() []string {
	return []string{"affinity", "round-robin", "least-outstanding", "two-choices"}
}

// RoundRobin takes the targets in turn.
type RoundRobin struct{ next int }

// Pick implements Policy.
func (p *RoundRobin) Pick(_ *model.Request, cs []Candidate, _ func() uint64) int {
	for i := range cs {
		at := (p.next + i) % len(cs)
		if !cs[at].Excluded {
			p.next = at + 1
			return at
		}
	}
	return -1
}

// LeastOutstanding takes the target with the fewest of this host's requests.
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

// TwoChoices takes the less loaded by report of two random targets.
type TwoChoices struct{}

// Pick implements Policy.
func (TwoChoices) Pick(_ *model.Request, cs []Candidate, random func() uint64) int {
	first := nth(cs, random(), -1)
	second := nth(cs, random(), first)
	if second >= 0 && cs[second].Reported < cs[first].Reported {
		return second
	}
	return first
}

// nth picks a random candidate that is neither skipped nor the given one.
func nth(cs []Candidate, random uint64, but int) int {
	free := 0
	for i := range cs {
		if !cs[i].Excluded && i != but {
			free++
		}
	}
	if free == 0 {
		return -1
	}
	at := int(random % uint64(free))
	for i := range cs {
		if cs[i].Excluded || i == but {
			continue
		}
		if at == 0 {
			return i
		}
		at--
	}
	return -1
}

// Weights of the affinity policy, in units of one whole prompt's prefill.
const (
	loadWeight   = 1.0 // of a target whose known load fills its slots
	remoteWeight = 0.2 // of leaving this host's availability zone
	homeWeight   = 0.5 // of missing the prefix's home
)

// Affinity weighs prefill saved against load. A prefix that no target is known
// to hold goes to its home by rendezvous hash, so that hosts which know nothing
// of each other's requests gather a prefix on the same target.
type Affinity struct{}

// Pick implements Policy. Among equals the first from a random place wins.
func (Affinity) Pick(r *model.Request, cs []Candidate, random func() uint64) int {
	if len(cs) == 0 {
		return -1
	}
	home := homeOf(r, cs)
	start := int(random() % uint64(len(cs)))
	best := -1
	lowest := 0.0
	for i := range cs {
		at := start + i
		if at >= len(cs) {
			at -= len(cs)
		}
		c := &cs[at]
		if c.Excluded {
			continue
		}
		if cost := c.cost(r, at == home); best < 0 || cost < lowest {
			best, lowest = at, cost
		}
	}
	return best
}

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

func (c *Candidate) cost(r *model.Request, home bool) float64 {
	cost := loadWeight * c.fullness()
	if !c.Local {
		cost += remoteWeight
	}
	if r.PromptTokens > 0 && len(r.Prefix) > 0 {
		cost += 1 - float64(min(c.Cached, r.PromptTokens))/float64(r.PromptTokens)
		if !home && c.Cached == 0 {
			cost += homeWeight
		}
	}
	return cost
}

// fullness is the known load as a part of the slots, counting a waiting ask
// twice since it waits for a whole service time.
func (c *Candidate) fullness() float64 {
	return float64(max(c.Running, c.Reported)+2*c.Waiting) / float64(max(c.Slots, 1))
}

// History remembers which target was last sent a prompt with a given leading
// block. It holds two generations of at most size entries each.
type History struct {
	size     int
	young    map[uint64]netip.AddrPort
	old      map[uint64]netip.AddrPort
	perBlock int // tokens
}

// NewHistory returns an empty history for blocks of perBlock tokens.
func NewHistory(size, perBlock int) *History {
	return &History{size: size, perBlock: perBlock, young: map[uint64]netip.AddrPort{}, old: map[uint64]netip.AddrPort{}}
}

// Record records that a target was sent a prompt.
func (h *History) Record(prefix []uint64, target netip.AddrPort) {
	for _, b := range prefix {
		if len(h.young) >= h.size {
			h.old, h.young = h.young, map[uint64]netip.AddrPort{}
		}
		h.young[b] = target
	}
}

// Forget drops what is remembered of a target whose cache is gone.
func (h *History) Forget(target netip.AddrPort) {
	for _, generation := range []map[uint64]netip.AddrPort{h.young, h.old} {
		for b, t := range generation {
			if t == target {
				delete(generation, b)
			}
		}
	}
}

// Cached returns the target believed to hold the longest part of a prefix, and
// that part's length in tokens.
func (h *History) Cached(prefix []uint64) (netip.AddrPort, int) {
	for i := len(prefix) - 1; i >= 0; i-- {
		t, ok := h.young[prefix[i]]
		if !ok {
			t, ok = h.old[prefix[i]]
		}
		if ok {
			return t, (i + 1) * h.perBlock
		}
	}
	return netip.AddrPort{}, 0
}
