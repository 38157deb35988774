package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	hdr "github.com/HdrHistogram/hdrhistogram-go"
)

// Quantiles are the reported latency percentiles in milliseconds.
type Quantiles struct {
	P50, P95, P99, Max float64
}

// quantiles converts a histogram of microseconds.
func quantiles(h *hdr.Histogram) Quantiles {
	ms := func(micros int64) float64 { return float64(micros) / float64(time.Millisecond/time.Microsecond) }
	return Quantiles{
		P50: ms(h.ValueAtQuantile(50)), P95: ms(h.ValueAtQuantile(95)),
		P99: ms(h.ValueAtQuantile(99)), Max: ms(h.Max()),
	}
}

// tierReport is the JSON representation of one tier.
type tierReport struct {
	*Tier
	FirstByte Quantiles // milliseconds
	WholeTime Quantiles // milliseconds
}

// report is the JSON representation of a Result.
type report struct {
	Seconds float64
	Tiers   map[string]tierReport
}

// WriteJSON writes the result as WriteJSON.
func (r *Result) WriteJSON(w io.Writer) error {
	out := report{Seconds: r.Elapsed.Seconds(), Tiers: map[string]tierReport{}}
	for name, t := range r.Tiers {
		out.Tiers[name] = tierReport{Tier: t, FirstByte: quantiles(t.FirstByteLatency), WholeTime: quantiles(t.TotalLatency)}
	}
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(out)
}

// WriteText writes the result as a table.
func (r *Result) WriteText(w io.Writer) {
	fmt.Fprintf(w, "%-10s %6s %8s %6s %6s %6s %6s %10s %10s %10s %10s\n",
		"Tier", "Sent", "Complete", "Good", "NotRun", "May", "Broken", "First50ms", "First99ms", "Whole50ms", "Whole99ms")
	for _, name := range slices.Sorted(maps.Keys(r.Tiers)) {
		t := r.Tiers[name]
		first, whole := quantiles(t.FirstByteLatency), quantiles(t.TotalLatency)
		fmt.Fprintf(w, "%-10s %6d %8d %6d %6d %6d %6d %10.2f %10.2f %10.2f %10.2f\n",
			name, t.Sent, t.Complete, t.Good, t.NotRun, t.May, t.Broken, first.P50, first.P99, whole.P50, whole.P99)
		for _, reason := range slices.Sorted(maps.Keys(t.Reasons)) {
			fmt.Fprintf(w, "%-10s   refused %s: %d\n", "", reason, t.Reasons[reason])
		}
	}
}
