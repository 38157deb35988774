package replay

import (
	"cmp"
	"slices"
	"time"
)

// The value of a request grows with its size relative to the mean of its class, as
// deployments specify it: sizeBase + sizeShare*size/mean, at most maxSizeWeight.
const (
	sizeBase          = 0.3
	sizeShare         = 0.7
	maxSizeWeight     = 4.0
	outputTokenWeight = 10 // prompt tokens that one output token counts as
)

func (q *request) sizeWeight() float64 {
	mean := q.class.Prompt.Mean + outputTokenWeight*q.class.Output.Mean
	if mean == 0 {
		return 1
	}
	return min(sizeBase+sizeShare*float64(q.size())/mean, maxSizeWeight)
}

func (q *request) size() int { return q.job.Prompt + outputTokenWeight*q.job.Output }

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
	r := Result{Pattern: p.pattern.Name, Policy: policyName, Restarts: p.pattern.restartsTargets()}
	stats := map[string]*ClassStats{}
	for _, c := range p.pattern.Classes {
		stats[c.Name] = &ClassStats{Class: c.Name, WastedPromptTokens: p.wasted[c.Name]}
	}
	earned, eligible := 0.0, 0.0
	for _, q := range p.requests {
		c := stats[q.class.Name]
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
		eligible += q.eligibleValue()
	}
	for _, c := range p.pattern.Classes {
		n := stats[c.Name]
		n.Median, n.P90 = p.firstByteTimes(c.Name)
		r.Classes = append(r.Classes, *n)
	}
	for _, e := range p.engines {
		r.ColdCrashes += e.ColdCrashes()
	}
	r.ValueRatio = earned / eligible
	r.UpperBound = p.maxEarnedValue() / eligible
	r.Groups, r.WorstWindow = p.groups(), p.worstWindow()
	return r
}

// highQuantile is the quantile that ClassStats.P90 holds.
const highQuantile = 0.9

// firstByteTimes returns the median and the 90th percentile of the time to the
// start of a class's answers.
func (p *player) firstByteTimes(class string) (median, p90 time.Duration) {
	var all []time.Duration
	for _, q := range p.requests {
		if q.class.Name == class && (q.outcome == inTime || q.outcome == late) {
			all = append(all, q.began.Sub(q.at))
		}
	}
	return MedianAndP90(all)
}

// MedianAndP90 returns the median and the 90th percentile of durations, which it
// sorts in place; 0 for none.
func MedianAndP90(all []time.Duration) (median, p90 time.Duration) {
	if len(all) == 0 {
		return 0, 0
	}
	slices.Sort(all)
	last := float64(len(all) - 1)
	return all[int(last/2)], all[int(last*highQuantile)]
}

// maxEarnedValue returns an upper bound of the value that a scheduler with knowledge
// of all sizes and arrivals could earn. In a window of overload, the requests that
// arrived in it share the work that the engines do until the last of them would be
// late. They are divisible and served in order of gain per work; those not served
// still earn the value of a late answer, as if slots were free. All other requests
// earn their full value. The largest loss of any service and window is subtracted.
func (p *player) maxEarnedValue() float64 {
	total := 0.0
	for _, q := range p.requests {
		total += q.eligibleValue()
	}
	maxLoss := 0.0
	for _, s := range p.pattern.Services {
		if s.Profile.Plain {
			continue
		}
		items := p.boundItems(&s)
		for from := time.Duration(0); from < p.pattern.Length; from += time.Second {
			for to := from + time.Second; to <= p.pattern.Length; to += time.Second {
				maxLoss = max(maxLoss, minLoss(items, slotCapacity(&s), from, to))
			}
		}
	}
	return total - maxLoss
}

// boundItem is a request as the computation of the bound needs it.
type boundItem struct {
	at        time.Duration
	objective time.Duration // for the time to the start of the answer
	work      float64       // seconds of a slot at slowness 1
	gain      float64       // value of an answer in time less that of a late one
}

// boundItems returns a service's requests, by descending gain per work.
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

// slotCapacity returns how many seconds of slot time at slowness 1 a service provides
// per second.
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

// minLoss returns the least value lost among the requests that arrive in a window:
// they share the work that is done until the last of them would be late. The items
// must be in order of descending gain per work.
func minLoss(items []boundItem, slotsPerSecond float64, from, to time.Duration) float64 {
	longest := time.Duration(0)
	for _, i := range items {
		if i.at >= from && i.at < to {
			longest = max(longest, i.objective)
		}
	}
	// A request that starts in time may finish after the window.
	capacity := slotsPerSecond * (to - from + longest + meanRunTime).Seconds()
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

// meanRunTime is how long a run lasts that starts at the end of a window.
const meanRunTime = 500 * time.Millisecond

// slotSeconds returns the time in seconds that a request occupies a slot of an
// otherwise idle engine at slowness 1.
func slotSeconds(s *Service, q *request) float64 {
	e := s.Profile
	d := e.FirstTokenDelay + time.Duration(float64(q.job.Prompt)/e.PrefillTokensPerMs*float64(time.Millisecond)) + time.Duration(q.job.Output)*e.StepTime
	return d.Seconds()
}
