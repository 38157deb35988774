package coord

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/io/pack"
)

// BenchmarkMessages tells what the messages of one request, and a beat of eight
// hosts, take in bytes and time, in JSON and packed.
func BenchmarkMessages(b *testing.B) {
	asks := Asks{Asks: []broker.Request{{
		ID: 1 << 47, Service: "service-12", Workspace: "workspace-123", QuotaTokens: 3891, Class: 1, StartWithin: 797_123_456, ExpiresIn: 7_997_123_456,
		PromptTokens: 3720, OutputTokens: 120, Zone: "zone-a", Content: 1<<63 + 12345,
	}}}
	dones := Asks{Dones: []broker.Completion{{
		ID: 1 << 47, Target: "i-4d91237472", Outcome: broker.Good, Took: 1_234_567_890, TimeToFirstPart: 51_234_567, OutputTokens: 120,
	}}}
	verdicts := Verdicts{Grants: []broker.Grant{{ID: 1 << 47, Target: "i-4d91237472"}}}
	beat := Beat{Version: 12, Revision: 345}
	for n := range 8 {
		beat.Beats = append(beat.Beats, hosts.Beat{
			Address: netip.MustParseAddrPort("10.1.2.3:8420"), Zone: "zone-a", Incarnation: 1<<63 + uint64(n), Count: 12345,
			Power: 40, Started: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Unix() / 8,
		})
	}
	for _, c := range []struct {
		name  string
		plain any
		small any
	}{
		{"ask", asks, pack.Of(asks)},
		{"done", dones, pack.Of(dones)},
		{"grant", verdicts, pack.Of(verdicts)},
		{"beat", beat, pack.Of(beat)},
	} {
		for form, v := range map[string]any{"json": c.plain, "packed": c.small} {
			b.Run(fmt.Sprint(c.name, "-", form), func(b *testing.B) {
				var text []byte
				for b.Loop() {
					text, _ = json.Marshal(v)
				}
				b.ReportMetric(float64(len(text)), "bytes")
			})
		}
	}
}
