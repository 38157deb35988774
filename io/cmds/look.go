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

// askTimeout bounds one question to one host.
const askTimeout = 3 * time.Second

// ask reads JSON from a host's operators' listener.
func ask(ctx context.Context, host netip.AddrPort, path string, into any) error {
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", host, path), nil)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Wrapf(err, "ask host %s", host)
	}
	defer reply.Body.Close()
	return errors.Wrapf(json.NewDecoder(reply.Body).Decode(into), "read answer of host %s", host)
}

type statusCommand struct {
	Hosts []netip.AddrPort `arg:"" help:"Operators' addresses of the hosts."`
}

// Run prints each host's status as JSON, and fails when one cannot be reached.
func (c *statusCommand) Run(e *env) error {
	var unreached []error
	out := json.NewEncoder(e.out)
	out.SetIndent("", "  ")
	for _, h := range c.Hosts {
		var s json.RawMessage // either kind of host has a status of its own
		if err := ask(e.ctx, h, "/status", &s); err != nil {
			unreached = append(unreached, err)
			continue
		}
		if err := out.Encode(s); err != nil {
			return err
		}
	}
	return unreachedError(unreached)
}

func unreachedError(unreached []error) error {
	if len(unreached) == 0 {
		return nil
	}
	return errors.Errorf("%d hosts not reached: %v", len(unreached), unreached)
}

type burnCommand struct {
	JSON  bool             `name:"json" help:"Write JSON instead of a table."`
	Log   []string         `help:"Log files; instead of asking hosts, draw the day that they tell of." type:"existingfile"`
	Span  time.Duration    `help:"With logs: what one line of the drawing covers." default:"5s"`
	Hosts []netip.AddrPort `arg:"" optional:"" help:"Operators' addresses of the hosts."`
}

// burnReport is the report as JSON.
type burnReport struct {
	Rows      []burn.Row
	Unreached []string
}

// Run adds up the hosts' counts, or what logs tell, and prints the report.
func (c *burnCommand) Run(e *env) error {
	switch {
	case len(c.Log) > 0 && c.Span <= 0:
		return errors.Errorf("a span of %s draws nothing", c.Span)
	case len(c.Log) > 0:
		return c.day(e)
	case len(c.Hosts) == 0:
		return errors.New("name the hosts to ask, or with --log their log files")
	}
	report, unreached := c.gather(e.ctx)
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
			r.Window, r.Service, r.Tier, r.Zone, r.Total, r.Missed, r.Rate, r.Left, ranked(r.Causes))
	}
	for _, h := range report.Unreached {
		fmt.Fprintf(e.out, "not reached: %s\n", h)
	}
	return unreachedError(unreached)
}

func (c *burnCommand) gather(ctx context.Context) (burnReport, []error) {
	var report burnReport
	var unreached []error
	var counts []burn.Count
	shares := map[string]float64{}
	for _, h := range c.Hosts {
		var reply burn.Reply
		if err := ask(ctx, h, "/burn", &reply); err != nil {
			unreached = append(unreached, err)
			report.Unreached = append(report.Unreached, h.String())
			continue
		}
		counts = append(counts, reply.Counts...)
		for s, share := range reply.Objectives {
			shares[s] = share
		}
	}
	report.Rows = burn.Report(counts, func(service string) float64 { return shares[service] })
	return report, unreached
}
