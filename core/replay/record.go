package replay

import (
	"cmp"
	"slices"
	"time"

	"yuccadoor/core/burn"
)

// Record is one logged request of a measured day.
type Record struct {
	Arrived         time.Time
	Class           string
	Service         string
	Priority        uint8 // 0 is the most urgent
	Target          string
	Outcome         burn.Outcome
	Objective       time.Duration
	Waited          time.Duration
	TimeToFirstByte time.Duration
	Prompt          int // tokens; 0 at a plain service
	Events          int // of its stream, as passed on
}

// Shape holds the services and classes of a deployment. A pattern made from records
// takes from it what logs do not contain: the speed of targets and the patience of
// callers.
type Shape struct {
	Services       []Service
	Classes        []Class
	TokensPerEvent int // tokens in one stream event
}

// ShapeByName returns the shape with the given name; false if there is none.
func ShapeByName(name string) (Shape, bool) {
	s := Shape{}
	switch name {
	case "half":
		s.Services, s.Classes = halfValueShape()
		s.TokensPerEvent = 5
	case "tenth":
		s.Services, s.Classes = tenthValueShape()
		s.TokensPerEvent = 3
	default:
		return s, false
	}
	return s, true
}

// PatternFromRecords builds a pattern from the records of a measured day and returns
// the measured statistics of each class. Each service gets as many targets as the
// records name, at least one. Requests that were not served get the median size of
// their class. A class without any served request is left out.
func PatternFromRecords(shape Shape, day []Record) (Pattern, []ClassStats) {
	hasServed := map[string]bool{} // by class
	for _, r := range day {
		hasServed[r.Class] = hasServed[r.Class] || served(r)
	}
	day = slices.DeleteFunc(slices.Clone(day), func(r Record) bool { return r.Outcome == burn.NotOwed || !hasServed[r.Class] })
	slices.SortStableFunc(day, func(a, b Record) int { return a.Arrived.Compare(b.Arrived) })
	p := Pattern{Name: "measured", Description: "a measured day"}
	if len(day) == 0 {
		return p, nil
	}
	byClass := map[string][]Record{}
	targets := map[string]map[string]bool{}
	for _, r := range day {
		byClass[r.Class] = append(byClass[r.Class], r)
		if targets[r.Service] == nil {
			targets[r.Service] = map[string]bool{}
		}
		if r.Target != "" {
			targets[r.Service][r.Target] = true
		}
		p.Length = r.Arrived.Sub(day[0].Arrived)
	}
	for name, targetIDs := range targets {
		plain := !slices.ContainsFunc(day, func(r Record) bool { return r.Service == name && r.Prompt > 0 })
		at := slices.IndexFunc(shape.Services, func(s Service) bool { return s.Profile.Plain == plain })
		s := shape.Services[at]
		s.Name, s.Targets = name, max(len(targetIDs), 1)
		p.Services = append(p.Services, s)
	}
	slices.SortFunc(p.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	var stats []ClassStats
	medians := map[string]Arrival{}
	for name, records := range byClass {
		p.Classes = append(p.Classes, nearestClass(shape, records))
		stats = append(stats, classStats(name, records))
		medians[name] = medianArrival(shape, records)
	}
	slices.SortFunc(p.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(stats, func(a, b ClassStats) int { return cmp.Compare(a.Class, b.Class) })
	for _, r := range day {
		a := medians[r.Class]
		a.At, a.Prompt = r.Arrived.Sub(day[0].Arrived), r.Prompt
		if served(r) {
			a.Output, a.Work = r.Events*shape.TokensPerEvent, r.TimeToFirstByte-r.Waited
		}
		p.Recorded = append(p.Recorded, a)
	}
	return p, stats
}

func served(r Record) bool { return r.Outcome == burn.InTime || r.Outcome == burn.Late }

// nearestClass returns the class of the shape with the nearest objective on the same
// kind of service, with the name, service, objective and priority of the records.
func nearestClass(shape Shape, records []Record) Class {
	first := records[0]
	plain := first.Prompt == 0
	best := slices.MinFunc(shape.Classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(kindMismatch(a, plain), kindMismatch(b, plain)), cmp.Compare((a.Objective-first.Objective).Abs(), (b.Objective-first.Objective).Abs()))
	})
	best.Name, best.Service, best.Objective, best.Priority = first.Class, first.Service, first.Objective, first.Priority
	return best
}

// kindMismatch returns 0 for a class on the wanted kind of service, else 1.
func kindMismatch(c Class, plain bool) int {
	if (c.Work > 0) == plain {
		return 0
	}
	return 1
}

func classStats(name string, records []Record) ClassStats {
	c := ClassStats{Class: name, Requests: len(records)}
	var latencies []time.Duration
	for _, r := range records {
		switch r.Outcome {
		case burn.InTime:
			c.InTime++
		case burn.Late:
			c.Late++
		case burn.Refused:
			c.Refused++
		default:
			c.Failed++
		}
		if served(r) {
			latencies = append(latencies, r.TimeToFirstByte)
		}
	}
	c.Median, c.P90 = MedianAndP90(latencies)
	return c
}

// medianArrival returns an arrival with the median sizes of the served requests.
func medianArrival(shape Shape, records []Record) Arrival {
	var workTimes, outputs []time.Duration
	for _, r := range records {
		if served(r) {
			workTimes = append(workTimes, r.TimeToFirstByte-r.Waited)
			outputs = append(outputs, time.Duration(r.Events*shape.TokensPerEvent))
		}
	}
	work, _ := MedianAndP90(workTimes)
	output, _ := MedianAndP90(outputs)
	return Arrival{Class: records[0].Class, Work: work, Output: int(output)}
}
