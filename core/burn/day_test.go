package burn

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSpansAreSummarizedByServiceAndInterval(t *testing.T) {
	start := time.Unix(1_000_000, 0)
	var samples []Sample
	add := func(n int, after time.Duration, service string, f Outcome, waited time.Duration) {
		for range n {
			samples = append(samples, Sample{start.Add(after), service, f, waited})
		}
	}
	add(19, time.Second, "lm", InTime, 10*time.Millisecond)
	add(1, 2*time.Second, "lm", Refused, 3*time.Second)
	add(5, 2*time.Second, "lm", NotOwed, time.Hour)
	add(3, 12*time.Second, "lm", Late, time.Second)
	add(1, 12*time.Second, "lm", Failed, 2*time.Second)
	add(2, 0, "orders", InTime, 0)
	spans := SummarizeSpans(samples, 10*time.Second)
	assert.DeepEqual(t, spans, []Span{
		{Start: start, Service: "lm", Owed: 20, InTime: 19, Refused: 1, Waited: 10 * time.Millisecond},
		{Start: start.Add(10 * time.Second), Service: "lm", Owed: 4, Late: 3, Failed: 1, Waited: time.Second},
		{Start: start, Service: "orders", Owed: 2, InTime: 2},
	})
	assert.Equal(t, spans[1].Share(spans[1].Late), 0.75)
}
