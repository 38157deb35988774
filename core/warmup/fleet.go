package warmup

import "time"

// minShare is the lowest share of the fleet that is used.
const minShare = 0.01

// Fleet decides for the targets of one service. Targets that start while no other is warm
// have no reference: they have all their slots, or after failures the limit that blind names.
type Fleet struct {
	method Method
	share  float64 // of the fleet that this leader decides for, 0 to 1

	ramps   map[string]*Ramp // by id
	usual   float64          // seconds per unit of warm targets; 0 while unknown
	seconds float64          // of a response of warm targets; 0 while unknown
	units   float64          // of a response of warm targets; 0 while unknown
	first   float64          // ratio of the first responses after starts to the usual ones; 0 while unknown
	risk    risk
	heardAt time.Time // of the last response of any target
	// activeSince is when this leader began to receive responses. Before, targets were not
	// silent: others gave them requests.
	activeSince time.Time
	blind       float64   // 0 for no limit
	blindAt     time.Time // when blind was set
	events      []Event

	counted bool // usable and warm are up to date
	usable  int  // targets
	warm    int
}

// NewFleet returns a fleet without targets.
func NewFleet(m Method) *Fleet { return &Fleet{method: m, share: 1, ramps: map[string]*Ramp{}} }

// SetShare sets the share of the fleet that this leader decides for. Other partitions give
// the same targets their own share.
func (f *Fleet) SetShare(share float64) { f.share = min(max(share, minShare), 1) }

// Entry is what is published of a target.
type Entry struct {
	ID    string
	Born  uint64 // its start in Unix milliseconds; 0 if not known
	Slots int
	Cold  bool // as published or stated
	// Usable is unset while the target may be given no requests.
	Usable bool
}

// start is a warm-up that is due.
type start struct {
	ramp  *Ramp
	cause Cause
}

// Publish takes in all published entries of the service. It returns the targets that another
// process runs now.
func (f *Fleet) Publish(now time.Time, entries []Entry) (replaced []string) {
	first := len(f.ramps) == 0
	f.counted = false
	published := map[string]bool{}
	var starts []start
	for _, e := range entries {
		published[e.ID] = true
		r, known := f.ramps[e.ID]
		if !known {
			r = &Ramp{fleet: f, id: e.ID, born: e.Born, warm: true, heardAt: now}
			f.ramps[e.ID] = r
		}
		if known && r.born != e.Born {
			replaced = append(replaced, e.ID)
		}
		if cause := r.update(now, e, known, first); cause != "" {
			starts = append(starts, start{r, cause})
		}
	}
	f.forget(now, published)
	// All targets that start at the same time are no reference for one another.
	for _, s := range starts {
		s.ramp.reset(now)
	}
	for _, s := range starts {
		s.ramp.begin(now, s.cause)
	}
	return replaced
}

// forget marks the targets that are not published, and drops them after some time.
func (f *Fleet) forget(now time.Time, published map[string]bool) {
	for id, r := range f.ramps {
		switch {
		case published[id]:
			r.goneAt = time.Time{}
		case r.goneAt.IsZero():
			r.goneAt, r.usable = now, false
		case now.Sub(r.goneAt) > forgetAfter:
			delete(f.ramps, id)
		}
	}
}

// update takes in what is published of the target, and returns the cause of a warm-up if one
// is due. first is set if the leader has known no target before: then those whose start is
// not known count as warm.
func (r *Ramp) update(now time.Time, e Entry, known, first bool) Cause {
	wasUsable, wasCold, sameRun := r.usable, r.cold, r.born == e.Born
	r.born, r.slots, r.usable, r.cold = e.Born, e.Slots, e.Usable, e.Cold
	switch {
	case !known && (e.Cold || isYoung(now, e.Born) || e.Born == 0 && !first):
		return Started
	case !known:
		return ""
	case !sameRun:
		return Started
	case e.Cold && !wasCold && r.warm:
		return StatedCold
	case e.Usable && !wasUsable:
		return Returned
	}
	return ""
}

// isYoung reports whether a target may still warm up by its start. Its clock may be ahead.
func isYoung(now time.Time, born uint64) bool {
	return born > 0 && now.Sub(time.UnixMilli(int64(born))) < MaxAge
}

// Ramp returns the state of a target; nil if it is not known.
func (f *Fleet) Ramp(id string) *Ramp { return f.ramps[id] }

// count returns the number of targets that may be used, and of those that are warm.
func (f *Fleet) count() (usable, warm int) {
	if f.counted {
		return f.usable, f.warm
	}
	f.usable, f.warm, f.counted = 0, 0, true
	for _, r := range f.ramps {
		if r.usable {
			f.usable++
			if r.warm {
				f.warm++
			}
		}
	}
	return f.usable, f.warm
}

// hasWarm reports whether another target is warm and can be compared with.
func (f *Fleet) hasWarm(than *Ramp) bool {
	_, warm := f.count()
	if than.warm && than.usable {
		warm--
	}
	return warm > 0
}

// mostlyWarm reports whether over half of the targets are warm. Otherwise urgent requests
// have too few of them.
func (f *Fleet) mostlyWarm() bool {
	usable, warm := f.count()
	return 2*warm > usable
}

// heard records a response of any target.
func (f *Fleet) heard(now time.Time) {
	if now.Sub(f.heardAt) > idle {
		f.activeSince = now
	}
	f.heardAt = now
}

// blindLimit is the limit of a target that starts without a reference.
func (f *Fleet) blindLimit(now time.Time, slots int) float64 {
	if f.blind == 0 || now.Sub(f.blindAt) > remember {
		return float64(slots)
	}
	return min(f.blind, float64(slots))
}

// risk is what failed starts of comparable targets have shown: at this limit, before this
// age, a target may fail.
type risk struct {
	limit float64 // 0 for no risk
	age   time.Duration
	at    time.Time // of the last failure
}

// failed records that a target failed at a limit while it started, at some age. Those that
// start next without a reference have half of it. A failure at one request at once, or long
// after the start, has another cause, and says nothing of other starts: when servers crashed
// on a deployment, 47 that started later were held at one request for seconds.
func (f *Fleet) failed(now time.Time, limit float64, age time.Duration) {
	if limit < 2 || age > maxRiskAge {
		return
	}
	if f.risk.limit == 0 || now.Sub(f.risk.at) > remember {
		f.risk = risk{limit: limit}
	}
	f.risk.limit = min(f.risk.limit, limit)
	f.risk.age, f.risk.at = min(max(f.risk.age, time.Duration(riskMargin*float64(age))), maxRiskAge), now
	if f.blind > 0 && now.Sub(f.blindAt) < minWindow {
		return
	}
	f.blind, f.blindAt = max(limit/2, 1), now
}

// riskless bounds a limit by the failures of comparable targets at the same age.
func (f *Fleet) riskless(now time.Time, limit float64, age time.Duration) float64 {
	if f.risk.limit == 0 || now.Sub(f.risk.at) > remember || age >= f.risk.age {
		return limit
	}
	return min(limit, max(f.risk.limit-1, 1))
}

// TakeEvents returns the changes since the last call.
func (f *Fleet) TakeEvents() []Event {
	events := f.events
	f.events = nil
	return events
}

// Limited returns the number of published targets that do not have their whole share.
func (f *Fleet) Limited(now time.Time) int {
	n := 0
	for _, r := range f.ramps {
		if r.usable && r.Limit(now, r.slots) < r.slots {
			n++
		}
	}
	return n
}
