// Package peers is what entry hosts of the product's own interface say to each
// other, in types; io/mesh carries it. Only hosts that the platform lists are let
// in, from their own addresses.
package peers

import (
	"context"
	"encoding/json"
	"net"
	"net/netip"

	"github.com/pkg/errors"

	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/io/mesh"
)

// Methods between peers.
const (
	methodHolder   = "Holder"
	methodManager  = "Manager"
	methodExchange = "Exchange"
	methodFetch    = "Fetch"
	methodFresh    = "Fresh"
	methodDisplace = "Displace"
)

// PublishedState is a published text as one host passes it to another.
type PublishedState struct {
	ConfigRevision model.Revision
	ConfigText     string          `json:",omitempty"`
	List           *model.HostList `json:",omitempty"`
}

// Revisions asks for what is newer than the given revisions.
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

// Handler takes in what peers send. Its methods are called from one goroutine
// a connection.
type Handler interface {
	// IsListed reports whether a peer is on the platform's list.
	IsListed(peer netip.AddrPort) bool
	FromHolder(peer netip.AddrPort, m permit.FromHolder)
	FromManager(peer netip.AddrPort, m permit.FromManager)
	// Exchange takes in a peer's state and gives this host's.
	Exchange(ctx context.Context, x member.Exchange) (member.Exchange, error)
	Fetch(ctx context.Context, f Revisions) (PublishedState, error)
	// RevisionsAnnounced tells that a peer has a newer text.
	RevisionsAnnounced(peer netip.AddrPort, f Revisions)
	Displace(d DisplaceRequest)
	// Lost tells that messages to a peer may not have arrived.
	Lost(peer netip.AddrPort)
}

// Logger takes one event a line.
type Logger interface {
	Event(level, message string, fields ...any)
}

// Settings are what the peers' side needs.
type Settings struct {
	Self     netip.AddrPort
	Listener net.Listener
	Dial     mesh.Dial // nil for plain TCP from Self's address
	Counters mesh.Counters
	Log      Logger
}

// Peers sends to the peers of one host, and hands over what they send.
type Peers struct {
	mesh    *mesh.Mesh
	handler Handler
	log     Logger
}

// New starts accepting and returns the peers' side with its clean-up function.
func New(ctx context.Context, s Settings, h Handler) (*Peers, func()) {
	p := &Peers{handler: h, log: s.Log}
	m, cleanup := mesh.New(ctx, mesh.Settings{
		Self: s.Self, Listener: s.Listener, Counters: s.Counters, Dial: s.Dial, Authorize: p.greet, HandleCall: p.answer,
	}, receiver{p})
	p.mesh = m
	return p, cleanup
}

// greet lets a caller in that the platform lists at the address it calls from.
func (p *Peers) greet(from netip.AddrPort, remote netip.Addr) error {
	if from.Addr().Unmap() != remote {
		return errors.Errorf("peer %s calls from %s", from, remote)
	}
	if !p.handler.IsListed(from) {
		return errors.Errorf("peer %s is not listed", from)
	}
	return nil
}

// receiver takes in the mesh's messages.
type receiver struct{ peers *Peers }

// Lost implements mesh.Handler.
func (r receiver) Lost(host netip.AddrPort) { r.peers.handler.Lost(host) }

// Receive implements mesh.Handler.
func (r receiver) Receive(from netip.AddrPort, method string, params json.RawMessage) {
	if err := r.peers.receive(from, method, params); err != nil {
		r.peers.log.Event("warn", "message from peer not understood", "Peer", from, "Method", method, "Error", err)
	}
}

func (p *Peers) receive(from netip.AddrPort, method string, params json.RawMessage) error {
	h := p.handler
	switch method {
	case methodHolder:
		return handle(params, func(m permit.FromHolder) { h.FromHolder(from, m) })
	case methodManager:
		return handle(params, func(m permit.FromManager) { h.FromManager(from, m) })
	case methodFresh:
		return handle(params, func(f Revisions) { h.RevisionsAnnounced(from, f) })
	case methodDisplace:
		return handle(params, h.Displace)
	}
	return errors.Errorf("unknown method %s", method)
}

// handle hands a message over once it is decoded.
func handle[T any](params json.RawMessage, to func(T)) error {
	m, err := decode[T](params)
	if err == nil {
		to(m)
	}
	return err
}

func (p *Peers) answer(ctx context.Context, from netip.AddrPort, method string, params json.RawMessage) (any, error) {
	switch method {
	case methodExchange:
		x, err := decode[member.Exchange](params)
		if err != nil || x.From != from {
			return nil, errors.Errorf("exchange from %s as %s: %v", from, x.From, err)
		}
		return p.handler.Exchange(ctx, x)
	case methodFetch:
		f, err := decode[Revisions](params)
		if err != nil {
			return nil, err
		}
		return p.handler.Fetch(ctx, f)
	}
	return nil, errors.Errorf("unknown method %s", method)
}

// decode reads one message.
func decode[T any](params json.RawMessage) (T, error) {
	var m T
	if params == nil {
		return m, errors.New("no parameters")
	}
	err := json.Unmarshal(params, &m)
	return m, errors.Wrap(err, "decode message")
}

// Holder sends a holder's message to a manager.
func (p *Peers) Holder(to netip.AddrPort, msg permit.FromHolder) { p.mesh.Send(to, methodHolder, msg) }

// Manager sends a manager's message to a holder.
func (p *Peers) Manager(to netip.AddrPort, msg permit.FromManager) {
	p.mesh.Send(to, methodManager, msg)
}

// Fresh tells a peer that this host has newer texts.
func (p *Peers) Fresh(to netip.AddrPort, f Revisions) { p.mesh.Send(to, methodFresh, f) }

// Displace asks a peer to refuse a less urgent waiting request.
func (p *Peers) Displace(to netip.AddrPort, d DisplaceRequest) { p.mesh.Send(to, methodDisplace, d) }

// Exchange trades states with a peer.
func (p *Peers) Exchange(ctx context.Context, to netip.AddrPort, x member.Exchange) (member.Exchange, error) {
	var reply member.Exchange
	if err := p.mesh.Call(ctx, to, methodExchange, x, &reply); err != nil {
		return member.Exchange{}, err // the reply may still be written
	}
	return reply, nil
}

// Fetch reads newer texts from a peer.
func (p *Peers) Fetch(ctx context.Context, to netip.AddrPort, f Revisions) (PublishedState, error) {
	var reply PublishedState
	if err := p.mesh.Call(ctx, to, methodFetch, f, &reply); err != nil {
		return PublishedState{}, err // the reply may still be written
	}
	return reply, nil
}
