package broker

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/notice"
	"yuccadoor/core/routes"
)

// shrunkTarget plays a target that has less room than it was published with, and fails if it
// turns away too many requests in a second.
type shrunkTarget struct {
	room, running, served int
	rejected              []time.Time
	mostRejected          int // in a second
}

// Regression test: targets that said that they are brittle were sent what they have no room
// for, and fell over.
func TestBrittleTargetIsNotMadeToFail(t *testing.T) {
	const step, answerTime = 5 * time.Millisecond, 100 * time.Millisecond
	for _, c := range []struct {
		name             string
		room             int
		brittle          int
		alive, knownHost int
		minServed        int
	}{
		{"room for one", 1, 3, 1, 1, 25},
		{"room for most", 4, 4, 1, 1, 80},
		{"no room at all", 0, 3, 1, 1, 0},
		{"a third of the fleet", 1, 9, 2, 6, 25},
		{"one rejection", 1, 1, 1, 1, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := newSimulation(1, routes.Service{Name: "engine", Engine: true, Slots: 6})
			s.b.SetReachableShare(c.alive, c.knownHost)
			s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Brittle: c.brittle})
			at := &shrunkTarget{room: c.room}
			seen := 0
			type end struct {
				at time.Time
				id uint64
				o  Outcome
			}
			var ends []end
			for tick := range int(5 * time.Second / step) {
				if tick%100 == 0 {
					s.b.RecordNotice(s.now, hostA, notice.Notice{Target: "t0", Brittle: c.brittle})
				}
				for range 2 {
					s.submit(hostA, Request{ExpiresIn: time.Second})
				}
				for ; seen < len(s.grants[hostA]); seen++ {
					g := s.grants[hostA][seen]
					if at.running < at.room {
						at.running++
						ends = append(ends, end{s.now.Add(answerTime), g.ID, Good})
						continue
					}
					at.reject(s.now)
					ends = append(ends, end{s.now.Add(step), g.ID, Rejected})
				}
				s.now = s.now.Add(step)
				var left []end
				for _, e := range ends {
					if e.at.After(s.now) {
						left = append(left, e)
						continue
					}
					if e.o == Good {
						at.running--
						at.served++
					}
					s.complete(hostA, e.id, e.o, answerTime)
				}
				ends = left
				if tick%10 == 0 {
					s.advance(0)
				}
			}
			allowed := c.brittle * c.alive / c.knownHost
			assert.Assert(t, at.mostRejected <= allowed, "%d rejections in a second, %d are allowed", at.mostRejected, allowed)
			assert.Assert(t, at.served >= c.minServed, "%d served", at.served)
		})
	}
}

func (r *shrunkTarget) reject(now time.Time) {
	r.rejected = append(since(r.rejected, now.Add(-time.Second)), now)
	r.mostRejected = max(r.mostRejected, len(r.rejected))
}
