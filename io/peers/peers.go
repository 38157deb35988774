// Package peers defines the typed messages between entry hosts that serve the
// product's own interface; io/mesh transports them. A connection is accepted only
// from a host on the platform's list, calling from its own address.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"yuccadoor/core/intake"
	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/io/mesh"
)

// Method names of messages between peers.
const (
	methodHolder   = "Holder"
	methodManager  = "Manager"
	methodExchange = "Exchange"
	methodFetch    = "Fetch"
	methodFresh    = "Fresh"
	methodDisplace = "Displace"
)

// PublishedState carries the operators' configuration and the platform's host list
// from one host to another; what the receiver already has is left out.
type PublishedState struct {
	ConfigRevision model.Revision
	ConfigText     string          `json:",omitempty"`
	List           *model.HostList `json:",omitempty"`
}

// Revisions are the configuration and host list revisions that a host holds. A
// fetch returns what is newer; an announcement lets the receiver decide to fetch.
type Revisions struct {
	ConfigRevision model.Revision
	ListRevision   model.Revision
}

// DisplaceRequest asks a peer to refuse a waiting request of a service that is less
// urgent than Tier.
type DisplaceRequest struct {
	Service string
	Tier    model.Tier
}

// Handler handles messages from peers. Each connection calls the methods from a
// single goroutine.
type Handler interface {
	// IsListed reports whether a peer is on the platform's list.
	IsListed(peer netip.AddrPort) bool
	ReceiveFromHolder(peer netip.AddrPort, m permit.FromHolder)
	ReceiveFromManager(peer netip.AddrPort, m permit.FromManager)
	// Exchange merges a peer's state and returns this host's.
	Exchange(ctx context.Context, x member.Exchange) (member.Exchange, error)
	// Fetch returns what is newer than the given revisions.
	Fetch(ctx context.Context, have Revisions) (PublishedState, error)
	// RevisionsAnnounced is called when a peer announces the revisions that it holds.
	RevisionsAnnounced(peer netip.AddrPort, r Revisions)
	Displace(r DisplaceRequest)
	// MessagesLost is called when messages to a peer may not have been delivered.
	MessagesLost(peer netip.AddrPort)
}

// Logger writes structured log events, one per line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Settings are the parameters of New.
type Settings struct {
	Self     netip.AddrPort
	Listener net.Listener
	Dial     mesh.Dial // nil for plain TCP from Self's address
	Counters mesh.Counters
	Log      Logger
	Limits   intake.Limits // of connections and messages of peers
}

// Peers sends messages to the peers of one host and dispatches received ones to a
// Handler.
type Peers struct {
	mesh    *mesh.Mesh
	handler Handler
	log     Logger
}

// New starts accepting connections and returns the Peers with its cleanup function.
func New(ctx context.Context, s Settings, h Handler) (*Peers, func()) {
	p := &Peers{handler: h, log: s.Log}
	m, cleanup := mesh.New(ctx, mesh.Settings{
		Self: s.Self, Listener: s.Listener, Counters: s.Counters, Dial: s.Dial, Authorize: p.authorize, HandleCall: p.handleCall, Limits: s.Limits,
	}, meshHandler{p})
	p.mesh = m
	return p, cleanup
}

// authorize accepts a peer that is on the platform's list and connects from its own
// address.
func (p *Peers) authorize(from netip.AddrPort, remote netip.Addr) error {
	if from.Addr().Unmap() != remote {
		return errors.Errorf("peer %s connected from %s", from, remote)
	}
	if !p.handler.IsListed(from) {
		return errors.Errorf("peer %s is not listed", from)
	}
	return nil
}

// meshHandler implements mesh.Handler.
type meshHandler struct{ peers *Peers }

// MessagesLost implements mesh.Handler.
func (h meshHandler) MessagesLost(host netip.AddrPort) { h.peers.handler.MessagesLost(host) }

// Receive implements mesh.Handler.
func (h meshHandler) Receive(from netip.AddrPort, method string, params json.RawMessage) {
	if err := h.peers.handleMessage(from, method, params); err != nil {
		h.peers.log.Event("warn", "cannot decode message from peer", "Peer", from, "Method", method, "Error", err)
	}
}

func (p *Peers) handleMessage(from netip.AddrPort, method string, params json.RawMessage) error {
	h := p.handler
	switch method {
	case methodHolder:
		return dispatch(params, func(m permit.FromHolder) { h.ReceiveFromHolder(from, m) })
	case methodManager:
		return dispatch(params, func(m permit.FromManager) { h.ReceiveFromManager(from, m) })
	case methodFresh:
		return dispatch(params, func(r Revisions) { h.RevisionsAnnounced(from, r) })
	case methodDisplace:
		return dispatch(params, h.Displace)
	}
	return errors.Errorf("unknown method %q", method)
}

// dispatch decodes a message and passes it to handler.
func dispatch[T any](params json.RawMessage, handler func(T)) error {
	m, err := decode[T](params)
	if err == nil {
		handler(m)
	}
	return err
}

// handleCall decodes a call and returns the handler's reply.
func (p *Peers) handleCall(ctx context.Context, from netip.AddrPort, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodExchange:
		x, err := decode[member.Exchange](params)
		if err != nil || x.From != from {
			return nil, errors.Errorf("exchange from peer %s names sender %s: %v", from, x.From, err)
		}
		return p.handler.Exchange(ctx, x)
	case methodFetch:
		have, err := decode[Revisions](params)
		if err != nil {
			return nil, err
		}
		return p.handler.Fetch(ctx, have)
	}
	return nil, errors.Errorf("unknown method %q", method)
}

// decode decodes the parameters of a message or call.
func decode[T any](params json.RawMessage) (T, error) {
	var m T
	if params == nil {
		return m, errors.New("missing parameters")
	}
	err := json.Unmarshal(params, &m)
	return m, errors.Wrap(err, "decode message")
}

// Holder sends a permit holder's message to a manager.
func (p *Peers) Holder(to netip.AddrPort, msg permit.FromHolder) { p.mesh.Send(to, methodHolder, msg) }

// Manager sends a permit manager's message to a holder.
func (p *Peers) Manager(to netip.AddrPort, msg permit.FromManager) {
	p.mesh.Send(to, methodManager, msg)
}

// Fresh announces to a peer the revisions that this host holds.
func (p *Peers) Fresh(to netip.AddrPort, r Revisions) { p.mesh.Send(to, methodFresh, r) }

// Displace asks a peer to refuse a less urgent waiting request, to make room for a
// more urgent one.
func (p *Peers) Displace(to netip.AddrPort, r DisplaceRequest) { p.mesh.Send(to, methodDisplace, r) }

// Exchange sends this host's state to a peer and returns the peer's.
func (p *Peers) Exchange(ctx context.Context, to netip.AddrPort, x member.Exchange) (member.Exchange, error) {
	var reply member.Exchange
	if err := p.mesh.Call(ctx, to, methodExchange, x, &reply); err != nil {
		return member.Exchange{}, err // after a timeout, reply may still be written to
	}
	return reply, nil
}

// Fetch returns what a peer holds that is newer than the given revisions.
func (p *Peers) Fetch(ctx context.Context, to netip.AddrPort, have Revisions) (PublishedState, error) {
	var reply PublishedState
	if err := p.mesh.Call(ctx, to, methodFetch, have, &reply); err != nil {
		return PublishedState{}, err // after a timeout, reply may still be written to
	}
	return reply, nil
}
