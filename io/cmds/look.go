package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/burn"
)

// fetchTimeout bounds one request to the admin listener of a host.
const fetchTimeout = 3 * time.Second

// fetchJSON requests a path of a host's admin listener and decodes the response.
func fetchJSON(ctx context.Context, host netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", host, path), nil)
	if err != nil {
		return err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "request %s from host %s", path, host)
	}
	defer response.Body.Close()
	return errors.Wrapf(json.NewDecoder(response.Body).Decode(into), "decode %s of host %s", path, host)
}

type statusCommand struct {
	Hosts []netip.AddrPort `arg:"" help:"Admin addresses of the hosts."`
}

// Run prints each host's status as JSON. It fails if a host cannot be reached.
func (c *statusCommand) Run(e *env) error {
	var unreached []error
	out := json.NewEncoder(e.out)
	out.SetIndent("", "  ")
	for _, h := range c.Hosts {
		var s json.RawMessage // serve and edge hosts have different statuses
		if err := fetchJSON(e.ctx, h, "/status", &s); err != nil {
			unreached = append(unreached, err)
			continue
		}
		if err := out.Encode(s); err != nil {
			return err
		}
	}
	return unreachedError(unreached)
}

// unreachedError combines the errors of hosts that could not be reached.
func unreachedError(unreached []error) error {
	if len(unreached) == 0 {
		return nil
	}
	return errors.Errorf("%d hosts could not be reached: %v", len(unreached), unreached)
}

type burnCommand struct {
	JSON  bool             `name:"json" help:"Write JSON instead of a table."`
	Log   []string         `help:"Log files to read instead of requesting counts from hosts; prints the outcomes of their requests over time." type:"existingfile"`
	Span  time.Duration    `help:"With log files: time that one line covers." default:"5s"`
	Hosts []netip.AddrPort `arg:"" optional:"" help:"Admin addresses of the hosts."`
}

// burnReport is the JSON representation of the report.
type burnReport struct {
	Rows      []burn.Row
	Unreached []string
}

// Run prints the report of the hosts' combined counts, or the timeline of the log
// files.
func (c *burnCommand) Run(e *env) error {
	switch {
	case len(c.Log) > 0 && c.Span <= 0:
		return errors.Errorf("--span must be positive, not %s", c.Span)
	case len(c.Log) > 0:
		return c.printTimeline(e)
	case len(c.Hosts) == 0:
		return errors.New("no hosts given; name the hosts, or their log files with --log")
	}
	report, unreached := c.fetchReport(e.ctx)
	if c.JSON {
		out := json.NewEncoder(e.out)
		out.SetIndent("", "  ")
		if err := out.Encode(report); err != nil {
			return err
		}
		return unreachedError(unreached)
	}
	fmt.Fprintf(e.out, "%-8s %-12s %-12s %-6s %7s %7s %8s %8s  %s\n",
		"Window", "Service", "Tier", "Zone", "Total", "Missed", "Rate", "Left", "Causes")
	for _, r := range report.Rows {
		fmt.Fprintf(e.out, "%-8s %-12s %-12s %-6s %7d %7d %8.2f %8.2f  %s\n",
			r.Window, r.Service, r.Tier, r.Zone, r.Total, r.Missed, r.Rate, r.Left, formatCounts(r.Causes))
	}
	for _, h := range report.Unreached {
		fmt.Fprintf(e.out, "not reached: %s\n", h)
	}
	return unreachedError(unreached)
}

// fetchReport requests the counts of all hosts and combines them. It also returns the
// errors of hosts that could not be reached.
func (c *burnCommand) fetchReport(ctx context.Context) (burnReport, []error) {
	var report burnReport
	var unreached []error
	var counts []burn.Count
	objectives := map[string]float64{}
	for _, h := range c.Hosts {
		var reply burn.Reply
		if err := fetchJSON(ctx, h, "/burn", &reply); err != nil {
			unreached = append(unreached, err)
			report.Unreached = append(report.Unreached, h.String())
			continue
		}
		counts = append(counts, reply.Counts...)
		for service, objective := range reply.Objectives {
			objectives[service] = objective
		}
	}
	report.Rows = burn.Report(counts, func(service string) float64 { return objectives[service] })
	return report, unreached
}
