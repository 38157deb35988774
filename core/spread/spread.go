// Package spread implements load-balancing policies without coordination, in which each
// host knows only its own requests. They are the baselines against which the broker is
// measured, with the same days and patterns of traffic.
package spread

import (
	"math/rand/v2"
	"slices"
)

// Policy is a load-balancing policy.
type Policy string

// The policies.
const (
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least"       // the target with the fewest outstanding requests of this host
	TwoChoices       Policy = "two-choices" // the better of two random targets, by outstanding requests of this host
)

// Policies returns all policies.
func Policies() []Policy { return []Policy{RoundRobin, LeastOutstanding, TwoChoices} }

// Valid reports whether p is one of Policies.
func (p Policy) Valid() bool { return slices.Contains(Policies(), p) }

// Balancer chooses targets for the requests of one host. It is not safe for concurrent
// use.
type Balancer struct {
	policy      Policy
	random      *rand.Rand
	outstanding map[string]int // outstanding requests of this host by target
	next        map[string]int // round-robin counter by service
}

// New returns a balancer with the given policy. random breaks ties and draws choices.
func New(p Policy, random *rand.Rand) *Balancer {
	return &Balancer{policy: p, random: random, outstanding: map[string]int{}, next: map[string]int{}}
}

// Choose returns the id of one of a service's targets and counts a request on it. It
// returns the empty string if ids is empty.
func (b *Balancer) Choose(service string, ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	id := b.pick(service, ids)
	b.outstanding[id]++
	return id
}

func (b *Balancer) pick(service string, ids []string) string {
	switch b.policy {
	case RoundRobin:
		b.next[service]++
		return ids[b.next[service]%len(ids)]
	case TwoChoices:
		first, second := ids[b.random.IntN(len(ids))], ids[b.random.IntN(len(ids))]
		if b.outstanding[second] < b.outstanding[first] {
			return second
		}
		return first
	}
	best, ties := "", 0
	for _, id := range ids {
		switch {
		case best == "" || b.outstanding[id] < b.outstanding[best]:
			best, ties = id, 1
		case b.outstanding[id] == b.outstanding[best]:
			// Reservoir sampling: each tied target is chosen with the same probability.
			if ties++; b.random.IntN(ties) == 0 {
				best = id
			}
		}
	}
	return best
}

// Done records that a request on a target has ended.
func (b *Balancer) Done(id string) {
	if b.outstanding[id]--; b.outstanding[id] <= 0 {
		delete(b.outstanding, id)
	}
}
