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

// process is a host under test, run as an operating system process. Its methods
// are safe for concurrent use.
type process struct {
	programs     []string       // that its starts run by turns
	listen       netip.AddrPort // where it accepts connections of other hosts, behind a proxy
	settingsPath string
	logPath      string
	node         stand.Node

	mu     sync.Mutex
	starts int           // guarded by mu
	cmd    *exec.Cmd     // guarded by mu; nil before the first start
	exited chan struct{} // guarded by mu; closed when cmd has exited
}

// start starts the process unless it is running. When several faults have stopped
// the same host, the first one that ends restarts it.
func (p *process) start() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		select {
		case <-p.exited:
		default:
			return nil
		}
	}
	log, err := os.OpenFile(p.logPath, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o600)
	if err != nil {
		return errors.Wrap(err, "open a host's log")
	}
	defer log.Close()
	c := exec.Command(p.programs[p.starts%len(p.programs)], "edge", "--node", p.settingsPath, "--peer-listen", p.listen.String())
	c.Stdout, c.Stderr = log, log
	if err := c.Start(); err != nil {
		return errors.Wrap(err, "start a host")
	}
	p.starts++
	p.cmd, p.exited = c, make(chan struct{})
	exited := p.exited
	go func() {
		_ = c.Wait()
		close(exited)
	}()
	return nil
}

// signal sends a signal to the process if it is running.
func (p *process) signal(s syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd == nil {
		return
	}
	select {
	case <-p.exited:
	default:
		_ = p.cmd.Process.Signal(s)
	}
}

// waitExit waits for the process to exit and reports whether it did within the
// timeout.
func (p *process) waitExit(timeout time.Duration) bool {
	select {
	case <-p.exitedChan():
		return true
	case <-time.After(timeout):
		return false
	}
}

// exitedChan returns a channel that is closed when the current process has exited.
func (p *process) exitedChan() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.exited
}

// kill kills the process and waits for it to exit.
func (p *process) kill() {
	p.signal(syscall.SIGCONT)
	p.signal(syscall.SIGKILL)
	p.waitExit(readyTimeout)
}

// lastLogLine returns the last line of the process's log.
func (p *process) lastLogLine() string {
	text, err := os.ReadFile(p.logPath)
	if err != nil {
		return err.Error()
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	return lines[len(lines)-1]
}

func (p *process) ready(ctx context.Context) bool { return stand.IsReady(ctx, p.node.Ready) }
