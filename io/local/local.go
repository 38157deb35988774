// Package local brings up a whole system on loopback in one process: stand-ins
// for the platform and the targets, and entry hosts before them. The demo and
// the tests run on it.
package local

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/netip"
	"strings"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/io/entry"
	"yuccadoor/io/fakes"
)

// Names of the services and of the key that every local system has.
const (
	EngineService  = "lm"
	EngineModel    = "lm-1"
	PlainService   = "orders"
	OnceCall       = "POST /rolls"
	Key            = "desk-key"
	defaultWaiting = 10_000
	readyPoll      = 10 * time.Millisecond
)

// Options size a local system.
type Options struct {
	Zones    []string // availability zones; hosts and targets take them in turn
	Hosts    int
	Engines  int
	Plains   int
	Engine   fakes.Settings
	Plain    fakes.Settings
	ListLag  time.Duration
	Deadline time.Duration // of both services
	Silence  time.Duration // of both services
	Policy   string
	LogTo    io.Writer
	LogLevel string
	Notice   time.Duration                 // of a graceful stop
	Waiting  int                           // requests that may wait on a host; 0 for 10,000
	Host     func(i int, o *entry.Options) // changes one host's parts; may be nil
}

// System is a running local system.
type System struct {
	Options  Options
	Platform *fakes.Platform
	Engines  []*fakes.Engine
	Plains   []*fakes.Plain
	Hosts    []*entry.Host
	Listed   []model.Host
	Targets  []model.Target

	settings []entry.Settings
	cleanups []func()
	stops    []func() // of the hosts, nil once stopped
}

// New starts a system and returns it with its clean-up function.
func New(ctx context.Context, o Options) (*System, func(), error) {
	s := &System{Options: o}
	if err := s.start(ctx); err != nil {
		s.close()
		return nil, nil, err
	}
	return s, s.close, nil
}

func (s *System) close() {
	for _, stop := range s.stops {
		if stop != nil {
			stop()
		}
	}
	for i := len(s.cleanups) - 1; i >= 0; i-- {
		s.cleanups[i]()
	}
}

func (s *System) start(ctx context.Context) error {
	addresses, err := Free(1 + s.Options.Engines + s.Options.Plains + 3*s.Options.Hosts)
	if err != nil {
		return err
	}
	take := func() netip.AddrPort {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	platform := take()
	p, cleanup, err := fakes.NewPlatform(platform, s.Options.ListLag)
	if err != nil {
		return err
	}
	s.Platform = p
	s.cleanups = append(s.cleanups, cleanup)
	if err := s.startTargets(take); err != nil {
		return err
	}
	for i := range s.Options.Hosts {
		s.describe(i, platform, take)
	}
	s.Platform.SetConfig(s.Text(nil))
	s.Publish()
	for i := range s.Options.Hosts {
		if err := s.StartHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *System) zone(i int) string { return s.Options.Zones[i%len(s.Options.Zones)] }

func (s *System) startTargets(take func() netip.AddrPort) error {
	for i := range s.Options.Engines {
		at := take()
		e, cleanup, err := fakes.NewEngine(at, s.Options.Engine)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, cleanup)
		s.Engines = append(s.Engines, e)
		s.Targets = append(s.Targets, model.Target{Address: at, Service: EngineService, Zone: s.zone(i), State: model.Live})
	}
	for i := range s.Options.Plains {
		at := take()
		p, cleanup, err := fakes.NewPlain(at, s.Options.Plain)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, cleanup)
		s.Plains = append(s.Plains, p)
		s.Targets = append(s.Targets, model.Target{Address: at, Service: PlainService, Zone: s.zone(i), State: model.Live})
	}
	return nil
}

func (s *System) describe(i int, platform netip.AddrPort, take func() netip.AddrPort) {
	h := model.Host{Front: take(), Peer: take(), Zone: s.zone(i), State: model.Live}
	s.Listed = append(s.Listed, h)
	s.Hosts = append(s.Hosts, nil)
	s.stops = append(s.stops, nil)
	s.settings = append(s.settings, entry.Settings{
		Front: h.Front.String(), Peer: h.Peer.String(), Admin: take().String(), Zone: h.Zone,
		Config: platform.String(), Hosts: platform.String(), Policy: s.Options.Policy,
		LogLevel: s.Options.LogLevel, MaxWaiting: cmp.Or(s.Options.Waiting, defaultWaiting), MaxConns: 20000, Notice: s.Options.Notice, Grace: time.Minute,
	})
}

// StartHost starts a host, or starts it anew after StopHost.
func (s *System) StartHost(ctx context.Context, i int) error {
	o := entry.Options{LogWriter: s.Options.LogTo}
	if s.Options.Host != nil {
		s.Options.Host(i, &o)
	}
	h, stop, err := entry.New(ctx, s.settings[i], o)
	if err != nil {
		return errors.Wrapf(err, "start host %d", i)
	}
	s.Hosts[i], s.stops[i] = h, stop
	return nil
}

// StopHost ends a host at once, as a crash would.
func (s *System) StopHost(i int) {
	s.stops[i]()
	s.stops[i] = nil
}

// Admin is the address of a host's operators' listener.
func (s *System) Admin(i int) string { return s.settings[i].Admin }

// Fronts are the addresses of all hosts towards callers.
func (s *System) Fronts() []netip.AddrPort {
	var fronts []netip.AddrPort
	for _, h := range s.Listed {
		fronts = append(fronts, h.Front)
	}
	return fronts
}

// Publish lets the platform list the hosts and targets as they stand in Listed
// and Targets.
func (s *System) Publish() {
	s.Platform.SetHosts(append([]model.Host(nil), s.Listed...), append([]model.Target(nil), s.Targets...))
}

// WaitReady waits until every running host is ready and sees every other.
func (s *System) WaitReady(ctx context.Context) error {
	for !s.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the hosts to be ready")
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (s *System) ready() bool {
	up := 0
	for _, stop := range s.stops {
		if stop != nil {
			up++
		}
	}
	for i, h := range s.Hosts {
		if s.stops[i] == nil {
			continue
		}
		st := h.Status()
		if !st.Ready || len(st.PeersAlive) != up-1 {
			return false
		}
	}
	return true
}

// Text is the operators' text of the system, with the given zones taken out.
func (s *System) Text(zonesOut []string) string {
	var b strings.Builder
	b.WriteString("Tiers: [{Name: Order}, {Name: Live}, {Name: Draft}]\nZones:\n")
	for _, z := range s.Options.Zones {
		state := "In"
		for _, out := range zonesOut {
			if out == z {
				state = "Out"
			}
		}
		fmt.Fprintf(&b, "  - {Name: %s, State: %s}\n", z, state)
	}
	digest := sha256.Sum256([]byte(Key))
	o := s.Options
	fmt.Fprintf(&b, "Services:\n")
	fmt.Fprintf(&b, "  - Name: %s\n    Kind: ModelEngine\n    Models: [%s]\n", EngineService, EngineModel)
	s.limits(&b, o.Engine)
	fmt.Fprintf(&b, "  - Name: %s\n    Kind: Plain\n    NonIdempotent: [%s]\n", PlainService, OnceCall)
	s.limits(&b, o.Plain)
	fmt.Fprintf(&b, "Workspaces:\n  - {Name: desk, KeyDigest: %s, Tiers: [Order, Live, Draft], Share: 1}\n", hex.EncodeToString(digest[:]))
	return b.String()
}

func (s *System) limits(b *strings.Builder, t fakes.Settings) {
	fmt.Fprintf(b, "    Cold: {Slots: %d, Results: %d}\n    Warm: {Slots: %d}\n", max(t.Cold, 1), max(t.WarmAfter, 1), max(t.Warm, 1))
	fmt.Fprintf(b, "    Objective: {FirstToken: 360ms, BetweenTokens: 33ms, Share: 0.95}\n")
	if d := s.Options.Deadline; d > 0 {
		fmt.Fprintf(b, "    Deadline: %s\n", d)
	}
	if d := s.Options.Silence; d > 0 {
		fmt.Fprintf(b, "    Silence: %s\n", d)
	}
}

// Free finds loopback addresses that nothing listens on.
func Free(n int) ([]netip.AddrPort, error) {
	var found []netip.AddrPort
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free address")
		}
		open = append(open, l)
		found = append(found, netip.MustParseAddrPort(l.Addr().String()))
	}
	return found, nil
}
