// Package storm plays a fleet of hosts before one leader in virtual time, with a storm of load
// and faults, and tells what is served in time in each second. The leader's work takes time:
// each message, and each request and target that its decisions look at. So a leader that
// falls behind can be studied at any size, without a network. All randomness comes from a seed.
package storm

import (
	"container/heap"
	"time"

	"yuccadoor/core/model"
)

// Costs of a leader with 0.8 of a core, and other times.
const (
	messageCost       = 50 * time.Microsecond // to receive or send one message
	itemCost          = 10 * time.Microsecond // to decode or encode one request, end or decision of it
	workCost          = 80 * time.Nanosecond  // to look at one request or target
	networkDelay      = 1500 * time.Microsecond
	tickPeriod        = 50 * time.Millisecond
	maxBatch          = 65   // messages that are handled before decisions are sent, as package ring does
	promptTokensPerMs = 63.9 // that an engine reads
)

// Phases of a play.
const (
	// Calm is the time before the storm.
	Calm = 4 * time.Second
	// Length is the time that the storm lasts.
	Length = 5 * time.Second
)

// Config is the size of a fleet and the strength of its storm.
type Config struct {
	Hosts   int
	Engines int
	Rate    float64 // of requests, relative to those of a large site (1,756 a second)
	Speed   float64 // of engines, relative to those of a large site
	Burst   float64 // factor of the rate in the storm
	Seed    uint64
}

// Route is one kind of request.
type Route struct {
	Service        string
	Class          model.Tier
	rate           float64 // a second
	aim, patience  time.Duration
	prompt, output int
	took           time.Duration // at an idle target
}

// Routes are the kinds of requests of a large site.
var Routes = []Route{
	{"engine", 0, 438, 800 * time.Millisecond, 6300 * time.Millisecond, 3720, 120, 568 * time.Millisecond},
	{"engine", 1, 200, 800 * time.Millisecond, 4900 * time.Millisecond, 2890, 50, 258 * time.Millisecond},
	{"engine", 2, 663, 600 * time.Millisecond, 6300 * time.Millisecond, 1110, 170, 740 * time.Millisecond},
	{"plain", 0, 325, 200 * time.Millisecond, 2400 * time.Millisecond, 0, 0, 30 * time.Millisecond},
	{"plain", 1, 130, 150 * time.Millisecond, 2400 * time.Millisecond, 0, 0, 30 * time.Millisecond},
}

// Count is a number of requests, and how many of them were answered in time.
type Count struct{ Asked, InTime int }

// Share is the share that was answered in time.
func (c Count) Share() float64 { return float64(c.InTime) / float64(max(c.Asked, 1)) }

// Result tells what a play served.
type Result struct {
	Seconds  []Count // by the second in which a caller first asked
	InStorm  []Count // by Routes, of those asked in the storm
	Messages int     // that wait for the leader at the end
	Requests int     // that wait for a target at the end
}

// Between returns what was asked in some seconds.
func (r Result) Between(from, to time.Duration) Count {
	var sum Count
	for _, c := range r.Seconds[int(from/time.Second):int(to/time.Second)] {
		sum.Asked += c.Asked
		sum.InTime += c.InTime
	}
	return sum
}

// Play plays a fleet for a time.
func Play(c Config, length time.Duration) Result {
	p := newPlayer(c)
	p.result.Seconds = make([]Count, int(length/time.Second)+1)
	p.result.InStorm = make([]Count, len(Routes))
	p.at(Calm, func() { p.strike(c) })
	for len(p.events) > 0 && !p.events[0].at.After(start.Add(length)) {
		e := heap.Pop(&p.events).(event)
		p.now = e.at
		e.do()
	}
	p.result.Messages, p.result.Requests = len(p.inbox), p.broker.WaitingCount()
	return p.result
}

// event is something that happens at a time.
type event struct {
	at time.Time
	n  int // in the order of scheduling
	do func()
}

// events is a heap of events, the next one first.
type events []event

// Len implements heap.Interface.
func (e events) Len() int { return len(e) }

// Less implements heap.Interface.
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}

// Swap implements heap.Interface.
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}
