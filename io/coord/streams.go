package coord

import (
	"cmp"
	"fmt"
	"strings"

	"yuccadoor/core/origin"
)

// logStreams logs and counts, at the leader, the streams that were taken up since the last call.
func (c *Coordinator) logStreams() {
	for _, e := range c.broker.TakeStreamEvents() {
		source := cmp.Or(e.Source, origin.Source(origin.Unknown))
		c.settings.Log.Event("info", "stream taken up", "Stream", streamName(e.Stream), "Host", e.Host, "Service", e.Service,
			"TargetVersion", e.Version, "KnownBy", source, "Age", e.Age, "Suspects", strings.Join(e.Suspects, ","), "Sessions", e.Sessions, "Waited", e.Waited)
		if c.settings.Counters != nil {
			c.settings.Counters.RecordStreamTakenUp(e.Service, source)
		}
	}
}

// streamName returns the key of a stream as logs show it.
func streamName(key uint64) string { return fmt.Sprintf("%016x", key) }
