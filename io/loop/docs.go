package loop

import (
	"context"
	"maps"
	"net/netip"
	"time"

	"yuccadoor/core/conf"
	"yuccadoor/core/member"
	"yuccadoor/core/model"
	"yuccadoor/core/permit"
	"yuccadoor/core/view"
	"yuccadoor/io/peers"
)

// freshFanout is how many peers are told at once of a newer text.
const freshFanout = 3

// AdoptConfig takes in the operators' text. A revision that is not above the one in
// force, or that was rejected, changes nothing.
func (l *Loop) AdoptConfig(ctx context.Context, revision model.Revision, text string) error {
	return l.do(ctx, func(now time.Time) { l.adoptConfig(now, revision, text) })
}

func (l *Loop) adoptConfig(now time.Time, revision model.Revision, text string) {
	if revision <= l.config.revision || revision <= l.config.rejected {
		return
	}
	catalog, err := conf.Parse("config", []byte(text), revision)
	if err != nil {
		l.config.rejected, l.config.findings = revision, err.Error()
		l.settings.Log.Event("error", "configuration rejected", "Revision", uint64(revision), "Findings", err.Error())
		return
	}
	l.config.revision, l.config.text, l.config.catalog = revision, text, catalog
	l.settings.Log.Event("info", "configuration in force", "Revision", uint64(revision))
	l.renew(now)
	l.spread(now)
}

// AdoptHostList takes in the platform's list, as read directly at the given time.
func (l *Loop) AdoptHostList(ctx context.Context, list *model.HostList, readAt time.Time) error {
	return l.do(ctx, func(now time.Time) {
		l.adoptList(now, list)
		if list.Revision >= l.list.Revision {
			l.keys.ConfirmList(readAt)
		}
	})
}

func (l *Loop) adoptList(now time.Time, list *model.HostList) {
	if list == nil || list.Revision <= l.list.Revision {
		return
	}
	l.list = list
	l.members.SetHostList(list)
	l.keys.SetHosts(now, list)
	l.settings.Log.Event("info", "host list adopted", "Revision", uint64(list.Revision), "Hosts", len(list.Hosts), "Targets", len(list.Targets))
	l.renew(now)
	l.spread(now)
}

// spread tells a few peers at once that this host has a newer text; each of
// them does the same when it has it.
func (l *Loop) spread(now time.Time) {
	if l.mesh == nil {
		return
	}
	for _, p := range l.members.RandomAlive(now, freshFanout) {
		l.mesh.Fresh(p, l.revisions())
	}
}

func (l *Loop) revisions() peers.Revisions {
	return peers.Revisions{ConfigRevision: l.config.revision, ListRevision: l.list.Revision}
}

// renew publishes a new snapshot and lets the decisions adopt it.
func (l *Loop) renew(now time.Time) {
	if l.list.Revision == 0 || l.mesh == nil {
		return
	}
	v := view.New(l.settings.Self, l.settings.Zone, l.config.catalog, l.list, l.alive)
	l.view.Store(v)
	l.manager.Adopt(now, v)
	l.sched.Adopt(now, v)
}

// watchMembers makes a new snapshot when the set of hosts alive has changed.
func (l *Loop) watchMembers(now time.Time) {
	alive := l.members.AliveSet(now)
	if maps.Equal(alive, l.alive) {
		return
	}
	l.settings.Log.Event("info", "peers alive", "Count", len(alive), "Listed", len(l.list.Hosts))
	l.alive = alive
	l.renew(now)
}

// IsListed implements peers.Handler. It is called by the connections' goroutines.
func (l *Loop) IsListed(peer netip.AddrPort) bool {
	v := l.View()
	if v == nil {
		return false
	}
	_, listed := v.List.HostByPeer(peer)
	return listed
}

// FromHolder implements peers.Handler.
func (l *Loop) FromHolder(peer netip.AddrPort, m permit.FromHolder) {
	_ = l.post(context.Background(), func(now time.Time) { l.manager.Receive(now, peer, m) })
}

// FromManager implements peers.Handler.
func (l *Loop) FromManager(peer netip.AddrPort, m permit.FromManager) {
	_ = l.post(context.Background(), func(now time.Time) {
		l.sched.Receive(now, peer, m, l.manager)
	})
}

// Lost implements peers.Handler.
func (l *Loop) Lost(peer netip.AddrPort) {
	if !l.calls.Offer(func(time.Time) {
		l.sched.Lost(peer)
		l.manager.Lost(peer)
	}) {
		l.settings.Log.Event("warn", "loss of a peer not noted, event ring full", "Peer", peer)
	}
}

// Exchange implements peers.Handler.
func (l *Loop) Exchange(ctx context.Context, x member.Exchange) (member.Exchange, error) {
	var reply member.Exchange
	err := l.do(ctx, func(now time.Time) {
		l.hear(now, x)
		reply = l.message(now)
	})
	return reply, err
}

func (l *Loop) message(now time.Time) member.Exchange {
	x := l.members.Message(now)
	x.Incarnation = l.settings.Incarnation
	x.ConfigRevision = l.config.revision
	x.Crashes, x.Answers = l.crashes.Share(now), l.crashes.Answers(now)
	x.Lowest = l.sched.Lowest()
	return x
}

func (l *Loop) hear(now time.Time, x member.Exchange) {
	l.members.Receive(now, x)
	l.crashes.LearnAnswers(now, x.Answers)
	l.crashes.Learn(now, x.Crashes)
	l.sched.PeerWaits(x.From, x.Lowest)
	if x.ConfigRevision > l.config.revision || x.ListRevision > l.list.Revision {
		l.fetch(x.From)
	}
}

// RevisionsAnnounced implements peers.Handler.
func (l *Loop) RevisionsAnnounced(peer netip.AddrPort, f peers.Revisions) {
	_ = l.post(context.Background(), func(time.Time) {
		if f.ConfigRevision > l.config.revision || f.ListRevision > l.list.Revision {
			l.fetch(peer)
		}
	})
}

// Displace implements peers.Handler.
func (l *Loop) Displace(d peers.DisplaceRequest) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.DisplaceFor(d.Service, d.Tier) })
}

// Fetch implements peers.Handler.
func (l *Loop) Fetch(ctx context.Context, f peers.Revisions) (peers.PublishedState, error) {
	var d peers.PublishedState
	err := l.do(ctx, func(time.Time) {
		if l.config.revision > f.ConfigRevision {
			d.ConfigRevision, d.ConfigText = l.config.revision, l.config.text
		}
		if l.list.Revision > f.ListRevision {
			d.List = l.list
		}
	})
	return d, err
}

// fetch reads newer texts from a peer, off the deciding goroutine.
func (l *Loop) fetch(peer netip.AddrPort) {
	have := l.revisions()
	mesh := l.mesh
	go func() {
		d, err := mesh.Fetch(context.Background(), peer, have)
		if err != nil {
			l.settings.Log.Event("warn", "texts not fetched", "Peer", peer, "Error", err.Error())
			return
		}
		_ = l.post(context.Background(), func(now time.Time) {
			l.adoptList(now, d.List)
			l.adoptConfig(now, d.ConfigRevision, d.ConfigText)
		})
	}()
}
