package admit

import (
	"math"
	"time"
)

// Time constants of demand.
const (
	// demandTime is the time over which normal demand is averaged: bursts of some seconds
	// change it little.
	demandTime = 60 * time.Second
	// recentTime is the time in which a burst shows in the arrivals.
	recentTime = 250 * time.Millisecond
	// surgeTime is the time over which the demand of one workspace is compared with its
	// normal demand: a quarter of a second holds too few of its requests.
	surgeTime = time.Second
	// learnTime is the time in which there is no normal demand yet to compare with.
	learnTime = 3 * time.Second
	// surgeFactor is the ratio to the normal demand from which recent demand is a surge:
	// chance alone exceeds it seldom.
	surgeFactor = 1.5
	// surgeGrowth is what of a surge counts for the normal demand, as a ratio to it. A burst
	// hardly becomes normal, and lasting growth does within some minutes.
	surgeGrowth = 1.1
	minRate     = 1e-3 // so that no weight is 0
)

// average is the moving average of a rate, unbiased from the first arrivals on.
type average struct {
	sum   float64
	begun time.Time
	at    time.Time
}

// add adds an amount and returns the rate a second.
func (a *average) add(now time.Time, amount float64, over time.Duration) float64 {
	if a.begun.IsZero() {
		a.begun, a.at = now, now
	}
	a.sum = a.sum*decay(now.Sub(a.at), over) + amount
	a.at = now
	return a.rate(now, over)
}

func (a *average) rate(now time.Time, over time.Duration) float64 {
	age := max(now.Sub(a.begun), over/8) // an earlier average would tell of one arrival only
	return a.sum * decay(now.Sub(a.at), over) / (over.Seconds() * (1 - decay(age, over)))
}

func decay(d, over time.Duration) float64 { return math.Exp(-d.Seconds() / over.Seconds()) }

// demand is the normal demand of a flow or workspace, in units of cost a second.
type demand struct {
	rate   float64
	normal average
	recent average
}

func (d *demand) add(now time.Time, cost float64) { d.rate = d.normal.add(now, cost, demandTime) }

// normalPart is the part of a new request that counts for the normal demand: less than 1 in
// a burst.
func (d *demand) normalPart(now time.Time, cost float64) float64 {
	recent := d.recent.add(now, cost, surgeTime)
	if now.Sub(d.recent.begun) < learnTime || recent <= surgeFactor*d.rate {
		return 1
	}
	return surgeGrowth * d.rate / recent
}
