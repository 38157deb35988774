package replay

import (
	"cmp"
	"slices"
	"time"

	"yuccadoor/core/burn"
)

// Record is one request of a measured day.
type Record struct {
	Arrived         time.Time
	Class           string
	Service         string
	Priority        uint8 // 0 first
	Target          string
	Outcome         burn.Outcome
	Objective       time.Duration
	Waited          time.Duration
	TimeToFirstByte time.Duration
	Prompt          int // tokens; 0 at a plain service
	Events          int // of its stream
}

// Shape is a pattern's services and classes, from which a measured day takes what
// logs do not tell: how fast targets are and how patient callers.
type Shape struct {
	Services       []Service
	Classes        []Class
	TokensPerEvent int // tokens in one event of a stream
}

// ShapeByName gives the named shape; false if there is none.
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

// PatternFromRecords makes a pattern of a measured day, and tells how each of its classes
// fared. Services get as many targets as were seen; requests that were not served
// get the median size of their class; a class of which none was served is left out.
func PatternFromRecords(shape Shape, day []Record) (Pattern, []ClassStats) {
	known := map[string]bool{} // classes of which some were served
	for _, r := range day {
		known[r.Class] = known[r.Class] || served(r)
	}
	day = slices.DeleteFunc(slices.Clone(day), func(r Record) bool { return r.Outcome == burn.NotOwed || !known[r.Class] })
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
	for name, seen := range targets {
		plain := !slices.ContainsFunc(day, func(r Record) bool { return r.Service == name && r.Prompt > 0 })
		at := slices.IndexFunc(shape.Services, func(s Service) bool { return s.Profile.Plain == plain })
		s := shape.Services[at]
		s.Name, s.Targets = name, max(len(seen), 1)
		p.Services = append(p.Services, s)
	}
	slices.SortFunc(p.Services, func(a, b Service) int { return cmp.Compare(a.Name, b.Name) })
	var counts []ClassStats
	typical := map[string]Arrival{}
	for name, records := range byClass {
		p.Classes = append(p.Classes, nearestClass(shape, records))
		counts = append(counts, classStats(name, records))
		typical[name] = medianArrival(shape, records)
	}
	slices.SortFunc(p.Classes, func(a, b Class) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(counts, func(a, b ClassStats) int { return cmp.Compare(a.Class, b.Class) })
	for _, r := range day {
		a := typical[r.Class]
		a.At, a.Prompt = r.Arrived.Sub(day[0].Arrived), r.Prompt
		if served(r) {
			a.Output, a.Work = r.Events*shape.TokensPerEvent, r.TimeToFirstByte-r.Waited
		}
		p.Recorded = append(p.Recorded, a)
	}
	return p, counts
}

func served(r Record) bool { return r.Outcome == burn.InTime || r.Outcome == burn.Late }

// nearestClass is the nearestClass of the shape with the nearest objective on the same kind of
// service, under the name, urgency and service that were seen.
func nearestClass(shape Shape, records []Record) Class {
	first := records[0]
	plain := first.Prompt == 0
	best := slices.MinFunc(shape.Classes, func(a, b Class) int {
		return cmp.Or(cmp.Compare(kindMismatch(a, plain), kindMismatch(b, plain)), cmp.Compare((a.Objective-first.Objective).Abs(), (b.Objective-first.Objective).Abs()))
	})
	best.Name, best.Service, best.Objective, best.Priority = first.Class, first.Service, first.Objective, first.Priority
	return best
}

// kindMismatch is 0 for a class on the wanted kind of service, else 1.
func kindMismatch(c Class, plain bool) int {
	if (c.Work > 0) == plain {
		return 0
	}
	return 1
}

func classStats(name string, records []Record) ClassStats {
	c := ClassStats{Class: name, Requests: len(records)}
	var firsts []time.Duration
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
			firsts = append(firsts, r.TimeToFirstByte)
		}
	}
	c.Median, c.P90 = MedianAndP90(firsts)
	return c
}

// medianArrival is an arrival with the median sizes of those that were served.
func medianArrival(shape Shape, records []Record) Arrival {
	var works, outputs []time.Duration
	for _, r := range records {
		if served(r) {
			works = append(works, r.TimeToFirstByte-r.Waited)
			outputs = append(outputs, time.Duration(r.Events*shape.TokensPerEvent))
		}
	}
	work, _ := MedianAndP90(works)
	output, _ := MedianAndP90(outputs)
	return Arrival{Class: records[0].Class, Work: work, Output: int(output)}
}
