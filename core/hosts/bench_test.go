package hosts

import (
	"fmt"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
)

// BenchmarkBeat is one period of one host: its beat made, encoded as
// io/pack does (which adds a third for its text) and decoded once for each host that
// it goes to.
func BenchmarkBeat(b *testing.B) {
	for _, n := range []int{8, 73, 320} {
		b.Run(fmt.Sprint(n, "-hosts"), func(b *testing.B) {
			f := newFleet(n)
			f.run(9 * time.Second)
			h, peer := f.hosts[address(n-1)], f.hosts[address(0)]
			bytes, sent := 0, 0
			b.ReportAllocs()
			for b.Loop() {
				beats := append([]Heartbeat{h.NextHeartbeat(f.now)}, h.Digest(f.now)...)
				for range h.Recipients(f.now) {
					text, _ := cbor.Marshal(beats)
					var got []Heartbeat
					_ = cbor.Unmarshal(text, &got)
					peer.Receive(f.now, got...)
					bytes += len(text)
					sent++
				}
			}
			period := h.Period().Seconds()
			b.ReportMetric(float64(bytes)/float64(b.N)/period, "sent-B/s")
			b.ReportMetric(float64(sent)/float64(b.N)/period, "messages/s")
		})
	}
}
