package hosts

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkBeat measures one heartbeat period of one host: the heartbeat and its
// digest are built, and encoded and decoded once for each recipient. The encoding is
// that of io/pack without its base64 text, which adds a third to the size.
func BenchmarkBeat(b *testing.B) {
	for _, n := range []int{8, 73, 320} {
		b.Run(fmt.Sprint(n, "-hosts"), func(b *testing.B) {
			f := newFleet(n)
			f.run(9 * time.Second)
			h, peer := f.hosts[address(n-1)], f.hosts[address(0)]
			bytes, messages := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				heartbeats := append([]Heartbeat{h.NextHeartbeat(f.now)}, h.Digest(f.now)...)
				for range h.Recipients(f.now) {
					encoded, _ := cbor.Marshal(heartbeats)
					var decoded []Heartbeat
					_ = cbor.Unmarshal(encoded, &decoded)
					peer.Receive(f.now, decoded...)
					bytes += len(encoded)
					messages++
				}
			}
			period := h.Period().Seconds()
			b.ReportMetric(float64(bytes)/float64(b.N)/period, "sent-B/s")
			b.ReportMetric(float64(messages)/float64(b.N)/period, "messages/s")
		})
	}
}
