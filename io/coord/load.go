package coord

import (
	"fmt"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"
)

// loadWindow counts the messages that the event loop has handled since the window began.
type loadWindow struct {
	began    time.Time
	byMethod map[string]int
	oldest   time.Duration // longest time that a message waited for its turn
	work     uint64        // of the broker, as of the beginning
}

// recordAge records how long a message waited for its turn.
func (c *Coordinator) recordAge(method string, age time.Duration) {
	c.load.add(method, age)
	if c.batchBegins {
		c.batchBegins, c.lag = false, 0
	}
	c.lag = max(c.lag, age)
}

// setLeaderLag records the lag that a host has stated, if it is the leader.
func (c *Coordinator) setLeaderLag(now time.Time, from netip.AddrPort, lag time.Duration) {
	if from == c.leader {
		c.pace.SetLag(now, lag)
	}
}

func (w *loadWindow) add(method string, age time.Duration) {
	if w.byMethod == nil {
		w.byMethod = map[string]int{}
	}
	w.byMethod[method]++
	w.oldest = max(w.oldest, age)
}

// counts returns the counted messages as text, by method.
func (w *loadWindow) counts() string {
	var b strings.Builder
	for i, method := range slices.Sorted(maps.Keys(w.byMethod)) {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, "%s:%d", method, w.byMethod[method])
	}
	return b.String()
}

// logLoad logs that decisions are late, and what the event loop did meanwhile.
func (c *Coordinator) logLoad(now time.Time) {
	if now.Sub(c.load.began) < backlogLogInterval {
		return
	}
	work := c.broker.Work()
	if waiting := c.events.Len(); waiting >= backlogThreshold || c.load.oldest >= lateEvent {
		c.settings.Log.Event("warn", "decisions are late", "Waiting", waiting, "Oldest", c.load.oldest, "Leads", c.leader == c.self(),
			"Queued", c.broker.WaitingCount(), "Work", work-c.load.work, "Messages", c.load.counts(), "Over", now.Sub(c.load.began))
	}
	c.load = loadWindow{began: now, work: work}
}
