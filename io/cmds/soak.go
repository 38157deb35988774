package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/io/soak"
)

type soakCommand struct {
	Seed   uint64        `help:"Seed of the first run." default:"1"`
	Runs   int           `help:"Runs with seeds in a row." default:"1"`
	Hosts  int           `help:"Entry hosts, each a process of its own." default:"4"`
	Length time.Duration `help:"How long faults are injected in a run." default:"20s"`
	Only   []string      `help:"Kinds of fault to play, by the names that a run shows; all by default."`
	Keep   string        `help:"Folder in which hosts' settings files and logs are left." type:"existingdir"`
	Quiet  bool          `help:"Do not show each fault."`
}

// Run plays fault soaks and fails if a promise was broken.
func (c *soakCommand) Run(e *env) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program under test")
	}
	broken := 0
	for i := range c.Runs {
		s := soak.Settings{Program: program, Hosts: c.Hosts, Seed: c.Seed + uint64(i), Length: c.Length, Only: c.Only, KeepDir: c.Keep}
		if !c.Quiet {
			s.Out = e.out
		}
		r, err := soak.Run(e.ctx, s)
		if err != nil {
			return errors.Wrapf(err, "soak with seed %d", s.Seed)
		}
		fmt.Fprintf(e.out, "seed %d: %d requests, %d served, %d refused, %d failed, %d faults, %d findings\n",
			r.Seed, r.Requests, r.Served, r.Refused, r.Failed, len(r.Faults), len(r.Findings))
		for _, f := range r.Findings {
			fmt.Fprintln(e.out, "  "+f)
		}
		broken += len(r.Findings)
	}
	if broken > 0 {
		return errors.Errorf("%d findings", broken)
	}
	return nil
}
