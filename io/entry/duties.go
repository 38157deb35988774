package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"yuccadoor/core/model"
	"yuccadoor/core/place"
	"yuccadoor/core/view"
	"yuccadoor/io/logs"
	"yuccadoor/io/loop"
	"yuccadoor/io/plat"
	"yuccadoor/io/reach"
)

// Parameters of the pollers.
const (
	watchersPerZone   = 2                      // hosts in a zone that watch the configuration service
	configPollPeriod  = 30 * time.Second       // between reads by the other hosts; the longest pause between reads
	configRetryPeriod = 500 * time.Millisecond // after a failed read or a new revision
	minListPeriod     = time.Second
	listPeriodPerHost = 10 * time.Millisecond // the list period grows in proportion to the listed hosts
	loadPollPeriod    = time.Second
)

// pollers reads the configuration and the host list from the platform, and the load
// reports from targets, and passes them to the loop.
type pollers struct {
	client *plat.Client
	loop   *loop.Loop
	sender *reach.Sender
	log    *logs.Log
	now    func() time.Time
}

// sleep waits for d or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// pollConfig keeps the configuration current. A few hosts of each zone watch the
// configuration service. The others learn of changes from their peers, and poll at a
// longer period.
func (p *pollers) pollConfig(ctx context.Context) {
	for ctx.Err() == nil {
		watch := p.isWatcher()
		status := p.loop.Status()
		config, err := p.client.Config(ctx, max(status.ConfigRevision, status.RejectedRevision), watch)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				p.log.Event("warn", "reading the configuration failed", "Error", err.Error())
			}
			sleep(ctx, jitter(configRetryPeriod))
		case config != nil:
			_ = p.loop.AdoptConfig(ctx, config.Revision, config.Text)
			sleep(ctx, jitter(configRetryPeriod))
		case !watch:
			sleep(ctx, jitter(configPollPeriod))
		}
	}
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// isWatcher reports whether this host is one of the watchersPerZone hosts of its zone
// that watch the configuration service, chosen by rendezvous hashing among those
// alive.
func (p *pollers) isWatcher() bool {
	v := p.loop.View()
	if v == nil || v.Catalog == nil {
		return true
	}
	score := place.Score(place.HashString(v.Zone), v.Self)
	higher := 0 // other hosts with a higher score
	for _, h := range v.List.Hosts {
		if h.Zone == v.Zone && h.Peer != v.Self && v.Alive(h.Peer) && place.Score(place.HashString(v.Zone), h.Peer) > score {
			higher++
		}
	}
	return higher < watchersPerZone
}

// pollHosts keeps the host list current.
func (p *pollers) pollHosts(ctx context.Context) {
	for ctx.Err() == nil {
		began := p.now()
		l, err := p.client.Hosts(ctx)
		if err == nil {
			err = p.loop.AdoptHostList(ctx, l, began)
		}
		if err != nil && ctx.Err() == nil {
			p.log.Event("warn", "reading the host list failed", "Error", err.Error())
		}
		sleep(ctx, p.hostListPeriod())
	}
}

// hostListPeriod returns the time until the next read of the host list.
func (p *pollers) hostListPeriod() time.Duration {
	v := p.loop.View()
	if v == nil {
		return configRetryPeriod
	}
	return max(minListPeriod, time.Duration(len(v.List.Hosts))*listPeriodPerHost)
}

// pollLoads periodically reads the load reports of the targets that this host
// manages.
func (p *pollers) pollLoads(ctx context.Context) {
	for ctx.Err() == nil {
		if v := p.loop.View(); v != nil {
			p.readLoads(ctx, v)
		}
		sleep(ctx, loadPollPeriod)
	}
}

// readLoads reads the load reports of all managed targets concurrently.
func (p *pollers) readLoads(ctx context.Context, v *view.View) {
	var reads sync.WaitGroup
	for _, t := range v.ManagedTargets() {
		reads.Go(func() { p.readLoad(ctx, t) })
	}
	reads.Wait()
}

func (p *pollers) readLoad(ctx context.Context, t model.Target) {
	l, err := p.sender.Load(ctx, t.Address)
	if err != nil {
		p.log.Event("debug", "reading a load report failed", "Target", t.Address, "Error", err.Error())
		return
	}
	p.loop.RecordLoad(t.Address, l.Incarnation, l.Running+l.Waiting)
}
