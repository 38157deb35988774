package admit

import (
	"time"

	"yuccadoor/core/model"
)

// Limits of bookings.
const (
	// MinReturn is the shortest time after which a caller is told to come back.
	MinReturn = 200 * time.Millisecond
	// DefaultReturn is the longest one for a caller that does not state how long it waits.
	DefaultReturn = 3 * time.Second
	// callerShare is the share of its time left after which a refused caller comes back at
	// the latest.
	callerShare = 1.0 / 3
	// slotLength is the resolution of booked capacity.
	slotLength = 100 * time.Millisecond
	// early is how much earlier than told a caller may come back: clocks and links differ.
	early = 50 * time.Millisecond
	// grace is how long a booking holds after its time.
	grace = time.Second
	// maxBookings bounds the memory of bookings: some seconds of refusals of a large fleet.
	maxBookings = 16384
	// minSpare is the share of the capacity that is assumed to be left for retries.
	minSpare = 0.1
)

// Booking is capacity that a refused caller was told to come back for.
type Booking struct {
	Content model.Fingerprint
	Due     time.Time
	Cost    float64
	StartBy time.Time // latest start of the answer that is in time, from the caller's first try
	Rank    float64
}

// bookings holds the bookings of a service.
type bookings struct {
	byContent map[model.Fingerprint]Booking
	slots     map[int64]map[float64]float64 // booked cost by time and rank
	next      int64                         // the first slot not yet forgotten
}

func newBookings() *bookings {
	return &bookings{byContent: map[model.Fingerprint]Booking{}, slots: map[int64]map[float64]float64{}}
}

func slotOf(t time.Time) int64 { return t.UnixNano() / int64(slotLength) }

// booked is the cost that is booked in a slot for requests at least as urgent.
func (b *bookings) booked(slot int64, rank float64) float64 {
	sum := 0.0
	for r, cost := range b.slots[slot] {
		if r <= rank {
			sum += cost
		}
	}
	return sum
}

// find returns the first slot in a range that has room for a request: with a spare number of
// units a second. If none has, it returns the one with the least booked.
func (b *bookings) find(from, to int64, rank, spare float64) int64 {
	room := spare * slotLength.Seconds()
	best, least := to, b.booked(to, rank)
	for s := from; s < to; s++ {
		booked := b.booked(s, rank)
		if booked < room {
			return s
		}
		if booked < least {
			best, least = s, booked
		}
	}
	return best
}

func (b *bookings) put(k Booking) {
	if len(b.byContent) >= maxBookings {
		return
	}
	b.drop(k.Content)
	b.byContent[k.Content] = k
	slot := slotOf(k.Due)
	if b.slots[slot] == nil {
		b.slots[slot] = map[float64]float64{}
	}
	b.slots[slot][k.Rank] += k.Cost
}

func (b *bookings) drop(content model.Fingerprint) {
	k, ok := b.byContent[content]
	if !ok {
		return
	}
	delete(b.byContent, content)
	if s := b.slots[slotOf(k.Due)]; s != nil {
		s[k.Rank] = max(s[k.Rank]-k.Cost, 0)
	}
}

// expire forgets the bookings whose callers have not come back.
func (b *bookings) expire(now time.Time) {
	first := slotOf(now.Add(-grace))
	if first <= b.next {
		return
	}
	b.next = first
	for s := range b.slots {
		if s < first {
			delete(b.slots, s)
		}
	}
	for content, k := range b.byContent {
		if slotOf(k.Due) < first {
			delete(b.byContent, content)
		}
	}
}

// due is the cost that is booked for a time span and not yet claimed, for requests at least
// as urgent.
func (b *bookings) due(from, to time.Time, rank float64) float64 {
	sum := 0.0
	for s := slotOf(from); s <= slotOf(to); s++ {
		sum += b.booked(s, rank)
	}
	return sum
}
