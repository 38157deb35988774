// Package view provides the immutable snapshot that a host bases its decisions on:
// the operators' catalog, the platform's host list, and which peers are alive.
// Every change creates a new snapshot; readers keep using the one they hold.
package view

import (
	"net/netip"

	"yuccadoor/core/conf"
	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

// View is a snapshot. Its fields must not be modified.
type View struct {
	Self    netip.AddrPort // this host's address for its peers
	Zone    string         // this host's availability zone
	Catalog *conf.Catalog
	List    *model.HostList

	alive        map[netip.AddrPort]bool
	managers     map[netip.AddrPort]netip.AddrPort // by target
	targets      map[netip.AddrPort]model.Target
	services     map[string][]UsableTarget // by service name
	reachability map[string]Reachability   // by availability zone
}

// Reachability tells how many of a zone's entry hosts this host can reach.
type Reachability struct {
	Alive  int // those of the Listed hosts that are alive, including this one
	Listed int // hosts of the zone that the platform lists in state Live
}

// UsableTarget is a target that may be given new work, with its place.HashAddr.
type UsableTarget struct {
	Target model.Target
	Hash   uint64
}

// New builds a snapshot. alive holds the peers heard from recently; this host
// always counts as alive.
func New(self netip.AddrPort, zone string, c *conf.Catalog, l *model.HostList, alive map[netip.AddrPort]bool) *View {
	v := &View{
		Self: self, Zone: zone, Catalog: c, List: l, alive: alive,
		managers:     map[netip.AddrPort]netip.AddrPort{},
		targets:      map[netip.AddrPort]model.Target{},
		services:     map[string][]UsableTarget{},
		reachability: map[string]Reachability{},
	}
	byZone, all := v.liveHosts()
	for _, t := range l.Targets {
		v.addTarget(t, byZone, all)
	}
	return v
}

// liveHosts returns the hosts in state Live that are alive, by zone and in total,
// and records the reachability of each zone.
func (v *View) liveHosts() (byZone map[string][]netip.AddrPort, all []netip.AddrPort) {
	byZone = map[string][]netip.AddrPort{}
	for _, h := range v.List.Hosts {
		if h.State != model.Live {
			continue
		}
		r := v.reachability[h.Zone]
		r.Listed++
		if v.Alive(h.Peer) {
			r.Alive++
			byZone[h.Zone] = append(byZone[h.Zone], h.Peer)
			all = append(all, h.Peer)
		}
		v.reachability[h.Zone] = r
	}
	return byZone, all
}

// addTarget indexes a target and assigns its manager: a live host of the target's
// zone, or any live host if no host of that zone is listed.
func (v *View) addTarget(t model.Target, byZone map[string][]netip.AddrPort, all []netip.AddrPort) {
	v.targets[t.Address] = t
	candidates := byZone[t.Zone]
	if v.reachability[t.Zone].Listed == 0 {
		candidates = all
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

// Alive reports whether a peer has been heard from recently.
func (v *View) Alive(peer netip.AddrPort) bool {
	return peer == v.Self || v.alive[peer]
}

// ManagerOf returns the host that grants permits for a target; false if no host
// does.
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

// Target returns the listed target with the given address.
func (v *View) Target(address netip.AddrPort) (model.Target, bool) {
	t, ok := v.targets[address]
	return t, ok
}

// UsableTargets lists the targets of a service that may be given new work.
func (v *View) UsableTargets(service string) []UsableTarget { return v.services[service] }

// AlivePeers lists the other listed hosts that are alive, including those in state
// Leaving.
func (v *View) AlivePeers() []netip.AddrPort {
	var peers []netip.AddrPort
	for _, h := range v.List.Hosts {
		if h.Peer != v.Self && v.Alive(h.Peer) {
			peers = append(peers, h.Peer)
		}
	}
	return peers
}

// ScaleSlots scales a target's slots by the fraction of the listed hosts of its zone
// that this host can reach. While some hosts are unreachable, another manager may
// be granting permits for the same target, and the managers' limits together must
// not exceed the target's slots.
func (v *View) ScaleSlots(target netip.AddrPort, slots int) int {
	t, ok := v.targets[target]
	if !ok {
		return 0
	}
	r := v.reachability[t.Zone]
	if r.Listed == 0 {
		r = v.totalReachability()
	}
	if r.Listed == 0 {
		return 0
	}
	return slots * r.Alive / r.Listed
}

// totalReachability is the reachability of the hosts of all zones.
func (v *View) totalReachability() Reachability {
	var sum Reachability
	for _, r := range v.reachability {
		sum.Alive += r.Alive
		sum.Listed += r.Listed
	}
	return sum
}

// UnavailableService returns the first service without usable targets among the
// given one and its transitive dependencies; empty if all of them have some.
func (v *View) UnavailableService(service string) string {
	visited := map[string]bool{}
	queue := []string{service}
	for len(queue) > 0 {
		name := queue[0]
		queue = queue[1:]
		if visited[name] {
			continue
		}
		visited[name] = true
		if len(v.services[name]) == 0 {
			return name
		}
		queue = append(queue, v.Catalog.Services[name].DependsOn...)
	}
	return ""
}
