// Command stand2 plays the cases of the second review: entry hosts as processes, servers as
// processes of this program, and the platform and the clients around them, all on loopback.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of a case.
const (
	codeHeld = iota
	codeBroken
	codeNotRun
)

// play plays a case, with the disruption or without it. It returns what broke the rule.
type play func(f *fleet, trouble bool) (broken []string, err error)

var cases = map[string]play{"truncated": playTruncated, "leader-kill": playLeaderKill, "zone-loss": playZoneLoss, "leaving": playLeaving, "stray": playStray}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "server" {
		if err := runServer(os.Args[2]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(codeNotRun)
		}
		return
	}
	trouble := flag.Bool("trouble", true, "with the disruption")
	record := flag.String("record", "record.txt", "file of the record")
	logs := flag.String("logs", "", "directory to which the logs of the hosts are copied; empty for none")
	flag.Parse()
	p, ok := cases[flag.Arg(0)]
	if !ok {
		fmt.Fprintf(os.Stderr, "no case %q\n", flag.Arg(0))
		os.Exit(codeNotRun)
	}
	os.Exit(run(p, *trouble, *record, *logs))
}

// run plays a case and returns the exit code.
func run(p play, trouble bool, record, logs string) int {
	f, cleanup, err := newFleet()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-interrupted
		cleanup()
		os.Exit(codeNotRun)
	}()
	broken, err := p(f, trouble)
	for _, b := range broken {
		f.note("BROKEN: %s", b)
		fmt.Println(b)
	}
	if err != nil {
		f.note("could not run: %v", err)
	}
	if logs != "" {
		_ = os.CopyFS(logs, os.DirFS(f.dir))
	}
	cleanup()
	if writeErr := f.writeRecord(record); err == nil {
		err = writeErr
	}
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, err)
		return codeNotRun
	case len(broken) > 0:
		return codeBroken
	}
	return codeHeld
}
