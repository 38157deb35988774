// Package view is the immutable snapshot on which a host decides: the
// operators' catalog, the platform's list, and which peers are alive. A change
// makes a new snapshot; a reader keeps the one it has.
package view

import (
	"net/netip"

	"yuccadoor/core/conf"
	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

// View is one snapshot. Its fields are read-only.
type View struct {
	Self    netip.AddrPort // this host's address towards peers
	Zone    string         // this host's availability zone
	Catalog *conf.Catalog
	List    *model.HostList

	alive    map[netip.AddrPort]bool
	managers map[netip.AddrPort]netip.AddrPort // by target
	targets  map[netip.AddrPort]model.Target
	services map[string][]UsableTarget // usable targets by service
	shares   map[string]Reachability   // by availability zone
}

// Reachability is how much of a zone's entry hosts this host can reach.
type Reachability struct {
	Alive  int // listed hosts of the zone heard from, this one included
	Listed int // hosts of the zone that the platform lists as live
}

// UsableTarget is a target that may be given new work, with its number for placing.
type UsableTarget struct {
	Target model.Target
	Hash   uint64
}

// New builds a snapshot. alive holds the peers heard from lately; this host
// always counts as alive.
func New(self netip.AddrPort, zone string, c *conf.Catalog, l *model.HostList, alive map[netip.AddrPort]bool) *View {
	v := &View{
		Self: self, Zone: zone, Catalog: c, List: l, alive: alive,
		managers: map[netip.AddrPort]netip.AddrPort{},
		targets:  map[netip.AddrPort]model.Target{},
		services: map[string][]UsableTarget{},
		shares:   map[string]Reachability{},
	}
	candidates, everyone := v.candidates()
	for _, t := range l.Targets {
		v.target(t, candidates, everyone)
	}
	return v
}

// candidates lists the hosts alive by zone, and counts the zones' shares.
func (v *View) candidates() (byZone map[string][]netip.AddrPort, everyone []netip.AddrPort) {
	byZone = map[string][]netip.AddrPort{}
	for _, h := range v.List.Hosts {
		if h.State != model.Live {
			continue
		}
		s := v.shares[h.Zone]
		s.Listed++
		if v.Alive(h.Peer) {
			s.Alive++
			byZone[h.Zone] = append(byZone[h.Zone], h.Peer)
			everyone = append(everyone, h.Peer)
		}
		v.shares[h.Zone] = s
	}
	return byZone, everyone
}

func (v *View) target(t model.Target, byZone map[string][]netip.AddrPort, everyone []netip.AddrPort) {
	v.targets[t.Address] = t
	candidates := byZone[t.Zone]
	if v.shares[t.Zone].Listed == 0 {
		candidates = everyone
	}
	if m, ok := place.Owner(place.HashAddr(t.Address), candidates); ok {
		v.managers[t.Address] = m
	}
	if v.usable(t) {
		v.services[t.Service] = append(v.services[t.Service], UsableTarget{Target: t, Hash: place.HashAddr(t.Address)})
	}
}

func (v *View) usable(t model.Target) bool {
	if v.Catalog == nil || v.Catalog.ZoneOut(t.Zone) {
		return false
	}
	return t.State == model.Live && v.Catalog.Services[t.Service] != nil
}

// Alive reports whether a peer has been heard from lately.
func (v *View) Alive(peer netip.AddrPort) bool {
	return peer == v.Self || v.alive[peer]
}

// ManagerOf returns the host that grants permits for a target.
func (v *View) ManagerOf(target netip.AddrPort) (netip.AddrPort, bool) {
	m, ok := v.managers[target]
	return m, ok
}

// ManagedTargets lists the targets that this host manages.
func (v *View) ManagedTargets() []model.Target {
	var managed []model.Target
	for _, t := range v.List.Targets {
		if v.managers[t.Address] == v.Self {
			managed = append(managed, t)
		}
	}
	return managed
}

// Usable reports whether a target may be given new work.
func (v *View) Usable(target netip.AddrPort) bool {
	t, ok := v.targets[target]
	return ok && v.usable(t)
}

// Target returns a listed target.
func (v *View) Target(address netip.AddrPort) (model.Target, bool) {
	t, ok := v.targets[address]
	return t, ok
}

// UsableTargets lists a service's targets that may be given new work.
func (v *View) UsableTargets(service string) []UsableTarget { return v.services[service] }

// AlivePeers lists the other listed hosts heard from lately, leaving ones
// included.
func (v *View) AlivePeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, h := range v.List.Hosts {
		if h.Peer != v.Self && v.Alive(h.Peer) {
			peers = append(peers, h.Peer)
		}
	}
	return peers
}

// ScaleSlots reduces a target's limit to this host's part of its zone: while some
// listed hosts of the zone are out of reach, another manager may be granting
// for the same target, and the parts must not add up to more than the whole.
func (v *View) ScaleSlots(target netip.AddrPort, slots int) int {
	t, ok := v.targets[target]
	if !ok {
		return 0
	}
	s := v.shares[t.Zone]
	if s.Listed == 0 {
		s = v.fleet()
	}
	if s.Listed == 0 {
		return 0
	}
	return slots * s.Alive / s.Listed
}

// fleet adds up the shares of all zones.
func (v *View) fleet() Reachability {
	var sum Reachability
	for _, s := range v.shares {
		sum.Alive += s.Alive
		sum.Listed += s.Listed
	}
	return sum
}

// UnavailableService names the service without a target that keeps a service from
// working: itself or one that it depends on. It is empty when none does.
func (v *View) UnavailableService(service string) string {
	seen := map[string]bool{}
	next := []string{service}
	for len(next) > 0 {
		name := next[0]
		next = next[1:]
		if seen[name] {
			continue
		}
		seen[name] = true
		if len(v.services[name]) == 0 {
			return name
		}
		next = append(next, v.Catalog.Services[name].DependsOn...)
	}
	return ""
}
