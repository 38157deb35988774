// Package cmds implements the command line: it parses and checks the arguments and
// calls the packages that implement the commands.
package cmds

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	"yuccadoor/core/conf"
	"yuccadoor/io/entry"
)

// commands declares all commands and their flags for kong.
type commands struct {
	Serve    serveCommand    `cmd:"" help:"Run an entry host."`
	Edge     edgeCommand     `cmd:"" help:"Run an entry host on the users' platform."`
	Replay   replayCommand   `cmd:"" help:"Play a load pattern in virtual time under each policy."`
	Storm    stormCommand    `cmd:"" help:"Play a storm over a large fleet before one leader, in virtual time."`
	Soak     soakCommand     `cmd:"" help:"Run hosts as processes on loopback under random faults and check their guarantees."`
	Check    checkCommand    `cmd:"" help:"Check a configuration file and report every finding."`
	Status   statusCommand   `cmd:"" help:"Show the status of running hosts."`
	Burn     burnCommand     `cmd:"" help:"Report how fast services burn their error budgets."`
	Load     loadCommand     `cmd:"" help:"Send a seeded open-loop load and report the outcomes."`
	Fake     fakeCommand     `cmd:"" help:"Run a fake of the platform or of a target."`
	Demo     demoCommand     `cmd:"" help:"Run two hosts with a fake platform and fake targets on loopback under a short load."`
	Settings settingsCommand `cmd:"" help:"Print the reference page of an entry host's settings."`
}

// env holds the context and the output streams of a command.
type env struct {
	ctx context.Context
	out io.Writer
	err io.Writer
}

// Main parses the arguments, runs the command and returns the exit status.
func Main(args []string, out, errOut io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	var c commands
	parser, err := kong.New(&c, kong.Name("yuccadoor"), kong.Writers(out, errOut),
		kong.Description("A request scheduler for heterogeneous engines."))
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 1
	}
	parsed, err := parser.Parse(args)
	if err != nil {
		fmt.Fprintln(errOut, err)
		return 2
	}
	err = parsed.Run(&env{ctx: ctx, out: out, err: errOut})
	switch {
	case errors.Is(err, errFindings):
		return findingsStatus
	case err != nil:
		fmt.Fprintln(errOut, err)
		return 1
	}
	return 0
}

type serveCommand struct {
	entry.Settings
}

// Run runs an entry host until the process is interrupted or terminated, then stops
// it gracefully.
func (c *serveCommand) Run(e *env) error {
	h, cleanup, err := entry.New(context.WithoutCancel(e.ctx), c.Settings, entry.Options{LogWriter: e.err})
	if err != nil {
		return err
	}
	defer cleanup()
	<-e.ctx.Done()
	return h.Stop(context.Background())
}

type checkCommand struct {
	File     string `arg:"" help:"The configuration file." type:"existingfile"`
	Platform bool   `help:"The file is the platform's configuration, as operators send it (JSON)."`
	InForce  string `help:"With --platform: a file with the configuration in force, to show what changes for callers." type:"existingfile"`
	JSON     bool   `name:"json" help:"With --platform: print JSON."`
}

// Run checks a configuration file.
func (c *checkCommand) Run(e *env) error {
	if c.Platform {
		return c.checkPlatform(e)
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return errors.Wrap(err, "read the configuration file")
	}
	catalog, err := conf.Parse(c.File, text, 0)
	if err != nil {
		return err
	}
	fmt.Fprintf(e.out, "%s: no findings; %d services, %d workspaces, %d tiers\n",
		c.File, len(catalog.Services), len(catalog.Workspaces), len(catalog.Tiers))
	return nil
}

type settingsCommand struct{}

// Run prints the settings page.
func (c *settingsCommand) Run(e *env) error {
	_, err := io.WriteString(e.out, entry.SettingsPage())
	return err
}
