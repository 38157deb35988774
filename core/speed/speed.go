// Package speed estimates how fast targets work at the moment from what they state of
// their load in their answers. Targets may share their machines with other work, so that
// the same work takes longer at times. The package does no I/O.
package speed

import "time"

// Limits of what a report may state. Values outside come from a faulty target.
const (
	MaxRequests = 1 << 16 // running, waiting or slots
	MinSlowdown = 0.01
	MaxSlowdown = 1000
)

// Report is what one answer of a target states of the target's load.
type Report struct {
	Target  string `cbor:"1,keyasint,omitempty"` // id
	Born    uint64 `cbor:"2,keyasint,omitempty"` // its lifetime, as published when the request was sent
	Running int    `cbor:"3,keyasint,omitempty"` // requests that the target runs
	Waiting int    `cbor:"4,keyasint,omitempty"` // requests in the target's queue
	Slots   int    `cbor:"5,keyasint,omitempty"` // requests that the target runs at once
	// Slowdown is the factor by which work takes longer than usual on the target's machine
	// at the moment; 0 if the target does not state it.
	Slowdown float64 `cbor:"6,keyasint,omitempty"`
	// Age is the time since the report was received, as of the sending of this message.
	Age time.Duration `cbor:"7,keyasint,omitempty"`
}

// Valid reports whether all values are within their limits.
func (r Report) Valid() bool {
	for _, n := range []int{r.Running, r.Waiting, r.Slots} {
		if n < 0 || n > MaxRequests {
			return false
		}
	}
	return r.Slowdown == 0 || r.Slowdown >= MinSlowdown && r.Slowdown <= MaxSlowdown
}
