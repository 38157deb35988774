package coord

import (
	"encoding/json"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/broker"
	"yuccadoor/core/hosts"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/pack"
)

// decisionLog is a Mesh that keeps the decisions that are sent.
type decisionLog struct{ sent chan Decisions }

// Send implements Mesh.
func (l decisionLog) Send(_ netip.AddrPort, method string, params any) {
	if method == methodVerdicts {
		l.sent <- params.(pack.Packed[Decisions]).Value
	}
}

// Regression test: the time that a request's message waited at the leader was not counted, so
// that a late leader granted targets to requests whose callers had left.
func TestRequestsExpireWhileTheirMessagesWait(t *testing.T) {
	const lag = 300 * time.Millisecond
	for _, k := range []struct {
		name      string
		expiresIn time.Duration
		granted   int
	}{
		{"expired", lag - 100*time.Millisecond, 0},
		{"not expired", lag + 100*time.Millisecond, 1},
	} {
		t.Run(k.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, stop := startAlone(t)
				defer stop()
				decisions := decisionLog{make(chan Decisions, 8)}
				assert.NilError(t, c.Attach(t.Context(), decisions))
				c.FeedConfig((&routes.Config{Version: 1, Services: []routes.Service{{Name: "lm"}}}))
				c.FeedListing(roster.Position{Revision: 1}, []roster.Target{{ID: "t0", Service: "lm", Address: netip.MustParseAddrPort("10.9.0.1:1"), Slots: 1, Revision: 1}}, nil)
				time.Sleep(time.Second) // it leads by now
				client := fleetAddress(1)
				receive := func(method string, v any) {
					text, err := json.Marshal(v)
					assert.NilError(t, err)
					c.Receive(client, method, text)
				}
				beat := HeartbeatMessage{Heartbeats: []hosts.Heartbeat{{Address: client, Zone: "zone-1", Incarnation: 2, Count: 1}}}
				receive(methodBeat, pack.Of(beat))
				receive(methodSync, pack.Of(HostState{}))
				c.post(func(time.Time) { time.Sleep(lag) })
				for range 100 { // more than one batch, whose time is read once
					c.post(func(time.Time) {})
				}
				receive(methodAsks, pack.Of(RequestUpdates{Requests: []broker.Request{{ID: 7, Service: "lm", StartWithin: k.expiresIn, ExpiresIn: k.expiresIn}}}))
				d := <-decisions.sent
				assert.Equal(t, len(d.Grants), k.granted, "decisions: %+v", d)
				assert.Equal(t, len(d.Refusals), 1-k.granted)
				assert.Assert(t, d.Lag >= lag, "the leader tells a lag of %s", d.Lag)
			})
		})
	}
}
