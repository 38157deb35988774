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
	Runs   int           `help:"Number of runs, with consecutive seeds." default:"1"`
	Hosts  int           `help:"Number of entry hosts, each a separate process." default:"4"`
	Length time.Duration `help:"How long faults are injected in a run." default:"20s"`
	Only   []string      `help:"Kinds of faults to inject, by the names that a run prints; all by default."`
	Keep   string        `help:"Directory in which the hosts' settings files and logs are kept." type:"existingdir"`
	Former string        `help:"Another version of the program, which hosts run first; each start of a host then changes the version." type:"existingfile"`
	Quiet  bool          `help:"Do not print each fault."`
}

// Run performs soak tests with fault injection and fails if a guarantee was violated.
func (c *soakCommand) Run(e *env) error {
	program, err := os.Executable()
	if err != nil {
		return errors.Wrap(err, "find the program under test")
	}
	violations := 0
	for i := range c.Runs {
		s := soak.Settings{Program: program, Former: c.Former, Hosts: c.Hosts, Seed: c.Seed + uint64(i), Length: c.Length, Only: c.Only, KeepDir: c.Keep}
		if !c.Quiet {
			s.Out = e.out
		}
		result, err := soak.Run(e.ctx, s)
		if err != nil {
			return errors.Wrapf(err, "soak with seed %d", s.Seed)
		}
		fmt.Fprintf(e.out, "seed %d: %d requests, %d served, %d refused, %d failed, %d faults, %d findings\n",
			result.Seed, result.Requests, result.Served, result.Refused, result.Failed, len(result.Faults), len(result.Findings))
		for _, f := range result.Findings {
			fmt.Fprintln(e.out, "  "+f)
		}
		violations += len(result.Findings)
	}
	if violations > 0 {
		return errors.Errorf("%d findings", violations)
	}
	return nil
}
