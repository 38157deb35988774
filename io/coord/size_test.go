package coord

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/core/origin"
	"yuccadoor/io/pack"
)

// BenchmarkMessages measures the encoded size and encoding time of the messages of one
// request, of records of streams, and of a heartbeat with eight hosts, as JSON and packed.
func BenchmarkMessages(b *testing.B) {
	requests := RequestUpdates{Requests: []broker.Request{{
		ID: 1 << 47, Service: "service-12", Workspace: "workspace-123", QuotaTokens: 3891, Class: 1, StartWithin: 797_123_456, ExpiresIn: 7_997_123_456,
		PromptTokens: 3720, OutputTokens: 120, Zone: "zone-a", Content: 1<<63 + 12345,
	}}}
	completions := RequestUpdates{Completions: []broker.Completion{{
		ID: 1 << 47, Target: "i-4d91237472", Outcome: broker.Good, Took: 1_234_567_890, TimeToFirstPart: 51_234_567, OutputTokens: 120,
	}}}
	decisions := Decisions{Grants: []broker.Grant{{ID: 1 << 47, Target: "i-4d91237472"}}}
	heartbeat := HeartbeatMessage{Version: 12, Revision: 345}
	for n := range 8 {
		heartbeat.Heartbeats = append(heartbeat.Heartbeats, hosts.Heartbeat{
			Address: netip.MustParseAddrPort("10.1.2.3:8420"), Zone: "zone-a", Incarnation: 1<<63 + uint64(n), Count: 12345,
			CPUShare: 40, Started: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).Unix() / 8,
		})
	}
	records := func(count int) StreamRecords {
		var begun []origin.Begun
		for n := range count {
			begun = append(begun, origin.Begun{Key: 1<<63 + uint64(n)<<40 + 12345, Version: "v1.1", Age: 131_234_567})
		}
		return StreamRecords{Begun: origin.GroupByVersion(begun)}
	}
	for _, c := range []struct {
		name   string
		plain  any
		packed any
	}{
		{"1 record of a stream", records(1), pack.Of(records(1))},
		{"5 records of streams", records(5), pack.Of(records(5))},
		{"request", requests, pack.Of(requests)},
		{"completion", completions, pack.Of(completions)},
		{"grant", decisions, pack.Of(decisions)},
		{"heartbeat", heartbeat, pack.Of(heartbeat)},
	} {
		for encoding, v := range map[string]any{"json": c.plain, "packed": c.packed} {
			b.Run(fmt.Sprint(c.name, "-", encoding), func(b *testing.B) {
				var text []byte
				for b.Loop() {
					text, _ = json.Marshal(v)
				}
				b.ReportMetric(float64(len(text)), "bytes")
			})
		}
	}
}
