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

// announceFanout is the number of peers to which a host announces a new revision
// immediately.
const announceFanout = 3

// AdoptConfig puts a configuration in force if its revision is greater than the one
// in force and the last rejected one. An invalid configuration is rejected.
func (l *Loop) AdoptConfig(ctx context.Context, revision model.Revision, text string) error {
	return l.do(ctx, func(now time.Time) { l.adoptConfig(now, revision, text) })
}

func (l *Loop) adoptConfig(now time.Time, revision model.Revision, text string) {
	if revision <= l.config.revision || revision <= l.config.rejectedRevision {
		return
	}
	catalog, err := conf.Parse("config", []byte(text), revision)
	if err != nil {
		l.config.rejectedRevision, l.config.findings = revision, err.Error()
		l.settings.Log.Event("error", "configuration rejected", "Revision", uint64(revision), "Findings", err.Error())
		return
	}
	l.config.revision, l.config.text, l.config.catalog = revision, text, catalog
	l.settings.Log.Event("info", "configuration in force", "Revision", uint64(revision))
	l.publishView(now)
	l.announceRevisions(now)
}

// AdoptHostList adopts a host list that was read directly from the platform at
// readAt; an older list than the current one is ignored. Only direct reads confirm
// that the list used for idempotency keys is recent.
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
	l.publishView(now)
	l.announceRevisions(now)
}

// announceRevisions announces the revisions of this host to announceFanout random
// peers. Each of them fetches what is newer and announces it in turn.
func (l *Loop) announceRevisions(now time.Time) {
	if l.mesh == nil {
		return
	}
	for _, p := range l.members.RandomAlive(now, announceFanout) {
		l.mesh.Fresh(p, l.revisions())
	}
}

func (l *Loop) revisions() peers.Revisions {
	return peers.Revisions{ConfigRevision: l.config.revision, ListRevision: l.list.Revision}
}

// publishView publishes a new view and passes it to the permit manager and the
// scheduler.
func (l *Loop) publishView(now time.Time) {
	if l.list.Revision == 0 || l.mesh == nil {
		return
	}
	v := view.New(l.settings.Self, l.settings.Zone, l.config.catalog, l.list, l.alive)
	l.view.Store(v)
	l.manager.UpdateView(now, v)
	l.sched.UpdateView(now, v)
}

// updateAlive publishes a new view if the set of alive hosts has changed.
func (l *Loop) updateAlive(now time.Time) {
	alive := l.members.AliveSet(now)
	if maps.Equal(alive, l.alive) {
		return
	}
	l.settings.Log.Event("info", "peers alive", "Count", len(alive), "Listed", len(l.list.Hosts))
	l.alive = alive
	l.publishView(now)
}

// IsListed implements peers.Handler. It runs on the goroutine of a connection and
// reads only the published view.
func (l *Loop) IsListed(peer netip.AddrPort) bool {
	v := l.View()
	if v == nil {
		return false
	}
	_, listed := v.List.HostByPeer(peer)
	return listed
}

// ReceiveFromHolder implements peers.Handler.
func (l *Loop) ReceiveFromHolder(peer netip.AddrPort, m permit.FromHolder) {
	_ = l.post(context.Background(), func(now time.Time) { l.manager.Receive(now, peer, m) })
}

// ReceiveFromManager implements peers.Handler.
func (l *Loop) ReceiveFromManager(peer netip.AddrPort, m permit.FromManager) {
	_ = l.post(context.Background(), func(now time.Time) {
		l.sched.Receive(now, peer, m, l.manager)
	})
}

// MessagesLost implements peers.Handler.
func (l *Loop) MessagesLost(peer netip.AddrPort) {
	if !l.events.Offer(func(time.Time) {
		l.sched.MessagesLost(peer)
		l.manager.MessagesLost(peer)
	}) {
		l.settings.Log.Event("warn", "lost messages not recorded: event queue is full", "Peer", peer)
	}
}

// Exchange implements peers.Handler.
func (l *Loop) Exchange(ctx context.Context, x member.Exchange) (member.Exchange, error) {
	var reply member.Exchange
	err := l.do(ctx, func(now time.Time) {
		l.receiveGossip(now, x)
		reply = l.gossipMessage(now)
	})
	return reply, err
}

// gossipMessage returns the state that this host sends in a gossip exchange.
func (l *Loop) gossipMessage(now time.Time) member.Exchange {
	x := l.members.Message(now)
	x.Incarnation = l.settings.Incarnation
	x.ConfigRevision = l.config.revision
	x.Crashes, x.Answers = l.crashes.NextBatch(now), l.crashes.Answers(now)
	x.Lowest = l.sched.LowestTiers()
	return x
}

// receiveGossip merges the state of a peer, and fetches from it if the peer has a
// newer revision.
func (l *Loop) receiveGossip(now time.Time, x member.Exchange) {
	l.members.Receive(now, x)
	l.crashes.MergeAnswers(now, x.Answers)
	l.crashes.Merge(now, x.Crashes)
	l.sched.SetPeerLowestTiers(x.From, x.Lowest)
	if x.ConfigRevision > l.config.revision || x.ListRevision > l.list.Revision {
		l.fetchFrom(x.From)
	}
}

// RevisionsAnnounced implements peers.Handler.
func (l *Loop) RevisionsAnnounced(peer netip.AddrPort, r peers.Revisions) {
	_ = l.post(context.Background(), func(time.Time) {
		if r.ConfigRevision > l.config.revision || r.ListRevision > l.list.Revision {
			l.fetchFrom(peer)
		}
	})
}

// Displace implements peers.Handler.
func (l *Loop) Displace(r peers.DisplaceRequest) {
	_ = l.post(context.Background(), func(time.Time) { l.sched.DisplaceForPeer(r.Service, r.Tier) })
}

// Fetch implements peers.Handler.
func (l *Loop) Fetch(ctx context.Context, have peers.Revisions) (peers.PublishedState, error) {
	var state peers.PublishedState
	err := l.do(ctx, func(time.Time) {
		if l.config.revision > have.ConfigRevision {
			state.ConfigRevision, state.ConfigText = l.config.revision, l.config.text
		}
		if l.list.Revision > have.ListRevision {
			state.List = l.list
		}
	})
	return state, err
}

// fetchFrom fetches a newer configuration or host list from a peer, without blocking
// the loop goroutine.
func (l *Loop) fetchFrom(peer netip.AddrPort) {
	have := l.revisions()
	mesh := l.mesh
	go func() {
		state, err := mesh.Fetch(context.Background(), peer, have)
		if err != nil {
			l.settings.Log.Event("warn", "fetching configuration and host list from a peer failed", "Peer", peer, "Error", err.Error())
			return
		}
		_ = l.post(context.Background(), func(now time.Time) {
			l.adoptList(now, state.List)
			l.adoptConfig(now, state.ConfigRevision, state.ConfigText)
		})
	}()
}
