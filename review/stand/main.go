// Command stand plays one case of the review: it starts the system's processes with the
// command of the deploy file, stand-ins for the store, the servers and the clients, and
// judges a rule by what these have seen on their sockets.
package main

import (
	"bufio"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	caseNotRun  = 2
	caseTimeout = 110 * time.Second
)

// record is the file in which a case writes what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	file    *os.File
	writer  *bufio.Writer
	started time.Time
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.writer, "%8.3f  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.writer.Flush()
	r.file.Close()
}

// env is what a case gets.
type env struct {
	fleet   func(zones ...string) (*fleet, error)
	record  *record
	trouble bool
}

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(e *env) (bool, error){
	"stray-bytes":    strayBytes,
	"carrier-killed": carrierKilled,
	"silent-crash":   silentCrash,
	"readers-cut":    readersCut,
}

func main() { os.Exit(run()) }

func run() int {
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: stand CASE REPOSITORY FOLDER")
		return caseNotRun
	}
	root, err := filepath.Abs(os.Args[2])
	if err != nil {
		return caseNotRun
	}
	file, err := os.Create(filepath.Join(os.Args[3], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseNotRun
	}
	r := &record{file: file, writer: bufio.NewWriter(file), started: time.Now()}
	defer r.close()
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return caseNotRun
	}
	if os.Getenv("KEEP") == "" {
		defer os.RemoveAll(folder)
	}
	var started *fleet
	e := &env{record: r, trouble: os.Getenv("TROUBLE") != "0"}
	e.fleet = func(zones ...string) (*fleet, error) {
		f, err := newFleet(root, folder, zones...)
		started = f
		return f, err
	}
	defer func() {
		if started != nil {
			started.stopAll()
		}
	}()
	ended := make(chan int, 1)
	go func() {
		broken, err := cases[os.Args[1]](e)
		switch {
		case err != nil:
			r.add("the case could not run: %v", err)
			fmt.Fprintln(os.Stderr, "the case could not run:", err)
			ended <- caseNotRun
		case broken:
			r.add("the rule was broken")
			fmt.Println("the rule was broken")
			ended <- ruleBroken
		default:
			r.add("the rule held")
			fmt.Println("the rule held")
			ended <- ruleHeld
		}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	select {
	case code := <-ended:
		return code
	case <-signals:
	case <-time.After(caseTimeout):
		r.add("the case took too long")
	}
	return caseNotRun
}
