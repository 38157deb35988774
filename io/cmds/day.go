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

// readLogs reads the requests that log files tell of.
func readLogs(files []string) ([]trace.Request, error) {
	var all []trace.Request
	for _, name := range files {
		f, err := os.Open(name)
		if err != nil {
			return nil, errors.Wrap(err, "open a log")
		}
		requests, err := trace.Read(f)
		f.Close()
		if err != nil {
			return nil, errors.Wrapf(err, "%s", name)
		}
		all = append(all, requests...)
	}
	return all, nil
}

// day draws the day that the logs tell of.
func (c *burnCommand) day(e *env) error {
	requests, err := readLogs(c.Log)
	if err != nil {
		return err
	}
	samples := make([]burn.Sample, len(requests))
	for i := range requests {
		r := &requests[i]
		samples[i] = burn.Sample{Arrived: r.Arrived(), Service: r.Service, Outcome: r.Fate(), Waited: r.Waited}
	}
	day := burn.SummarizeSpans(samples, c.Span)
	if c.JSON {
		out := json.NewEncoder(e.out)
		out.SetIndent("", "  ")
		return out.Encode(day)
	}
	fmt.Fprintf(e.out, "%-9s %-12s %6s %9s  %s\n", "Time", "Service", "Owed", "Waited95", "= in time, - late, . refused, ! failed")
	for i := range day {
		s := &day[i]
		fmt.Fprintf(e.out, "%-9s %-12s %6d %9s  %s\n", s.Start.UTC().Format(time.TimeOnly), s.Service, s.Owed,
			s.Waited.Round(time.Millisecond), bar(s))
	}
	return nil
}

// barWidth is the length of a whole bar, in signs.
const barWidth = 50

// bar draws the shares of a span; what is there at all has a sign.
func bar(s *burn.Span) string {
	var b strings.Builder
	for _, part := range []struct {
		sign   string
		number int
	}{{"=", s.InTime}, {"-", s.Late}, {".", s.Refused}, {"!", s.Failed}} {
		n := int(s.Share(part.number)*barWidth + 0.5)
		if part.number > 0 {
			n = max(n, 1)
		}
		b.WriteString(strings.Repeat(part.sign, n))
	}
	return b.String()
}
