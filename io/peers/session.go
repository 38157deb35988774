package peers

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"

	"yuccadoor/core/member"
	"yuccadoor/core/permit"
)

// session is one incoming connection. Handle is called by the connection's one
// reading goroutine.
type session struct {
	mesh   *Mesh
	remote netip.Addr
	peer   netip.AddrPort // invalid before Hello
	expire *time.Timer
}

// Handle implements jsonrpc2.Handler.
func (s *session) Handle(ctx context.Context, c *jsonrpc2.Conn, r *jsonrpc2.Request) {
	result, err := s.dispatch(ctx, r)
	if err != nil {
		if !r.Notif {
			_ = c.ReplyWithError(ctx, r.ID, &jsonrpc2.Error{Code: jsonrpc2.CodeInvalidRequest, Message: err.Error()})
		}
		c.Close()
		return
	}
	if !r.Notif {
		if err := c.Reply(ctx, r.ID, result); err != nil {
			c.Close()
		}
	}
}

func (s *session) dispatch(ctx context.Context, r *jsonrpc2.Request) (any, error) {
	if r.Params == nil {
		return nil, errors.Errorf("%s: no parameters", r.Method)
	}
	if r.Method == methodHello {
		return nil, s.hello(*r.Params)
	}
	if !s.peer.IsValid() {
		return nil, errors.Errorf("%s before %s", r.Method, methodHello)
	}
	if !s.mesh.current(s) {
		return nil, errors.Errorf("a newer connection of %s has taken over", s.peer)
	}
	h := s.mesh.handler
	switch r.Method {
	case methodHolder:
		m, err := decode[permit.FromHolder](*r.Params)
		if err == nil {
			h.FromHolder(s.peer, m)
		}
		return nil, err
	case methodManager:
		m, err := decode[permit.FromManager](*r.Params)
		if err == nil {
			h.FromManager(s.peer, m)
		}
		return nil, err
	case methodFresh:
		f, err := decode[Fetch](*r.Params)
		if err == nil {
			h.Fresh(s.peer, f)
		}
		return nil, err
	case methodDisplace:
		d, err := decode[Displace](*r.Params)
		if err == nil {
			h.Displace(d)
		}
		return nil, err
	case methodExchange:
		x, err := decode[member.Exchange](*r.Params)
		if err != nil || x.From != s.peer {
			return nil, errors.Errorf("exchange from %s as %s: %v", s.peer, x.From, err)
		}
		return h.Exchange(ctx, x)
	case methodFetch:
		f, err := decode[Fetch](*r.Params)
		if err != nil {
			return nil, err
		}
		return h.Fetch(ctx, f)
	}
	return nil, errors.Errorf("unknown method %s", r.Method)
}

// hello accepts a caller that the platform lists at the address it calls from.
func (s *session) hello(params json.RawMessage) error {
	hello, err := decode[Hello](params)
	if err != nil {
		return err
	}
	if hello.From.Addr().Unmap() != s.remote {
		return errors.Errorf("peer %s calls from %s", hello.From, s.remote)
	}
	if !s.mesh.handler.Known(hello.From) {
		return errors.Errorf("peer %s is not listed", hello.From)
	}
	s.peer = hello.From
	s.expire.Stop()
	s.mesh.replace(s)
	return nil
}

// replace makes a session the one whose messages count for its peer. Messages
// of an earlier one may still be in buffers, even of an earlier process.
func (m *Mesh) replace(s *session) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.sessions[s.peer] = s
}

func (m *Mesh) current(s *session) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.sessions[s.peer] == s
}

// decode reads one message.
func decode[T any](params json.RawMessage) (T, error) {
	var m T
	err := json.Unmarshal(params, &m)
	return m, errors.Wrap(err, "decode message")
}
