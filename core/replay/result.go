package replay

import (
	"cmp"
	"slices"
	"time"
)

// sizeBase and sizeShare give what a request is worth by its size against the
// mean of its class, as deployments state it, up to maxSizeWeight times.
const (
	sizeBase          = 0.3
	sizeShare         = 0.7
	maxSizeWeight     = 4.0
	outputTokenWeight = 10 // an output token counts as so many of a prompt
)

func (q *request) sizeWeight() float64 {
	mean := q.class.Prompt.Mean + outputTokenWeight*q.class.Output.Mean
	if mean == 0 {
		return 1
	}
	size := float64(q.job.Prompt + outputTokenWeight*q.job.Output)
	return min(sizeBase+sizeShare*size/mean, maxSizeWeight)
}

func (q *request) eligibleValue() float64 {
	if q.outcome == callerLeft || q.overAllowance {
		return 0
	}
	return q.class.ValueIfInTime * q.sizeWeight()
}

func (q *request) earnedValue() float64 {
	switch {
	case q.overAllowance:
		return 0
	case q.outcome == inTime:
		return q.class.ValueIfInTime * q.sizeWeight()
	case q.outcome == late:
		return q.class.ValueIfLate * q.sizeWeight()
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
	for _, q := range p.requests {
		c := counts[q.class.Name]
		c.Requests++
		switch {
		case q.overAllowance:
			c.OverAllowance++
		case q.outcome == inTime:
			c.InTime++
		case q.outcome == late:
			c.Late++
		case q.outcome == refused:
			c.Refused++
		case q.outcome == callerLeft:
			c.Left++
		default:
			c.Failed++
		}
		c.EarnedValue += q.earnedValue()
		c.EligibleValue += q.eligibleValue()
		earned += q.earnedValue()
		owed += q.eligibleValue()
	}
	for _, c := range p.pattern.Classes {
		n := counts[c.Name]
		n.Median, n.P90 = p.firstByteTimes(c.Name)
		r.Classes = append(r.Classes, *n)
	}
	for _, e := range p.engines {
		r.ColdCrashes += e.ColdCrashes()
	}
	r.ValueRatio = earned / owed
	r.UpperBound = p.maxEarnedValue() / owed
	return r
}

// highQuantile of the answers began no later than the time Count.Slow.
const highQuantile = 0.9

// firstByteTimes gives the times to the start of a class's answers.
func (p *player) firstByteTimes(class string) (median, slow time.Duration) {
	var all []time.Duration
	for _, q := range p.requests {
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
	return all[int(last/2)], all[int(last*highQuantile)]
}

// maxEarnedValue is what a scheduler that knows all sizes and arrivals could earn at most:
// in each window of overload, the requests that arrived in it share the work that
// the engines do until the last of them would be late, the worthiest first and
// divisible; all others earn all, and late ones as much as if places were free.
func (p *player) maxEarnedValue() float64 {
	total := 0.0
	for _, q := range p.requests {
		total += q.eligibleValue()
	}
	loss := 0.0
	for _, s := range p.pattern.Services {
		if s.Profile.Plain {
			continue
		}
		items := p.boundItems(&s)
		for from := time.Duration(0); from < p.pattern.Length; from += time.Second {
			for to := from + time.Second; to <= p.pattern.Length; to += time.Second {
				loss = max(loss, minLoss(items, slotCapacity(&s), from, to))
			}
		}
	}
	return total - loss
}

// boundItem is a request as the bound sees it.
type boundItem struct {
	at        time.Duration
	objective time.Duration
	work      float64 // seconds of a slot at slowness 1
	gain      float64 // of being in time rather than late
}

// boundItems lists a service's requests, the worthiest for their work first.
func (p *player) boundItems(s *Service) []boundItem {
	var items []boundItem
	for _, q := range p.requests {
		if q.class.Service == s.Name && q.outcome != callerLeft && !q.overAllowance {
			gain := (q.class.ValueIfInTime - q.class.ValueIfLate) * q.sizeWeight()
			items = append(items, boundItem{q.at.Sub(p.start), q.class.Objective, slotSeconds(s, q), gain})
		}
	}
	slices.SortFunc(items, func(a, b boundItem) int { return cmp.Compare(b.gain/b.work, a.gain/a.work) })
	return items
}

// slotCapacity is how many seconds of a slot's work, at slowness 1, a service does in a
// second.
func slotCapacity(s *Service) float64 {
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

// minLoss is what is minLoss at least of the requests that arrive in a window: they
// share the work that is done until the last of them would be late.
func minLoss(items []boundItem, speed float64, from, to time.Duration) float64 {
	aim := time.Duration(0)
	for _, i := range items {
		if i.at >= from && i.at < to {
			aim = max(aim, i.objective)
		}
	}
	// A request that begins in time may go on after the window.
	capacity := speed * (to - from + aim + meanRunTime).Seconds()
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

// meanRunTime is how long a run lasts that begins at the end of a window.
const meanRunTime = 500 * time.Millisecond

// slotSeconds is the time in seconds that a request holds a slot, alone at slowness 1.
func slotSeconds(s *Service, q *request) float64 {
	e := s.Profile
	d := e.FirstTokenDelay + time.Duration(float64(q.job.Prompt)/e.PrefillTokensPerMs*float64(time.Millisecond)) + time.Duration(q.job.Output)*e.StepTime
	return d.Seconds()
}
