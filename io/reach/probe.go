package reach

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/model"
)

// Bounds of a look at a target's own account.
const (
	probeTimeout = time.Second
	loadPath     = "/load"
	maxLoadBytes = 64 << 10
	decimal      = 10
)

// Load is a target's own account, as its load report gives it. It lags.
type Load struct {
	Incarnation model.Incarnation
	Running     int
	Waiting     int
}

// note remembers which run of a target has answered.
func (s *Sender) note(target netip.AddrPort, run string) {
	if run == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[target] = run
}

// Load reads a target's load report on a connection of its own.
func (s *Sender) Load(ctx context.Context, target netip.AddrPort) (Load, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	var l Load
	conn, err := s.pool.Dial(ctx, target)
	if err != nil {
		return l, errors.Wrapf(err, "connect to target %s", target)
	}
	defer conn.Conn.Close()
	a := &attempt{ctx: ctx, call: &Call{Method: http.MethodGet, IdleTimeout: probeTimeout}}
	a.use(conn)
	raw, err := encode(&Call{Target: target, Method: http.MethodGet, Path: loadPath, Header: http.Header{}})
	if err != nil {
		return l, err
	}
	if _, err := a.write(raw); err != nil {
		return l, errors.Wrapf(err, "ask target %s for its load", target)
	}
	reply, err := a.readHead()
	if err != nil {
		return l, errors.Wrapf(err, "read load of target %s", target)
	}
	if reply.StatusCode != http.StatusOK {
		return l, errors.Errorf("read load of target %s: status %d", target, reply.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(reply.Body, maxLoadBytes)).Decode(&l)
	return l, errors.Wrapf(err, "decode load of target %s", target)
}

// crashed tells a process that ended from a connection that broke: nothing
// listens any more, or another run answers.
func (s *Sender) crashed(target netip.AddrPort) bool {
	s.mu.Lock()
	before := s.runs[target]
	s.mu.Unlock()
	l, err := s.Load(context.Background(), target)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return before != "" && before != strconv.FormatUint(uint64(l.Incarnation), decimal)
}
