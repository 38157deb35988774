package local

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// BenchmarkConfigInForce measures the time from publishing a configuration until
// all eight hosts apply it.
func BenchmarkConfigInForce(b *testing.B) {
	options := smallOptions()
	options.Hosts, options.Zones = 8, []string{"a", "b", "c", "d"}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	system, cleanup, err := New(ctx, options)
	assert.NilError(b, err)
	defer cleanup()
	assert.NilError(b, system.WaitReady(ctx))
	var total, worst time.Duration
	for b.Loop() {
		began := time.Now()
		revision := system.Platform.SetConfig(system.ConfigText(nil))
		for !system.configInForce(revision) {
			time.Sleep(time.Millisecond)
		}
		elapsed := time.Since(began)
		total += elapsed
		worst = max(worst, elapsed)
		time.Sleep(time.Second)
	}
	b.ReportMetric(float64(total.Milliseconds())/float64(b.N), "ms/change")
	b.ReportMetric(float64(worst.Milliseconds()), "ms-worst")
}

// BenchmarkRequestThroughHost sends sequential requests through one host to a
// plain service that answers without delay.
func BenchmarkRequestThroughHost(b *testing.B) {
	options := smallOptions()
	options.Hosts, options.Zones, options.Plain.ProcessingTime = 1, []string{"a"}, 0
	ctx := context.Background()
	system, cleanup, err := New(ctx, options)
	assert.NilError(b, err)
	defer cleanup()
	assert.NilError(b, system.WaitReady(ctx))
	b.ReportAllocs()
	for b.Loop() {
		reply := system.send(ctx, 0, "GET", "/services/orders/x", "")
		assert.Equal(b, reply.Status, 200, reply.Body)
	}
}
