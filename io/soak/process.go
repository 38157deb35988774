package soak

import (
	"context"
	"net/netip"
	"os"
	"os/exec"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/platform/stand"
)

// process is one host under test. Its methods may be called by any goroutine.
type process struct {
	program string
	listen  netip.AddrPort // where other hosts are served, behind a proxy
	file    string
	log     string
	node    stand.Node

	mu      sync.Mutex
	command *exec.Cmd     // guarded by mu; nil while it does not run
	ended   chan struct{} // guarded by mu; closed when command has ended
}

// start starts the process unless it runs: of several faults on one host, the
// first that ends starts it again.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command != nil {
		select {
		case <-p.ended:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(p.log, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open a host's log")
	}
	defer log.Close()
	c := exec.Command(p.program, "edge", "--node", p.file, "--peer-listen", p.listen.String())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	p.command, p.ended = c, make(chan struct{})
	ended := p.ended
	go func() {
		_ = c.Wait()
		close(ended)
	}()
	return nil
}

// signal sends a signal to the process that was started, if it still runs.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.command == nil {
		return
	}
	select {
	case <-p.ended:
	default:
		_ = p.command.Process.Signal(s)
	}
}

// await waits for the process's end; false if it goes on for longer.
func (p *process) await(limit time.Duration) bool {
	select {
	case <-p.current():
		return true
	case <-time.After(limit):
		return false
	}
}

// current is closed when the process that runs now has ended.
func (p *process) current() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.ended
}

// end kills the process and waits for its end.
func (p *process) end() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.await(readyWithin)
}

// lastLine is the last line that the process has logged.
func (p *process) lastLine() string {
	text, err := os.ReadFile(p.log)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func (p *process) ready(ctx context.Context) bool { return stand.IsReady(ctx, p.node.Ready) }
