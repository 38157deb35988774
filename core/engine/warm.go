package engine

import "time"

// WarmUp describes an engine that has just started: it compiles, fills caches and allocates
// memory while it serves. The zero value describes one that is warm at once.
type WarmUp struct {
	Length time.Duration // until all times are normal
	Factor float64       // on all times at the start; it falls to 1 over Length
	// MaxLoad is the number of requests at once above which the engine crashes at the start;
	// it rises to the slots over Length. 0 means no limit.
	MaxLoad int
}

// Start marks the engine as started at a time: Profile.WarmUp applies from then on, and
// Profile.MaxColdRate until its end. It returns until when the engine states that it is
// cold, which it does only if it has such a rate; otherwise the zero time.
func (e *Engine) Start(now time.Time) time.Time {
	e.startedAt = now
	if e.profile.MaxColdRate <= 0 || !e.WarmsUp() {
		return time.Time{}
	}
	e.SetCold(now.Add(e.profile.WarmUp.Length))
	return e.coldUntil
}

// warmed is the share of the warm-up that is over; 1 for a warm engine.
func (e *Engine) warmed(now time.Time) float64 {
	length := e.profile.WarmUp.Length
	if length <= 0 || e.startedAt.IsZero() {
		return 1
	}
	return min(max(now.Sub(e.startedAt).Seconds()/length.Seconds(), 0), 1)
}

// startFactor is the factor on all times that the warm-up sets.
func (e *Engine) startFactor(now time.Time) float64 {
	w := e.warmed(now)
	if w == 1 {
		return 1
	}
	return e.profile.WarmUp.Factor + w*(1-e.profile.WarmUp.Factor)
}

// overloaded reports whether one more request is too much for an engine that warms up.
func (e *Engine) overloaded(now time.Time) bool {
	limit, w := float64(e.profile.WarmUp.MaxLoad), e.warmed(now)
	return limit > 0 && w < 1 && float64(e.Load()+1) > limit+w*(float64(e.profile.Slots)-limit)
}

// WarmsUp reports whether the engine warms up after a start.
func (e *Engine) WarmsUp() bool { return e.profile.WarmUp.Length > 0 }

// UpAt returns when the engine accepts connections again after a crash.
func (e *Engine) UpAt() time.Time { return e.downUntil }
