package speed

import (
	"math"
	"time"
)

// The candidates for the time in which slowdowns change. They cover what matters to
// requests: a shorter time is none that a decision can use, a longer one outlives them.
const (
	shortestChange = 50 * time.Millisecond
	changeRatio    = math.Sqrt2 // between two candidates
	changeCount    = 17         // up to 12.8 s
	// initialChange is the candidate that counts until statements tell: 0.4 s.
	initialChange = 6
	// initialError is the lead of the initial candidate: a few changes by a factor of 2.5
	// outweigh it.
	initialError = 1.0
	// errorDecay is the factor by which the weight of former statements shrinks with each
	// new one: some two thousand count, of all targets of a service.
	errorDecay = 0.9995
)

// Changes learns in which time the slowdowns that targets state return to the usual ones.
// For each candidate it sums the squared errors of predicting a target's next statement
// from the one before; the candidate with the lowest sum counts. Its zero value is not
// usable.
type Changes struct {
	errors [changeCount]float64
	best   int
}

// NewChanges returns a Changes that has seen no statement.
func NewChanges() *Changes {
	c := &Changes{best: initialChange}
	for i := range c.errors {
		if i != initialChange {
			c.errors[i] = initialError
		}
	}
	return c
}

// Time is the time in which the difference from the usual slowdown shrinks to a third.
func (c *Changes) Time() time.Duration { return changeTime(c.best) }

func changeTime(candidate int) time.Duration {
	return time.Duration(float64(shortestChange) * math.Pow(changeRatio, float64(candidate)))
}

// add records how far two successive statements of a target, some time apart, were from its
// usual slowdown, as logarithms.
func (c *Changes) add(apart time.Duration, former, next float64) {
	for i := range c.errors {
		e := next - former*math.Exp(-float64(apart)/float64(changeTime(i)))
		c.errors[i] = c.errors[i]*errorDecay + e*e
		if c.errors[i] < c.errors[c.best] {
			c.best = i
		}
	}
}
