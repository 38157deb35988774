package replay

import (
	"cmp"
	"slices"
	"time"
)

// sizeBase and sizePart give what a request is worth by its size against the
// mean of its class, as deployments state it, up to sizeMost times.
const (
	sizeBase   = 0.3
	sizePart   = 0.7
	sizeMost   = 4.0
	outputSize = 10 // an output token counts as so many of a prompt
)

func (q *request) weight() float64 {
	mean := q.class.Prompt.Mean + outputSize*q.class.Output.Mean
	if mean == 0 {
		return 1
	}
	size := float64(q.job.Prompt + outputSize*q.job.Output)
	return min(sizeBase+sizePart*size/mean, sizeMost)
}

func (q *request) owed() float64 {
	if q.outcome == left || q.beyond {
		return 0
	}
	return q.class.ValueIfInTime * q.weight()
}

func (q *request) earned() float64 {
	switch {
	case q.beyond:
		return 0
	case q.outcome == inTime:
		return q.class.ValueIfInTime * q.weight()
	case q.outcome == late:
		return q.class.ValueIfLate * q.weight()
	}
	return 0
}

func (p *player) result(policyName string) Result {
	r := Result{Pattern: p.pattern.Name, Policy: policyName}
	counts := map[string]*ClassStats{}
	for _, c := range p.pattern.Classes {
		counts[c.Name] = &ClassStats{Class: c.Name, WastedPromptTokens: p.wasted[c.Name]}
	}
	earned, owed := 0.0, 0.0
	for _, q := range p.all {
		c := counts[q.class.Name]
		c.Requests++
		switch {
		case q.beyond:
			c.OverAllowance++
		case q.outcome == inTime:
			c.InTime++
		case q.outcome == late:
			c.Late++
		case q.outcome == refused:
			c.Refused++
		case q.outcome == left:
			c.Left++
		default:
			c.Failed++
		}
		c.EarnedValue += q.earned()
		c.EligibleValue += q.owed()
		earned += q.earned()
		owed += q.owed()
	}
	for _, c := range p.pattern.Classes {
		n := counts[c.Name]
		n.Median, n.P90 = p.firsts(c.Name)
		r.Classes = append(r.Classes, *n)
	}
	for _, e := range p.engines {
		r.ColdCrashes += e.ColdCrashes()
	}
	r.ValueRatio = earned / owed
	r.UpperBound = p.bound() / owed
	return r
}

// slowShare of the answers began no later than the time Count.Slow.
const slowShare = 0.9

// firsts gives the times to the start of a class's answers.
func (p *player) firsts(class string) (median, slow time.Duration) {
	var all []time.Duration
	for _, q := range p.all {
		if q.class.Name == class && (q.outcome == inTime || q.outcome == late) {
			all = append(all, q.began.Sub(q.at))
		}
	}
	return MedianAndP90(all)
}

// MedianAndP90 gives the median of times, and that which nine in ten do not pass; 0
// of none.
func MedianAndP90(all []time.Duration) (median, slow time.Duration) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	last := float64(len(all) - 1)
	return all[int(last/2)], all[int(last*slowShare)]
}

// bound is what a scheduler that knows all sizes and arrivals could earn at most:
// in each window of overload, the requests that arrived in it share the work that
// the engines do until the last of them would be late, the worthiest first and
// divisible; all others earn all, and late ones as much as if places were free.
func (p *player) bound() float64 {
	total := 0.0
	for _, q := range p.all {
		total += q.owed()
	}
	loss := 0.0
	for _, s := range p.pattern.Services {
		if s.Profile.Plain {
			continue
		}
		items := p.items(&s)
		for from := time.Duration(0); from < p.pattern.Length; from += time.Second {
			for to := from + time.Second; to <= p.pattern.Length; to += time.Second {
				loss = max(loss, lost(items, speed(&s), from, to))
			}
		}
	}
	return total - loss
}

// item is a request as the bound sees it.
type item struct {
	at   time.Duration
	aim  time.Duration
	work float64 // seconds of a slot at slowness 1
	gain float64 // of being in time rather than late
}

// items lists a service's requests, the worthiest for their work first.
func (p *player) items(s *Service) []item {
	var items []item
	for _, q := range p.all {
		if q.class.Service == s.Name && q.outcome != left && !q.beyond {
			gain := (q.class.ValueIfInTime - q.class.ValueIfLate) * q.weight()
			items = append(items, item{q.at.Sub(p.start), q.class.Objective, work(s, q), gain})
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(b.gain/b.work, a.gain/a.work) })
	return items
}

// speed is how many seconds of a slot's work, at slowness 1, a service does in a
// second.
func speed(s *Service) float64 {
	sum := 0.0
	for n := range s.Targets {
		slowness := 1.0
		if len(s.Slowness) > 0 {
			slowness = s.Slowness[n%len(s.Slowness)]
		}
		sum += float64(s.Profile.Slots) / slowness
	}
	return sum
}

// lost is what is lost at least of the requests that arrive in a window: they
// share the work that is done until the last of them would be late.
func lost(items []item, speed float64, from, to time.Duration) float64 {
	aim := time.Duration(0)
	for _, i := range items {
		if i.at >= from && i.at < to {
			aim = max(aim, i.aim)
		}
	}
	// A request that begins in time may go on after the window.
	capacity := speed * (to - from + aim + meanRun).Seconds()
	sum := 0.0
	for _, i := range items {
		if i.at < from || i.at >= to {
			continue
		}
		done := min(1, max(capacity, 0)/i.work)
		capacity -= i.work
		sum += (1 - done) * i.gain
	}
	return sum
}

// meanRun is how long a run lasts that begins at the end of a window.
const meanRun = 500 * time.Millisecond

// work is the time in seconds that a request holds a slot, alone at slowness 1.
func work(s *Service, q *request) float64 {
	e := s.Profile
	d := e.FirstTokenDelay + time.Duration(float64(q.job.Prompt)/e.PrefillTokensPerMs*float64(time.Millisecond)) + time.Duration(q.job.Output)*e.StepTime
	return d.Seconds()
}
