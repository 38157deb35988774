package cmds

import (
	"fmt"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/load"
)

type loadCommand struct {
	Front    []netip.AddrPort `required:"" help:"Client-facing addresses of the hosts, used round-robin."`
	Key      string           `required:"" help:"API key of the workspace." env:"YUCCADOOR_KEY"`
	Model    string           `required:"" help:"Model to request."`
	Rate     float64          `help:"Requests a second." default:"50"`
	Duration time.Duration    `help:"How long to send." default:"10s"`
	Seed     uint64           `help:"Seed of the plan." default:"1"`
	Mix      string           `help:"Tiers with weights, such as Order=1,Live=3." default:"Order=1,Live=2,Draft=3"`
	Stream   bool             `help:"Request streamed responses."`
	Prefixes int              `help:"Distinct prompt prefixes." default:"16"`
	Prompt   int              `help:"Bytes of a prompt prefix." default:"2048"`
	Tokens   int              `help:"Token limit of the shortest response." default:"4"`
	Tail     float64          `help:"Ratio of the longest response to the shortest." default:"100"`
	Shape    float64          `help:"Exponent of the Pareto distribution of response lengths." default:"1.2"`
	First    time.Duration    `help:"Objective for the first byte; 0 for none." default:"360ms"`
	Whole    time.Duration    `help:"Objective for the whole response; 0 for none." default:"0s"`
	JSON     bool             `name:"json" help:"Write JSON instead of a table."`
}

// Run sends the load and prints its outcome.
func (c *loadCommand) Run(e *env) error {
	mix, err := parseMix(c.Mix)
	if err != nil {
		return err
	}
	runner, cleanup := load.NewRunner(load.Plan{
		Seed: c.Seed, Rate: c.Rate, Duration: c.Duration, Mix: mix, Model: c.Model, Stream: c.Stream,
		PrefixCount: c.Prefixes, PrefixBytes: c.Prompt, MinTokens: c.Tokens, TailRatio: c.Tail, TailShape: c.Shape,
	}, load.Destination{FrontAddresses: c.Front, APIKey: c.Key}, load.Objective{FirstByte: c.First, Total: c.Whole})
	defer cleanup()
	result, err := runner.Run(e.ctx, nil)
	if err != nil {
		return err
	}
	if c.JSON {
		return result.WriteJSON(e.out)
	}
	result.WriteText(e.out)
	return nil
}

// parseMix parses tiers with weights, such as "Order=1,Live=3".
func parseMix(text string) ([]load.TierWeight, error) {
	var mix []load.TierWeight
	for part := range strings.SplitSeq(text, ",") {
		name, weight, ok := strings.Cut(part, "=")
		n, err := strconv.Atoi(weight)
		if !ok || err != nil || n < 0 || name == "" {
			return nil, errors.Errorf("parse --mix: %q is not of the form Tier=weight", part)
		}
		mix = append(mix, load.TierWeight{Name: name, Weight: n})
	}
	return mix, nil
}

// progress returns a function that writes the number of answered requests, at most
// once per progressInterval.
func progress(e *env) func(done, total int) {
	var last time.Time
	return func(done, total int) {
		if time.Since(last) < progressInterval && done < total {
			return
		}
		last = time.Now()
		fmt.Fprintf(e.err, "\r%d of %d answered", done, total)
		if done == total {
			fmt.Fprintln(e.err)
		}
	}
}

// progressInterval is the minimum time between two progress lines.
const progressInterval = 200 * time.Millisecond
