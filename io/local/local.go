// Package local runs a complete system on loopback in one process: fakes of the
// platform and of the targets, and the entry hosts in front of them. The demo and
// the tests use it.
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

// Services, model, non-idempotent route and API key of every local system.
const (
	EngineService     = "lm"
	EngineModel       = "lm-1"
	PlainService      = "orders"
	NonIdempotentCall = "POST /rolls"
	WorkspaceKey      = "desk-key"
)

const (
	defaultMaxWaiting = 10_000
	maxConns          = 20_000
	readyPollInterval = 10 * time.Millisecond
)

// Options configure a local system.
type Options struct {
	Zones         []string // availability zones; hosts and targets are assigned round-robin
	Hosts         int
	Engines       int
	Plains        int
	Engine        fakes.Settings
	Plain         fakes.Settings
	ListLag       time.Duration
	Deadline      time.Duration // deadline of requests to both services; 0 for the default
	Silence       time.Duration // longest wait for progress on a running response; 0 for the default
	Policy        string
	LogTo         io.Writer
	LogLevel      string
	Notice        time.Duration                 // time that a stopping host still accepts requests
	MaxWaiting    int                           // queued requests per host; 0 means 10,000
	ConfigureHost func(i int, o *entry.Options) // adjusts the options of host i; may be nil
}

// System is a running local system. Publish applies changes of ListedHosts and
// Targets.
type System struct {
	Options     Options
	Platform    *fakes.Platform
	Engines     []*fakes.Engine
	Plains      []*fakes.Plain
	Hosts       []*entry.Host
	ListedHosts []model.Host
	Targets     []model.Target

	settings []entry.Settings
	cleanups []func()
	stops    []func() // by host; nil while the host is stopped
}

// New starts a system and returns it with its cleanup function.
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
	addresses, err := FreeAddresses(1 + s.Options.Engines + s.Options.Plains + 3*s.Options.Hosts)
	if err != nil {
		return err
	}
	nextAddress := func() netip.AddrPort {
		a := addresses[0]
		addresses = addresses[1:]
		return a
	}
	platformAddress := nextAddress()
	platform, cleanup, err := fakes.NewPlatform(platformAddress, s.Options.ListLag)
	if err != nil {
		return err
	}
	s.Platform = platform
	s.cleanups = append(s.cleanups, cleanup)
	if err := s.startTargets(nextAddress); err != nil {
		return err
	}
	for i := range s.Options.Hosts {
		s.addHost(i, platformAddress, nextAddress)
	}
	s.Platform.SetConfig(s.ConfigText(nil))
	s.Publish()
	for i := range s.Options.Hosts {
		if err := s.StartHost(ctx, i); err != nil {
			return err
		}
	}
	return nil
}

// zone returns the availability zone of host or target i.
func (s *System) zone(i int) string { return s.Options.Zones[i%len(s.Options.Zones)] }

func (s *System) startTargets(nextAddress func() netip.AddrPort) error {
	for i := range s.Options.Engines {
		address := nextAddress()
		e, cleanup, err := fakes.NewEngine(address, s.Options.Engine)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, cleanup)
		s.Engines = append(s.Engines, e)
		s.Targets = append(s.Targets, model.Target{Address: address, Service: EngineService, Zone: s.zone(i), State: model.Live})
	}
	for i := range s.Options.Plains {
		address := nextAddress()
		p, cleanup, err := fakes.NewPlain(address, s.Options.Plain)
		if err != nil {
			return err
		}
		s.cleanups = append(s.cleanups, cleanup)
		s.Plains = append(s.Plains, p)
		s.Targets = append(s.Targets, model.Target{Address: address, Service: PlainService, Zone: s.zone(i), State: model.Live})
	}
	return nil
}

// addHost adds host i to the host list and prepares its settings.
func (s *System) addHost(i int, platform netip.AddrPort, nextAddress func() netip.AddrPort) {
	h := model.Host{Front: nextAddress(), Peer: nextAddress(), Zone: s.zone(i), State: model.Live}
	s.ListedHosts = append(s.ListedHosts, h)
	s.Hosts = append(s.Hosts, nil)
	s.stops = append(s.stops, nil)
	s.settings = append(s.settings, entry.Settings{
		Front: h.Front.String(), Peer: h.Peer.String(), Admin: nextAddress().String(), Zone: h.Zone,
		Config: platform.String(), Hosts: platform.String(), Policy: s.Options.Policy,
		LogLevel: s.Options.LogLevel, MaxWaiting: cmp.Or(s.Options.MaxWaiting, defaultMaxWaiting), MaxConns: maxConns, Notice: s.Options.Notice, Grace: time.Minute,
	})
}

// StartHost starts host i, also after StopHost.
func (s *System) StartHost(ctx context.Context, i int) error {
	o := entry.Options{LogWriter: s.Options.LogTo}
	if s.Options.ConfigureHost != nil {
		s.Options.ConfigureHost(i, &o)
	}
	h, stop, err := entry.New(ctx, s.settings[i], o)
	if err != nil {
		return errors.Wrapf(err, "start host %d", i)
	}
	s.Hosts[i], s.stops[i] = h, stop
	return nil
}

// StopHost stops host i immediately, without the graceful stop, to simulate a crash.
func (s *System) StopHost(i int) {
	s.stops[i]()
	s.stops[i] = nil
}

// AdminAddress returns the address of the admin listener of host i.
func (s *System) AdminAddress(i int) string { return s.settings[i].Admin }

// FrontAddresses returns the client-facing addresses of all hosts.
func (s *System) FrontAddresses() []netip.AddrPort {
	var fronts []netip.AddrPort
	for _, h := range s.ListedHosts {
		fronts = append(fronts, h.Front)
	}
	return fronts
}

// Publish publishes ListedHosts and Targets as the platform's next host list.
func (s *System) Publish() {
	s.Platform.SetHosts(append([]model.Host(nil), s.ListedHosts...), append([]model.Target(nil), s.Targets...))
}

// WaitReady waits until every running host is ready and reports all other running
// hosts as alive.
func (s *System) WaitReady(ctx context.Context) error {
	for !s.ready() {
		select {
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for the hosts to be ready")
		case <-time.After(readyPollInterval):
		}
	}
	return nil
}

func (s *System) ready() bool {
	running := 0
	for _, stop := range s.stops {
		if stop != nil {
			running++
		}
	}
	for i, h := range s.Hosts {
		if s.stops[i] == nil {
			continue
		}
		status := h.Status()
		if !status.Ready || len(status.PeersAlive) != running-1 {
			return false
		}
	}
	return true
}

// ConfigText returns the configuration of the system, with the given zones taken
// out of service.
func (s *System) ConfigText(zonesOut []string) string {
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
	digest := sha256.Sum256([]byte(WorkspaceKey))
	o := s.Options
	fmt.Fprintf(&b, "Services:\n")
	fmt.Fprintf(&b, "  - Name: %s\n    Kind: ModelEngine\n    Models: [%s]\n", EngineService, EngineModel)
	s.writeLimits(&b, o.Engine)
	fmt.Fprintf(&b, "  - Name: %s\n    Kind: Plain\n    NonIdempotent: [%s]\n", PlainService, NonIdempotentCall)
	s.writeLimits(&b, o.Plain)
	fmt.Fprintf(&b, "Workspaces:\n  - {Name: desk, KeyDigest: %s, Tiers: [Order, Live, Draft], Share: 1}\n", hex.EncodeToString(digest[:]))
	return b.String()
}

// writeLimits writes the part of a service's configuration that depends on the
// settings of its targets.
func (s *System) writeLimits(b *strings.Builder, t fakes.Settings) {
	fmt.Fprintf(b, "    Cold: {Slots: %d, Results: %d}\n    Warm: {Slots: %d}\n", max(t.ColdSlots, 1), max(t.WarmAfter, 1), max(t.WarmSlots, 1))
	fmt.Fprintf(b, "    Objective: {FirstToken: 360ms, BetweenTokens: 33ms, Share: 0.95}\n")
	if d := s.Options.Deadline; d > 0 {
		fmt.Fprintf(b, "    Deadline: %s\n", d)
	}
	if d := s.Options.Silence; d > 0 {
		fmt.Fprintf(b, "    Silence: %s\n", d)
	}
}

// FreeAddresses returns n distinct loopback addresses that no process listens on.
func FreeAddresses(n int) ([]netip.AddrPort, error) {
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
