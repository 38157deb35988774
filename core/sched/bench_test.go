package sched

import (
	"runtime"
	"testing"
	"time"

	"yuccadoor/core/limit"
	"yuccadoor/core/model"
)

// BenchmarkRequest measures one request from submission to completion on one host.
func BenchmarkRequest(b *testing.B) {
	h := newTestHost(b, b.Fatalf)
	b.ReportAllocs()
	for b.Loop() {
		id := h.arrive("lm", 0, time.Minute)
		h.finish(id, limit.Completed)
		delete(h.requests, id)
		delete(h.ended, id)
	}
}

// BenchmarkWaiting reports the heap memory used per waiting request.
func BenchmarkWaiting(b *testing.B) {
	const waiting = 5000
	for b.Loop() {
		h := newTestHost(b, b.Fatalf)
		h.sched.settings.MaxWaiting = waiting + 10
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		for i := range waiting {
			r := &model.Request{ID: model.RequestID(i + 1), Service: "lm", Tier: 1, Workspace: "w", Deadline: h.now.Add(time.Minute)}
			h.sched.Submit(h.now, r)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/waiting, "bytes/request")
		runtime.KeepAlive(h)
	}
}
