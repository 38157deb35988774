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
	Seed    uint64  `help:"Seed of the load." default:"1"`

	Decode   time.Duration `help:"Time of an engine per generated token." default:"2ms"`
	Cache    int           `help:"Prefix blocks in the cache of an engine." default:"512"`
	Prefixes int           `help:"Distinct prompt prefixes." default:"16"`
	Prompt   int           `help:"Bytes of a prompt prefix." default:"1024"`
	Deadline time.Duration `help:"Deadline of a request." default:"5s"`
	ZoneOut  time.Duration `help:"When to take availability zone b out of service; 0 for never."`
	ZoneBack time.Duration `help:"When to restore availability zone b; 0 for never."`

	Stay bool `help:"Keep the system running after the load, until interrupted."`
}

// Run starts the system, sends a load and prints the outcome.
func (c *demoCommand) Run(e *env) error {
	s, cleanup, err := local.New(e.ctx, local.Options{
		Zones: []string{"a", "b"}, Hosts: 2, Engines: 4, Plains: 2,
		Engine: fakes.Settings{
			ColdSlots: 2, WarmSlots: 8, WarmAfter: 4, Prefill: 20 * time.Microsecond, Decode: c.Decode,
			DefaultTokens: 8, CacheBlocks: c.Cache, LoadLag: time.Second,
		},
		Plain:  fakes.Settings{ColdSlots: 4, WarmSlots: 32, WarmAfter: 4, ProcessingTime: 2 * time.Millisecond, LoadLag: time.Second},
		Policy: c.Policy, LogTo: io.Discard, LogLevel: "error", Deadline: c.Deadline,
	})
	if err != nil {
		return err
	}
	defer cleanup()
	if err := s.WaitReady(e.ctx); err != nil {
		return err
	}
	fmt.Fprintf(e.out, "2 entry hosts in front of 4 model engines and 2 plain services, in availability zones a and b\n")
	mix := []load.TierWeight{{Name: "Order", Weight: 1}, {Name: "Live", Weight: 2}, {Name: "Draft", Weight: 3}}
	runner, stop := load.NewRunner(load.Plan{
		Seed: c.Seed, Rate: c.Rate, Duration: time.Duration(c.Seconds * float64(time.Second)), Mix: mix,
		Model: local.EngineModel, Stream: true, PrefixCount: c.Prefixes, PrefixBytes: c.Prompt, MinTokens: 4, TailRatio: 30, TailShape: 1.2,
	}, load.Destination{FrontAddresses: s.FrontAddresses(), APIKey: local.WorkspaceKey}, load.Objective{FirstByte: 360 * time.Millisecond})
	defer stop()
	c.scheduleZonesOut(s, c.ZoneOut, []string{"b"})
	c.scheduleZonesOut(s, c.ZoneBack, nil)
	result, err := runner.Run(e.ctx, progress(e))
	if err != nil {
		return err
	}
	result.WriteText(e.out)
	printEngineStats(e, s)
	fmt.Fprintf(e.out, "\nTry next:\n  yuccadoor demo --stay            keep it running\n")
	fmt.Fprintf(e.out, "  yuccadoor status %s   status of the first host\n", s.AdminAddress(0))
	fmt.Fprintf(e.out, "  yuccadoor burn %s %s   error budget burn of the services\n", s.AdminAddress(0), s.AdminAddress(1))
	fmt.Fprintf(e.out, "  yuccadoor check examples/tape.yaml     check a configuration file\n")
	if c.Stay {
		fmt.Fprintf(e.out, "\nServing callers at %v with key %s; interrupt to end.\n", s.FrontAddresses(), local.WorkspaceKey)
		<-e.ctx.Done()
	}
	return nil
}

// scheduleZonesOut publishes a configuration with the given zones taken out of
// service after a delay; a delay of 0 means never.
func (c *demoCommand) scheduleZonesOut(s *local.System, delay time.Duration, zonesOut []string) {
	if delay > 0 {
		time.AfterFunc(delay, func() { s.Platform.SetConfig(s.ConfigText(zonesOut)) })
	}
}

// printEngineStats prints the requests of each engine, and the shares of all prompt
// tokens that were found in a cache or computed for incomplete responses.
func printEngineStats(e *env, s *local.System) {
	promptTokens, cachedTokens, wastedTokens := 0, 0, 0
	for i, engine := range s.Engines {
		stats := engine.Stats()
		fmt.Fprintf(e.out, "engine %d in zone %s: %d requests, at most %d at once, overloaded while cold %d times\n",
			i, s.Targets[i].Zone, len(stats.Runs), stats.PeakConcurrency, stats.ColdOverloads)
		for _, r := range stats.Runs {
			promptTokens += r.PromptTokens
			cachedTokens += r.CachedTokens
			if !r.Completed {
				wastedTokens += r.PromptTokens - r.CachedTokens
			}
		}
	}
	if promptTokens == 0 {
		return
	}
	percent := func(n int) float64 { return 100 * float64(n) / float64(promptTokens) }
	fmt.Fprintf(e.out, "prefill: %d prompt tokens, %.1f%% found in a cache, %.1f%% computed for incomplete responses\n",
		promptTokens, percent(cachedTokens), percent(wastedTokens))
}
