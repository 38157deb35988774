package cmds

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/io/fakes"
)

type fakeCommand struct {
	Platform fakePlatform `cmd:"" help:"A configuration service and a host list, read from files and published again when these change."`
	Engine   fakeEngine   `cmd:"" help:"A model engine."`
	Plain    fakePlain    `cmd:"" help:"A plain service."`
}

type fakePlatform struct {
	Listen netip.AddrPort `help:"Address to serve at." default:"127.0.0.1:8090"`
	Text   string         `help:"Configuration file." required:"" type:"existingfile"`
	List   string         `help:"File of the host list: JSON with Hosts and Targets." required:"" type:"existingfile"`
	Lag    time.Duration  `help:"Delay until a change of the host list becomes visible." default:"0s"`
}

// filePollInterval is the time between two checks of the files.
const filePollInterval = 200 * time.Millisecond

// Run serves until interrupted and publishes the files again when they change.
func (c *fakePlatform) Run(e *env) error {
	p, cleanup, err := fakes.NewPlatform(c.Listen, c.Lag)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Fprintf(e.out, "platform listening on %s\n", c.Listen)
	var text, list string
	for {
		if readChanged(c.Text, &text) {
			fmt.Fprintf(e.out, "configuration published as revision %d\n", p.SetConfig(text))
		}
		if readChanged(c.List, &list) {
			var l model.HostList
			if err := json.Unmarshal([]byte(list), &l); err != nil {
				return errors.Wrapf(err, "read host list %s", c.List)
			}
			p.SetHosts(l.Hosts, l.Targets)
			fmt.Fprintf(e.out, "host list published: %d hosts, %d targets\n", len(l.Hosts), len(l.Targets))
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(filePollInterval):
		}
	}
}

// readChanged reads a file and reports whether its content differs from last, which
// it updates. A file that cannot be read counts as unchanged.
func readChanged(file string, last *string) bool {
	content, err := os.ReadFile(file)
	if err != nil || string(content) == *last {
		return false
	}
	*last = string(content)
	return true
}

// fakeTarget holds the flags of both kinds of target.
type fakeTarget struct {
	Listen    netip.AddrPort `help:"Address to serve at." required:""`
	Cold      int            `help:"Concurrent requests before a cold target becomes overloaded." default:"2"`
	Warm      int            `help:"Concurrent requests before a target slows down." default:"16"`
	WarmAfter int            `help:"Completed requests after which the target is warm." default:"8"`
	LoadLag   time.Duration  `help:"Maximum age of load reports." default:"2s"`
}

func (c *fakeTarget) settings() fakes.Settings {
	return fakes.Settings{ColdSlots: c.Cold, WarmSlots: c.Warm, WarmAfter: c.WarmAfter, LoadLag: c.LoadLag}
}

type fakeEngine struct {
	fakeTarget
	Prefill time.Duration `help:"Time per uncached prompt token." default:"50us"`
	Decode  time.Duration `help:"Time per generated token." default:"10ms"`
	Tokens  int           `help:"Generated tokens if the request has no max_tokens." default:"32"`
	Cache   int           `help:"Prefix blocks in the cache." default:"1024"`
}

// Run serves until interrupted.
func (c *fakeEngine) Run(e *env) error {
	s := c.settings()
	s.Prefill, s.Decode, s.DefaultTokens, s.CacheBlocks = c.Prefill, c.Decode, c.Tokens, c.Cache
	_, cleanup, err := fakes.NewEngine(c.Listen, s)
	if err != nil {
		return err
	}
	return serveFake(e, cleanup, "model engine", c.Listen)
}

type fakePlain struct {
	fakeTarget
	Work time.Duration `help:"Processing time of a request." default:"5ms"`
}

// Run serves until interrupted.
func (c *fakePlain) Run(e *env) error {
	s := c.settings()
	s.ProcessingTime = c.Work
	_, cleanup, err := fakes.NewPlain(c.Listen, s)
	if err != nil {
		return err
	}
	return serveFake(e, cleanup, "plain service", c.Listen)
}

// serveFake waits until the command is interrupted, then stops the fake.
func serveFake(e *env, cleanup func(), kind string, address netip.AddrPort) error {
	defer cleanup()
	fmt.Fprintf(e.out, "%s listening on %s\n", kind, address)
	<-e.ctx.Done()
	return nil
}
