package mesh

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/sourcegraph/jsonrpc2"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// heard takes in what arrives.
type heard struct {
	mu      sync.Mutex
	methods []string         // guarded by mu
	lost    []netip.AddrPort // guarded by mu
}

// Receive implements Handler.
func (h *heard) Receive(_ netip.AddrPort, method string, _ json.RawMessage) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.methods = append(h.methods, method)
}

// Lost implements Handler.
func (h *heard) Lost(host netip.AddrPort) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = append(h.lost, host)
}

func (h *heard) await(t *testing.T, method string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		h.mu.Lock()
		defer h.mu.Unlock()
		for _, m := range h.methods {
			if m == method {
				return poll.Success()
			}
		}
		return poll.Continue("%s has not arrived", method)
	}, poll.WithTimeout(5*time.Second))
}

func start(t *testing.T, change func(*Settings)) (*Mesh, *heard, netip.AddrPort) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s := Settings{Self: l.Addr().(*net.TCPAddr).AddrPort(), Listener: l}
	if change != nil {
		change(&s)
	}
	h := &heard{}
	m, cleanup := New(t.Context(), s, h)
	t.Cleanup(cleanup)
	return m, h, s.Self
}

func TestMessagesArriveAndCallsAreAnswered(t *testing.T) {
	_, h, to := start(t, func(s *Settings) {
		s.HandleCall = func(_ context.Context, _ netip.AddrPort, method string, params json.RawMessage) (any, error) {
			if method != "Double" {
				return nil, errors.New("not known")
			}
			var n int
			err := json.Unmarshal(params, &n)
			return 2 * n, err
		}
	})
	m, _, _ := start(t, nil)
	m.Send(to, "News", 1)
	h.await(t, "News")
	var twice int
	assert.NilError(t, m.Call(t.Context(), to, "Double", 21, &twice))
	assert.Equal(t, twice, 42)
	assert.ErrorContains(t, m.Call(t.Context(), to, "Halve", 21, &twice), "not known")
	// The other side ends the connection after that; a call that is sent before this
	// is known here is lost with it, and said to be.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if err := m.Call(t.Context(), to, "Double", 4, &twice); err != nil {
			return poll.Continue("no new connection: %v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(5*time.Second))
	assert.Equal(t, twice, 8)
}

func TestUngreetedHostIsNotLetIn(t *testing.T) {
	_, h, to := start(t, func(s *Settings) {
		s.Authorize = func(netip.AddrPort, netip.Addr) error { return errors.New("not listed") }
	})
	m, lost, _ := start(t, nil)
	m.Send(to, "News", 1)
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		lost.mu.Lock()
		defer lost.mu.Unlock()
		if len(lost.lost) > 0 {
			return poll.Success()
		}
		return poll.Continue("the sender is not told")
	}, poll.WithTimeout(5*time.Second))
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, len(h.methods), 0)
}

// Messages of a host's former process may still be in the buffers of its former
// connection when the next process has said hello.
func TestOnlyTheNewestConnectionCounts(t *testing.T) {
	_, h, to := start(t, nil)
	from := netip.MustParseAddrPort("127.0.0.1:9")
	connect := func() *jsonrpc2.Conn {
		raw, err := net.Dial("tcp", to.String())
		assert.NilError(t, err)
		c := jsonrpc2.NewConn(t.Context(), jsonrpc2.NewPlainObjectStream(raw), refuseAll{}, jsonrpc2.SetLogger(quiet))
		t.Cleanup(func() { c.Close() })
		assert.NilError(t, c.Notify(t.Context(), methodHello, Hello{From: from}))
		return c
	}
	former := connect()
	assert.NilError(t, former.Notify(t.Context(), "First", 1))
	h.await(t, "First")
	newest := connect()
	assert.NilError(t, newest.Notify(t.Context(), "Second", 1))
	h.await(t, "Second")
	_ = former.Notify(t.Context(), "Stale", 1)
	<-former.DisconnectNotify()
	assert.NilError(t, newest.Notify(t.Context(), "Third", 1))
	h.await(t, "Third")
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.DeepEqual(t, h.methods, []string{"First", "Second", "Third"})
}
