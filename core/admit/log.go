package admit

import (
	"time"

	"yuccadoor/core/model"
)

// Return is a booking as a host hands it to a new leader. Its times count from the sending of
// the message.
type Return struct {
	Service string            `cbor:"1,keyasint,omitempty"`
	Tier    model.Tier        `cbor:"2,keyasint,omitempty"`
	Class   model.Tier        `cbor:"3,keyasint,omitempty"`
	Content model.Fingerprint `cbor:"4,keyasint,omitempty"`
	DueIn   time.Duration     `cbor:"5,keyasint,omitempty"`
	StartIn time.Duration     `cbor:"6,keyasint,omitempty"` // until the latest start of the answer that is in time
	Cost    float64           `cbor:"7,keyasint,omitempty"`
}

// maxReturns bounds what a host keeps: about 10 KB in a message to a new leader.
const maxReturns = 256

// Log holds the bookings that a host has passed on to its callers. The zero value is empty.
type Log struct{ entries []logEntry }

type logEntry struct {
	Return
	at time.Time // from which the times count
}

// Add records that a caller was told to come back. Beyond the bound the oldest entry is
// dropped.
func (l *Log) Add(now time.Time, r Return) {
	l.drop(now)
	if len(l.entries) >= maxReturns {
		l.entries = l.entries[1:]
	}
	l.entries = append(l.entries, logEntry{r, now})
}

// Pending returns the bookings that still hold.
func (l *Log) Pending(now time.Time) []Return {
	l.drop(now)
	var all []Return
	for _, e := range l.entries {
		r, age := e.Return, now.Sub(e.at)
		r.DueIn, r.StartIn = r.DueIn-age, r.StartIn-age
		all = append(all, r)
	}
	return all
}

// Remove forgets the booking of a request that has come back.
func (l *Log) Remove(content model.Fingerprint) {
	for i := range l.entries {
		if l.entries[i].Content == content {
			l.entries = append(l.entries[:i], l.entries[i+1:]...)
			return
		}
	}
}

// drop forgets the oldest entries that have expired.
func (l *Log) drop(now time.Time) {
	for len(l.entries) > 0 && now.Sub(l.entries[0].at) > l.entries[0].DueIn+grace {
		l.entries = l.entries[1:]
	}
}
