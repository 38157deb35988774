package cmds

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/burn"
	"yuccadoor/io/trace"
)

// readLogs reads the ended requests recorded in log files.
func readLogs(files []string) ([]trace.Request, error) {
	var requests []trace.Request
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		logged, err := trace.Read(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
		requests = append(requests, logged...)
	}
	return requests, nil
}

// printTimeline prints the outcomes of the logged requests over time, one line per
// service and span.
func (c *burnCommand) printTimeline(e *env) error {
	requests, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	samples := make([]burn.Sample, len(requests))
	for i := range requests {
		r := &requests[i]
		samples[i] = burn.Sample{Arrived: r.Arrived(), Service: r.Service, Outcome: r.Outcome(), Waited: r.Waited}
	}
	spans := burn.SummarizeSpans(samples, c.Span)
	if c.JSON {
		out := json.NewEncoder(e.out)
		out.SetIndent("", "  ")
		return out.Encode(spans)
	}
	fmt.Fprintf(e.out, "%-9s %-12s %6s %9s  %s\n", "Time", "Service", "Owed", "Waited95", "= in time, - late, . refused, ! failed")
	for i := range spans {
		s := &spans[i]
		fmt.Fprintf(e.out, "%-9s %-12s %6d %9s  %s\n", s.Start.UTC().Format(time.TimeOnly), s.Service, s.Owed,
			s.Waited.Round(time.Millisecond), bar(s))
	}
	return nil
}

// barWidth is the length of a bar in characters.
const barWidth = 50

// bar renders the shares of the outcomes of a span. Every outcome that occurred gets
// at least one character.
func bar(s *burn.Span) string {
	var b strings.Builder
	for _, part := range []struct {
		symbol string
		count  int
	}{{"=", s.InTime}, {"-", s.Late}, {".", s.Refused}, {"!", s.Failed}} {
		n := int(s.Share(part.count)*barWidth + 0.5)
		if part.count > 0 {
			n = max(n, 1)
		}
		b.WriteString(strings.Repeat(part.symbol, n))
	}
	return b.String()
}
