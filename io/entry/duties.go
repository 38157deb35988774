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

// Periods of the readers.
const (
	watchersInZone  = 2                // hosts of a zone that hold a watch open
	configPeriod    = 30 * time.Second // of the other hosts' reads, and the longest pause
	configRetry     = 500 * time.Millisecond
	listPeriodLeast = time.Second
	listPeriodHost  = 10 * time.Millisecond // more for each listed host
	loadPeriod      = time.Second
)

// duties are the goroutines that read what is published.
type duties struct {
	client *plat.Client
	loop   *loop.Loop
	sender *reach.Sender
	log    *logs.Log
	now    func() time.Time
}

func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// watchConfig keeps the operators' text current. A few hosts of each zone hold
// a watch open; the others hear from their peers and read now and then.
func (d *duties) watchConfig(ctx context.Context) {
	for ctx.Err() == nil {
		watch := d.watches()
		status := d.loop.Status()
		p, err := d.client.Config(ctx, max(status.ConfigRevision, status.RejectedRevision), watch)
		switch {
		case err != nil:
			if ctx.Err() == nil {
				d.log.Event("warn", "configuration not read", "Error", err.Error())
			}
			pause(ctx, jitter(configRetry))
		case p != nil:
			_ = d.loop.AdoptConfig(ctx, p.Revision, p.Text)
			pause(ctx, jitter(configRetry))
		case !watch:
			pause(ctx, jitter(configPeriod))
		}
	}
}

// jitter spreads a period over half to one and a half of itself.
func jitter(d time.Duration) time.Duration {
	return d/2 + rand.N(d)
}

// watches reports whether this host is one of its zone's watchers.
func (d *duties) watches() bool {
	v := d.loop.View()
	if v == nil || v.Catalog == nil {
		return true
	}
	mine := place.Score(place.HashString(v.Zone), v.Self)
	ahead := 0
	for _, h := range v.List.Hosts {
		if h.Zone == v.Zone && h.Peer != v.Self && v.Alive(h.Peer) && place.Score(place.HashString(v.Zone), h.Peer) > mine {
			ahead++
		}
	}
	return ahead < watchersInZone
}

// readHosts keeps the list of hosts current.
func (d *duties) readHosts(ctx context.Context) {
	for ctx.Err() == nil {
		began := d.now()
		l, err := d.client.Hosts(ctx)
		if err == nil {
			err = d.loop.AdoptHostList(ctx, l, began)
		}
		if err != nil && ctx.Err() == nil {
			d.log.Event("warn", "host list not read", "Error", err.Error())
		}
		pause(ctx, d.listPeriod())
	}
}

func (d *duties) listPeriod() time.Duration {
	v := d.loop.View()
	if v == nil {
		return configRetry
	}
	return max(listPeriodLeast, time.Duration(len(v.List.Hosts))*listPeriodHost)
}

// readLoads reads the load reports of the targets that this host manages.
func (d *duties) readLoads(ctx context.Context) {
	for ctx.Err() == nil {
		if v := d.loop.View(); v != nil {
			d.readAll(ctx, v)
		}
		pause(ctx, loadPeriod)
	}
}

func (d *duties) readAll(ctx context.Context, v *view.View) {
	var reads sync.WaitGroup
	for _, t := range v.ManagedTargets() {
		reads.Go(func() { d.readLoad(ctx, t) })
	}
	reads.Wait()
}

func (d *duties) readLoad(ctx context.Context, t model.Target) {
	l, err := d.sender.Load(ctx, t.Address)
	if err != nil {
		d.log.Event("debug", "load report not read", "Target", t.Address, "Error", err.Error())
		return
	}
	d.loop.RecordLoad(t.Address, l.Incarnation, l.Running+l.Waiting)
}
