package coord

import (
	"time"

	"yuccadoor/core/speed"
)

// speedLogInterval is the time between two log lines on how fast targets work. Disturbances
// come and go several times a second in a large fleet; the status tells the present ones.
const speedLogInterval = 10 * time.Second

// ReportLoad reports what a target stated of its load in an answer to this host.
func (c *Coordinator) ReportLoad(r speed.Report) {
	c.post(func(now time.Time) {
		if c.localSelector == nil {
			c.loads.Add(now, r)
		}
	})
}

// observeLoads passes reports of a host to the broker, in a message of an age.
func (c *Coordinator) observeLoads(now time.Time, reports []speed.Report, age time.Duration) {
	for _, r := range reports {
		r.Age += max(age, 0)
		c.broker.ObserveLoad(now, r)
	}
}

// logSpeeds logs at the leader how fast the targets of services work, and the targets whose
// answers contradict what they state.
func (c *Coordinator) logSpeeds(now time.Time) {
	if c.leader != c.self() || now.Sub(c.speedsLoggedAt) < speedLogInterval {
		return
	}
	c.speedsLoggedAt = now
	for _, s := range c.broker.Speeds(now) {
		slow := 0
		for _, t := range s.Targets {
			if t.Slow {
				slow++
			}
			if t.Unstated != 1 {
				c.settings.Log.Event("info", "target not as fast as it states", "Target", t.Target, "Stated", t.Stated, "StatedAgo", t.StatedAgo, "Usual", t.Usual, "Unstated", t.Unstated)
			}
		}
		c.settings.Log.Event("info", "speed of targets", "Service", s.Service, "Stating", len(s.Targets), "Slow", slow, "Fast", s.Fast, "UnitTime", s.UnitTime, "Changes", s.Changes)
	}
}
