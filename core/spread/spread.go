// Package spread holds ways to choose a target without any coordination: each
// host knows only its own requests. They are the baselines against which the
// broker is measured, on the same days and patterns.
package spread

import (
	"math/rand/v2"
	"slices"
)

// Policy names a way to choose.
type Policy string

// The policies.
const (
	RoundRobin       Policy = "round-robin"
	LeastOutstanding Policy = "least"       // fewest requests of this host
	TwoChoices       Policy = "two-choices" // the lesser of two at random
)

// Policies lists them.
func Policies() []Policy { return []Policy{RoundRobin, LeastOutstanding, TwoChoices} }

// Valid reports whether a policy exists.
func (p Policy) Valid() bool { return slices.Contains(Policies(), p) }

// Balancer chooses targets for one host. One goroutine owns it.
type Balancer struct {
	policy  Policy
	random  *rand.Rand
	running map[string]int // own requests by target
	turn    map[string]int // by service
}

// New returns a spreader of a policy.
func New(p Policy, random *rand.Rand) *Balancer {
	return &Balancer{policy: p, random: random, running: map[string]int{}, turn: map[string]int{}}
}

// Choose picks one of a service's targets, given by id, and counts the request
// there; empty when there is none.
func (s *Balancer) Choose(service string, ids []string) string {
	if len(ids) == 0 {
		return ""
	}
	id := s.pick(service, ids)
	s.running[id]++
	return id
}

func (s *Balancer) pick(service string, ids []string) string {
	switch s.policy {
	case RoundRobin:
		s.turn[service]++
		return ids[s.turn[service]%len(ids)]
	case TwoChoices:
		a, b := ids[s.random.IntN(len(ids))], ids[s.random.IntN(len(ids))]
		if s.running[b] < s.running[a] {
			return b
		}
		return a
	}
	best, equal := "", 0
	for _, id := range ids {
		switch {
		case best == "" || s.running[id] < s.running[best]:
			best, equal = id, 1
		case s.running[id] == s.running[best]:
			// Each of the equals with the same chance.
			if equal++; s.random.IntN(equal) == 0 {
				best = id
			}
		}
	}
	return best
}

// Done takes in that a request at a target has ended.
func (s *Balancer) Done(id string) {
	if s.running[id]--; s.running[id] <= 0 {
		delete(s.running, id)
	}
}
