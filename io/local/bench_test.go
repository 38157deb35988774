package local

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkConfigInForce measures the time from publishing a text until every
// one of eight hosts has it in force.
func BenchmarkConfigInForce(b *testing.B) {
	o := small()
	o.Hosts, o.Zones = 8, []string{"a", "b", "c", "d"}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	s, cleanup, err := New(ctx, o)
	assert.NilError(b, err)
	defer cleanup()
	assert.NilError(b, s.WaitReady(ctx))
	var sum, worst time.Duration
	for b.Loop() {
		began := time.Now()
		r := s.Platform.SetConfig(s.ConfigText(nil))
		for !s.inForce(r) {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		sum += took
		worst = max(worst, took)
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(sum.Milliseconds())/float64(b.N), "ms/change")
	b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
}

// BenchmarkRequestThroughHost sends one call after another through a host to a
// plain service that works no time.
func BenchmarkRequestThroughHost(b *testing.B) {
	o := small()
	o.Hosts, o.Zones, o.Plain.Work = 1, []string{"a"}, 0
	ctx := context.Background()
	s, cleanup, err := New(ctx, o)
	assert.NilError(b, err)
	defer cleanup()
	assert.NilError(b, s.WaitReady(ctx))
	b.ReportAllocs()
	for b.Loop() {
		r := s.ask(ctx, 0, "GET", "/services/orders/x", "")
		assert.Equal(b, r.Status, 200, r.Body)
	}
}
