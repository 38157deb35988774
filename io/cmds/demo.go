package cmds

import (
	"fmt"
	"io"
	"time"

	"yuccadoor/io/fakes"
	"yuccadoor/io/load"
	"yuccadoor/io/local"
)

type demoCommand struct {
	Seconds float64 `help:"How long to send the load." default:"4"`
	Rate    float64 `help:"Requests a second." default:"60"`
	Policy  string  `help:"Routing policy of the hosts." default:"affinity"`
	Stay    bool    `help:"Keep running afterwards, until interrupted."`
}

// Run brings the system up, sends a load and reports.
func (c *demoCommand) Run(e *env) error {
	s, cleanup, err := local.New(e.ctx, local.Options{
		Zones: []string{"a", "b"}, Hosts: 2, Engines: 4, Plains: 2,
		Engine: fakes.Settings{
			Cold: 2, Warm: 8, WarmAfter: 4, Prefill: 20 * time.Microsecond, Decode: 2 * time.Millisecond,
			Tokens: 8, CacheSize: 512, LoadLag: time.Second,
		},
		Plain:  fakes.Settings{Cold: 4, Warm: 32, WarmAfter: 4, Work: 2 * time.Millisecond, LoadLag: time.Second},
		Policy: c.Policy, LogTo: io.Discard, LogLevel: "error", Deadline: 5 * time.Second,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	if err := s.WaitReady(e.ctx); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "2 entry hosts before 4 model engines and 2 plain services, in availability zones a and b\n")
	mix := []load.TierMix{{Name: "Order", Weight: 1}, {Name: "Live", Weight: 2}, {Name: "Draft", Weight: 3}}
	runner, stop := load.NewRunner(load.Plan{
		Seed: 1, Rate: c.Rate, Duration: time.Duration(c.Seconds * float64(time.Second)), Mix: mix,
		Model: local.EngineModel, Stream: true, Prefixes: 16, Prompt: 1024, Tokens: 4, TailRatio: 30, TailShape: 1.2,
	}, load.Target{Fronts: s.Fronts(), Key: local.Key}, load.Objective{First: 360 * time.Millisecond})
	defer stop()
	result, err := runner.Run(e.ctx, progress(e))
	if err != nil {
		return err
	}
	result.Text(e.out)
	fmt.Fprintf(e.out, "\nTry next:\n  yuccadoor demo --stay            keep it running\n")
	fmt.Fprintf(e.out, "  yuccadoor status %s   what the first host sees\n", s.Admin(0))
	fmt.Fprintf(e.out, "  yuccadoor burn %s %s   service-level burn\n", s.Admin(0), s.Admin(1))
	fmt.Fprintf(e.out, "  yuccadoor check examples/tape.yaml     check an operators' text\n")
	if c.Stay {
		fmt.Fprintf(e.out, "\nServing callers at %v with key %s; interrupt to end.\n", s.Fronts(), local.Key)
		<-e.ctx.Done()
	}
	return nil
}
