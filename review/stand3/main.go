// Command stand3 plays the scripted cases of the third review: it starts entry hosts as separate
// processes, as the deploy file does, with stand-ins for the platform, the servers and the clients
// on loopback addresses, and judges one rule by what clients and servers see. It exits with 1 if
// the rule was broken, 0 if it held, and 2 if the case could not run.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// maxRun is the longest time that a case may take.
const maxRun = 110 * time.Second

// verdict is the outcome of a case.
type verdict struct {
	broken  bool
	finding string
}

// play runs a case with the disruption or without it.
type play func(ctx context.Context, s *system, trouble bool) (verdict, error)

// cases are the scripted cases by name.
var cases = map[string]play{
	"quoted": playQuoted,
	"status": playStatusLines,
	"cold":   playCold,
	"parts":  playParts,
	"lines":  playLines,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: stand3 CASE PROGRAM RECORD")
		return exitFailed
	}
	name, program, recordPath := os.Args[1], os.Args[2], os.Args[3]
	playCase, ok := cases[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", name)
		return exitFailed
	}
	record, stop, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitFailed
	}
	defer stop()
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	ctx, cancelTime := context.WithTimeout(ctx, maxRun)
	defer cancelTime()
	trouble := os.Getenv("TROUBLE") != "0"
	record.line("case %s, disruption %v", name, trouble)
	s, cleanup, err := newSystem(program, record)
	defer cleanup()
	if err != nil {
		record.line("could not run: %v", err)
		return exitFailed
	}
	v, err := playCase(ctx, s, trouble)
	switch {
	case err != nil || ctx.Err() != nil:
		record.line("could not run: %v %v", err, ctx.Err())
		return exitFailed
	case v.broken:
		record.line("rule broken: %s", v.finding)
		return exitBroken
	}
	record.line("rule held: %s", v.finding)
	return exitHeld
}
