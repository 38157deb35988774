package speed

import (
	"math"
	"time"
)

// Parameters of the estimates for one target.
const (
	// memory is the time after which a statement counts a third in the usual slowdown: some
	// tens of periods of disturbance.
	memory = 30 * time.Second
	// leastKept keeps the usual slowdown known over any silence.
	leastKept = 1e-9
	// minWeight is the weight of a statement that follows its predecessor at once. A
	// statement otherwise counts for the time since the one before it: a disturbed target
	// answers, and states, less often.
	minWeight = 10 * time.Millisecond
	// maxStatements is the number of statements that are kept, for the slowdown over the
	// span of an answer. Answers take some seconds at most, and targets state a few times
	// a second.
	maxStatements = 64
	// answerWeight is the weight of an answer in the average time per unit of work.
	answerWeight = 0.15
)

// statement is a stated slowdown and when it was stated.
type statement struct {
	at       time.Time
	slowdown float64
}

// Target estimates how fast a target works. The zero value knows nothing.
type Target struct {
	statements []statement // in order of time
	// usualLog is the sum of the logarithms of the stated slowdowns, by the time for which
	// they held; usualTime is the sum of those times.
	usualLog, usualTime float64
	// unitTime is the average time per unit of work, divided by the slowdown; 0 if unknown.
	unitTime time.Duration
}

// Observe records a slowdown that the target stated at a time. Statements may come out of
// order, since each host sends what it has received.
func (t *Target) Observe(at time.Time, slowdown float64, c *Changes) {
	i := len(t.statements)
	for i > 0 && t.statements[i-1].at.After(at) {
		i--
	}
	held := minWeight
	if i > 0 {
		former := t.statements[i-1]
		held = min(max(at.Sub(former.at), minWeight), c.Time())
		if i == len(t.statements) {
			kept := max(math.Exp(-float64(at.Sub(former.at))/float64(memory)), leastKept)
			t.usualLog, t.usualTime = t.usualLog*kept, t.usualTime*kept
			usual := math.Log(t.Usual())
			c.add(at.Sub(former.at), math.Log(former.slowdown)-usual, math.Log(slowdown)-usual)
		}
	}
	t.usualLog += held.Seconds() * math.Log(slowdown)
	t.usualTime += held.Seconds()
	t.statements = append(t.statements, statement{})
	copy(t.statements[i+1:], t.statements[i:])
	t.statements[i] = statement{at, slowdown}
	if len(t.statements) > maxStatements {
		t.statements = append(t.statements[:0], t.statements[len(t.statements)-maxStatements:]...)
	}
}

// Stated reports whether the target has stated a slowdown.
func (t *Target) Stated() bool { return len(t.statements) > 0 }

// Last returns the last stated slowdown and when it was stated.
func (t *Target) Last() (slowdown float64, at time.Time) {
	if !t.Stated() {
		return 0, time.Time{}
	}
	last := t.statements[len(t.statements)-1]
	return last.slowdown, last.at
}

// Usual is the slowdown that the target usually states: that of its kind of machine, with
// the disturbances in proportion to their time. It is 1 if the target has stated none.
func (t *Target) Usual() float64 {
	if t.usualTime == 0 {
		return 1
	}
	return math.Exp(t.usualLog / t.usualTime)
}

// Slowdown estimates the slowdown at a time: what was stated last, decaying to the usual
// one.
func (t *Target) Slowdown(now time.Time, c *Changes) float64 {
	if !t.Stated() {
		return 1
	}
	return t.decayed(t.statements[len(t.statements)-1], now, c)
}

// decayed estimates the slowdown at a time from a statement.
func (t *Target) decayed(s statement, now time.Time, c *Changes) float64 {
	age := now.Sub(s.at)
	if age <= 0 {
		return s.slowdown
	}
	usual := t.Usual()
	return usual * math.Pow(s.slowdown/usual, math.Exp(-float64(age)/float64(c.Time())))
}

// Over estimates the mean and the highest slowdown over a span.
func (t *Target) Over(from, to time.Time, c *Changes) (mean, highest float64) {
	if !t.Stated() {
		return 1, 1
	}
	sum, length := 0.0, to.Sub(from).Seconds()
	for i, s := range t.statements {
		begin, end := s.at, to
		if i == 0 || begin.Before(from) {
			begin = from
		}
		if i+1 < len(t.statements) && t.statements[i+1].at.Before(to) {
			end = t.statements[i+1].at
		}
		if !end.After(begin) {
			continue
		}
		sum += end.Sub(begin).Seconds() * t.decayed(s, begin.Add(end.Sub(begin)/2), c)
		highest = max(highest, t.decayed(s, begin, c))
	}
	if sum == 0 || length <= 0 {
		now := t.Slowdown(to, c)
		return now, now
	}
	return sum / length, highest
}

// ObserveAnswer records the time per unit of work of an answer that took from one time to
// another. It returns that time at slowdown 1.
func (t *Target) ObserveAnswer(from, to time.Time, perUnit time.Duration, c *Changes) time.Duration {
	mean, _ := t.Over(from, to, c)
	perUnit = time.Duration(float64(perUnit) / mean)
	t.unitTime = Average(t.unitTime, perUnit, answerWeight)
	return perUnit
}

// UnitTime is the average time per unit of work at slowdown 1; 0 if unknown.
func (t *Target) UnitTime() time.Duration { return t.unitTime }

// Average returns an exponential moving average after a new value; 0 is unknown.
func Average(old, value time.Duration, weight float64) time.Duration {
	if old == 0 {
		return value
	}
	return old + time.Duration(weight*float64(value-old))
}
