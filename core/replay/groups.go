package replay

import (
	"slices"
	"time"
)

// Size bands of a class: shares of its requests from the smallest on.
const (
	middleBandFrom  = 0.7
	largestBandFrom = 0.9
)

// windowLength is the length of the windows of which the worst one is told.
const windowLength = 2 * time.Second

// GroupStats holds the results of the requests of one class and size band, or of one
// workspace.
type GroupStats struct {
	Class     string // empty for all
	Band      string // empty for all
	Workspace string // empty for all
	Requests  int
	InTime    int
	Late      int
	Refused   int // at least once
	Twice     int // of these, refused again
	Failed    int // including callers that left without an answer
	Earned    float64
	Eligible  float64
}

// ValueRatio is the share of the value that was earned.
func (g *GroupStats) ValueRatio() float64 { return g.Earned / max(g.Eligible, 1e-9) }

func (g *GroupStats) add(q *request) {
	if q.outcome == callerLeft || q.overAllowance {
		return
	}
	g.Requests++
	switch q.outcome {
	case inTime:
		g.InTime++
	case late:
		g.Late++
	case refused:
	default:
		g.Failed++
	}
	if q.tries > 0 {
		g.Refused++
	}
	if q.tries > 1 {
		g.Twice++
	}
	g.Earned += q.earnedValue()
	g.Eligible += q.eligibleValue()
}

// groups returns the results by class and size band, then by workspace.
func (p *player) groups() []GroupStats {
	var all []GroupStats
	for i := range p.pattern.Classes {
		all = append(all, p.bandGroups(&p.pattern.Classes[i])...)
	}
	for i := range p.pattern.Workspaces {
		g := GroupStats{Workspace: p.pattern.Workspaces[i].Name}
		for _, q := range p.requests {
			if q.workspace == &p.pattern.Workspaces[i] {
				g.add(q)
			}
		}
		all = append(all, g)
	}
	return all
}

// bandGroups returns the results of a class: all, the largest tenth, the fifth below and
// the rest.
func (p *player) bandGroups(c *Class) []GroupStats {
	var of []*request
	for _, q := range p.requests {
		if q.class == c {
			of = append(of, q)
		}
	}
	slices.SortStableFunc(of, func(x, y *request) int { return x.size() - y.size() })
	groups := []GroupStats{{Class: c.Name}, {Class: c.Name, Band: "largest"}, {Class: c.Name, Band: "middle"}, {Class: c.Name, Band: "smaller"}}
	for i, q := range of {
		groups[0].add(q)
		switch position := float64(i) / float64(len(of)); {
		case c.Prompt.Mean == 0: // requests of a plain service have no size
		case position >= largestBandFrom:
			groups[1].add(q)
		case position >= middleBandFrom:
			groups[2].add(q)
		default:
			groups[3].add(q)
		}
	}
	return slices.DeleteFunc(groups, func(g GroupStats) bool { return g.Requests == 0 })
}

// worstWindow returns the lowest share of the value that was earned of the requests that
// arrived in any two seconds.
func (p *player) worstWindow() float64 {
	worst := 1.0
	for from := p.start; from.Before(p.start.Add(p.pattern.Length - windowLength)); from = from.Add(windowLength / 4) {
		g := GroupStats{}
		for _, q := range p.requests {
			if !q.at.Before(from) && q.at.Before(from.Add(windowLength)) {
				g.add(q)
			}
		}
		worst = min(worst, g.ValueRatio())
	}
	return worst
}
