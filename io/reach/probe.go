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

// Limits of reading a target's load report.
const (
	probeTimeout = time.Second
	loadPath     = "/load"
	maxLoadBytes = 64 << 10
	decimal      = 10
)

// Load is a target's load report. It lags behind the target's actual load.
type Load struct {
	Incarnation model.Incarnation
	Running     int
	Waiting     int
}

// recordIncarnation records the incarnation of a target that has responded.
func (s *Sender) recordIncarnation(target netip.AddrPort, incarnation string) {
	if incarnation == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incarnations[target] = incarnation
}

// Load reads a target's load report on a new connection.
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
	a.setConn(conn)
	raw, err := encodeRequest(&Call{Target: target, Method: http.MethodGet, Path: loadPath, Header: http.Header{}})
	if err != nil {
		return l, err
	}
	if _, err := a.writeRequest(raw); err != nil {
		return l, errors.Wrapf(err, "request load of target %s", target)
	}
	resp, err := a.readHeader()
	if err != nil {
		return l, errors.Wrapf(err, "read load of target %s", target)
	}
	if resp.StatusCode != http.StatusOK {
		return l, errors.Errorf("read load of target %s: status %d", target, resp.StatusCode)
	}
	err = json.NewDecoder(io.LimitReader(resp.Body, maxLoadBytes)).Decode(&l)
	return l, errors.Wrapf(err, "decode load of target %s", target)
}

// processEnded reports whether a target's process has ended, rather than only the
// connection to it: nothing listens any more, or another incarnation responds.
func (s *Sender) processEnded(target netip.AddrPort) bool {
	s.mu.Lock()
	last := s.incarnations[target]
	s.mu.Unlock()
	l, err := s.Load(context.Background(), target)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	return last != "" && last != strconv.FormatUint(uint64(l.Incarnation), decimal)
}
