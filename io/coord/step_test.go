package coord

import (
	"encoding/json"
	"io"
	"net/netip"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/logs"
	"yuccadoor/io/pack"
)

// silentMesh is a Mesh that sends nothing.
type silentMesh struct{}

// Send implements Mesh.
func (silentMesh) Send(netip.AddrPort, string, any) {}

// Regression test: a host that was cut off from the others, or stood still, took up streams of
// a version that it had not heard of, and had them go on at the only one that it knew.
func TestStreamIsNotTakenUpByAHostThatIsOutOfStep(t *testing.T) {
	const others = 5
	for _, c := range []struct {
		name     string
		cut      bool
		paused   time.Duration
		listed   bool // the host has read the store since
		refusals int
	}{
		{name: "in step"},
		{name: "cut off", cut: true, refusals: 1},
		{name: "cut off, and has read the store since", cut: true, listed: true},
		{name: "was paused", paused: 2 * time.Second, refusals: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, err := logs.New(io.Discard, "error")
				assert.NilError(t, err)
				var paused atomic.Int64
				host, stop := New(t.Context(), Settings{
					Self: fleetAddress(0), Zone: "zone-0", Incarnation: 1, CPUShare: bigCPUShare, Log: log, Now: time.Now,
					BootTime: func() time.Duration { return time.Duration(paused.Load()) }, SetReading: func(bool) {},
				})
				defer stop()
				assert.NilError(t, host.Attach(t.Context(), silentMesh{}))
				count := uint64(0)
				beat := func() {
					count++
					for n := range others {
						text, err := json.Marshal(pack.Of(HeartbeatMessage{Heartbeats: []hosts.Heartbeat{
							{Address: fleetAddress(n + 1), Zone: "zone-1", Incarnation: 9, Count: count, CPUShare: smallCPUShare},
						}}))
						assert.NilError(t, err)
						host.Receive(fleetAddress(n+1), methodBeat, text)
					}
				}
				list := func(revision uint64) {
					host.FeedListing(roster.Position{Revision: revision}, []roster.Target{
						{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 1, Version: "v1", Revision: 1},
					}, nil)
					host.FeedStoreState(true, nil)
				}
				host.FeedConfig(&routes.Config{Version: 1, Services: []routes.Service{{Name: "lm"}}})
				list(1)
				for range 40 { // until it leads and has settled
					beat()
					time.Sleep(200 * time.Millisecond)
				}
				if c.cut {
					time.Sleep(3 * time.Second)
				}
				if c.paused > 0 {
					paused.Store(int64(c.paused))
					beat()
					time.Sleep(2 * tickPeriod)
				}
				if c.listed {
					list(2)
					time.Sleep(2 * tickPeriod)
				}
				id, decisions := host.Submit(broker.Request{Service: "lm", StartWithin: time.Second, ExpiresIn: time.Second, Stream: 7, Resumed: true})
				d := <-decisions
				assert.Assert(t, id != 0)
				assert.Equal(t, d.Refusal != nil, c.refusals > 0, "target %q, refusal %+v", d.Target, d.Refusal)
			})
		})
	}
}
