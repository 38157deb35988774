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
	Platform fakePlatform `cmd:"" help:"A configuration service and host list, read from files that may be edited."`
	Engine   fakeEngine   `cmd:"" help:"A model engine."`
	Plain    fakePlain    `cmd:"" help:"A plain service."`
}

type fakePlatform struct {
	Listen netip.AddrPort `help:"Address to serve at." default:"127.0.0.1:8090"`
	Text   string         `help:"File of the operators' text." required:"" type:"existingfile"`
	List   string         `help:"File of the host list, as JSON with Hosts and Targets." required:"" type:"existingfile"`
	Lag    time.Duration  `help:"Lag of the host list." default:"0s"`
}

// filePeriod is the time between looks at the files.
const filePeriod = 200 * time.Millisecond

// Run serves until interrupted and publishes the files anew when they change.
func (c *fakePlatform) Run(e *env) error {
	p, cleanup, err := fakes.NewPlatform(c.Listen, c.Lag)
	if err != nil {
		return err
	}
	defer cleanup()
	fmt.Fprintf(e.out, "platform at %s\n", c.Listen)
	var text, list string
	for {
		if changed(c.Text, &text) {
			fmt.Fprintf(e.out, "text published as revision %d\n", p.SetConfig(text))
		}
		if changed(c.List, &list) {
			var l model.HostList
			if err := json.Unmarshal([]byte(list), &l); err != nil {
				return errors.Wrapf(err, "read host list %s", c.List)
			}
			p.SetHosts(l.Hosts, l.Targets)
			fmt.Fprintf(e.out, "list published: %d hosts, %d targets\n", len(l.Hosts), len(l.Targets))
		}
		select {
		case <-e.ctx.Done():
			return nil
		case <-time.After(filePeriod):
		}
	}
}

// changed reads a file and reports whether it differs from what was read last.
func changed(file string, last *string) bool {
	now, err := os.ReadFile(file)
	if err != nil || string(now) == *last {
		return false
	}
	*last = string(now)
	return true
}

type fakeTarget struct {
	Listen    netip.AddrPort `help:"Address to serve at." required:""`
	Cold      int            `help:"Requests borne while cold." default:"2"`
	Warm      int            `help:"Requests borne when warm." default:"16"`
	WarmAfter int            `help:"Completions until warm." default:"8"`
	LoadLag   time.Duration  `help:"Age of load reports." default:"2s"`
}

func (c *fakeTarget) settings() fakes.Settings {
	return fakes.Settings{ColdSlots: c.Cold, WarmSlots: c.Warm, WarmAfter: c.WarmAfter, LoadLag: c.LoadLag}
}

type fakeEngine struct {
	fakeTarget
	Prefill time.Duration `help:"Time for one prompt token." default:"50us"`
	Decode  time.Duration `help:"Time for one token of an answer." default:"10ms"`
	Tokens  int           `help:"Tokens of an answer whose request names no number." default:"32"`
	Cache   int           `help:"Prefix blocks kept." default:"1024"`
}

// Run serves until interrupted.
func (c *fakeEngine) Run(e *env) error {
	s := c.settings()
	s.Prefill, s.Decode, s.DefaultTokens, s.CacheSize = c.Prefill, c.Decode, c.Tokens, c.Cache
	_, cleanup, err := fakes.NewEngine(c.Listen, s)
	if err != nil {
		return err
	}
	return serveFake(e, cleanup, "model engine", c.Listen)
}

type fakePlain struct {
	fakeTarget
	Work time.Duration `help:"Time of one call." default:"5ms"`
}

// Run serves until interrupted.
func (c *fakePlain) Run(e *env) error {
	s := c.settings()
	s.Work = c.Work
	_, cleanup, err := fakes.NewPlain(c.Listen, s)
	if err != nil {
		return err
	}
	return serveFake(e, cleanup, "plain service", c.Listen)
}

func serveFake(e *env, cleanup func(), what string, at netip.AddrPort) error {
	defer cleanup()
	fmt.Fprintf(e.out, "%s at %s\n", what, at)
	<-e.ctx.Done()
	return nil
}
