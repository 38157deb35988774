package coord

import (
	"net/netip"
	"slices"
	"time"

	"yuccadoor/core/broker"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/pack"
)

// applyConfig puts a configuration in force unless its version is not newer than the
// current one: versions never decrease within the lifetime of a process.
func (c *Coordinator) applyConfig(now time.Time, config *routes.Config, source string) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	var behind time.Duration
	if !c.configBehindSince.IsZero() {
		behind = now.Sub(c.configBehindSince)
		c.configBehindSince = time.Time{}
	}
	c.settings.Log.Event("info", "configuration in force", "Version", config.Version, "Former", c.configVersion(), "Source", source,
		"Routes", len(config.Routes), "Behind", behind)
	c.config, c.encoded = config, nil
	c.broker.SetConfig(now, config)
	c.streams.own.SetLife(broker.LongestStream(config))
	c.publish()
	c.announceConfig(now)
}

// applyListing replaces the roster by a complete list of targets that was read from the
// store at a position.
func (c *Coordinator) applyListing(now time.Time, p roster.Position, targets []roster.Target, out []string) {
	former := c.rosterPosition()
	if c.reading && !c.inOutage(now) && p.Era == former.Era && c.roster.HasLapsed(targets) {
		// This host reads only since the readers had no answer, and has not seen the outage.
		c.storeWasUp, c.storeUp, c.storeReturnedAt = true, true, now
		c.settings.Log.Event("warn", "entries lapsed before this host read the store", "Listed", len(targets), "Known", len(c.roster.Snapshot().Targets))
	}
	c.roster.Replace(now, p, targets, out, roster.ListingOptions{Outage: c.inOutage(now)})
	c.hasListing, c.step.listedAt = true, now
	c.rosterChanged(now)
	c.eraChanged(former, netip.AddrPort{})
}

// eraChanged tells hosts that may know only the copy from which the store was restored
// what it has lost: all of them if this host reads the store, otherwise the peer from
// which this host has its state.
func (c *Coordinator) eraChanged(former roster.Position, from netip.AddrPort) {
	at := c.rosterPosition()
	if at.Era == former.Era || former == (roster.Position{}) {
		return
	}
	lost := c.roster.LostDepartures()
	unconfirmed, withheld, zones := c.roster.RestoreCounts()
	c.settings.Log.Event("warn", "store was restored", "Era", at.Era, "Revision", at.Revision, "FormerEra", former.Era, "Former", former.Revision,
		"From", from, "Unconfirmed", unconfirmed, "Withheld", withheld, "ZonesOut", zones, "LostDepartures", len(lost))
	if c.reading {
		c.departures = append(c.departures, lost...)
	} else if from.IsValid() {
		c.sendLostDepartures(from)
	}
}

// sendLostDepartures tells a host what a restored store has lost. A host that has just
// started may have read the store's copy only.
func (c *Coordinator) sendLostDepartures(to netip.AddrPort) {
	if lost := c.roster.LostDepartures(); len(lost) > 0 {
		c.mesh.Send(to, methodDeparted, pack.Of(lost))
	}
}

// updateReading assigns the readers if this host leads, and starts or stops reading the
// store, depending on whether this host is one of them.
func (c *Coordinator) updateReading(now time.Time) {
	if c.hosts.AssignReaders(now) {
		c.settings.Log.Event("info", "readers assigned", "Readers", c.hosts.AssignedReaders())
	}
	on := c.hosts.IsReader(now)
	if on == c.reading || c.settings.SetReading == nil {
		return
	}
	c.reading = on
	c.storeWasUp = c.storeWasUp && on
	alive, known := c.hosts.Counts(now)
	age, _ := c.hosts.AnswerAge(now)
	c.settings.Log.Event("info", "reading of the store", "On", on, "Leader", c.leader, "Alive", alive, "Known", known, "AnswerAge", age)
	c.settings.SetReading(on)
	c.publish()
	if !on {
		c.hosts.StopReading(now)
	}
}

// inOutage reports whether entries may be missing because the store is or recently was
// unreachable.
func (c *Coordinator) inOutage(now time.Time) bool {
	return c.reading && c.storeWasUp && (!c.storeUp || !c.storeReturnedAt.IsZero() && now.Sub(c.storeReturnedAt) < roster.ReturnGrace)
}

// rosterChanged passes a changed roster to the broker and publishes it. A host that
// reads the store also records departures, which it sends to all hosts.
func (c *Coordinator) rosterChanged(now time.Time) {
	if c.reading {
		c.departures = append(c.departures, c.roster.DeparturesSince(c.View().Roster)...)
	}
	c.broker.SetRoster(now, c.roster.Snapshot())
	c.publish()
}

// flushDepartures sends departed targets and zones to all hosts at once. Heartbeats go
// to only a few hosts per second, so a large fleet would learn of departures too late.
// Only hosts that read the store send them, since their roster is in step with what is
// published.
func (c *Coordinator) flushDepartures(now time.Time) {
	if len(c.departures) == 0 {
		return
	}
	c.broadcast(now, methodDeparted, pack.Of(c.departures))
	c.departures = nil
}

// applyDepartures applies departures received from a host that reads the store.
func (c *Coordinator) applyDepartures(now time.Time, departures []roster.Departure) {
	if !c.roster.ApplyDepartures(now, departures) {
		return
	}
	if c.reading && slices.ContainsFunc(departures, func(d roster.Departure) bool { return d.Lost }) {
		// The host that sent them reaches only this one.
		c.rosterChanged(now)
		return
	}
	c.broker.SetRoster(now, c.roster.Snapshot())
	c.publish()
}

// The methods below are called by the reader of the store, from a single goroutine;
// see package platform.

// FeedConfig applies a configuration read from the store.
func (c *Coordinator) FeedConfig(config *routes.Config) {
	c.post(func(now time.Time) { c.applyConfig(now, config.Index(), "store") })
}

// FeedListing applies a complete list of targets as of a position.
func (c *Coordinator) FeedListing(p roster.Position, targets []roster.Target, out []string) {
	c.post(func(now time.Time) {
		known := c.rosterPosition()
		c.settings.Log.Event("info", "targets listed", "Era", p.Era, "Revision", p.Revision, "KnownEra", known.Era, "Known", known.Revision, "Targets", len(targets), "ZonesOut", len(out))
		c.applyListing(now, p, targets, out)
	})
}

// FeedTarget applies a changed target entry.
func (c *Coordinator) FeedTarget(t roster.Target) {
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "target changed", "Target", t.ID, "Address", t.Address, "Service", t.Service,
			"Zone", t.Zone, "TargetVersion", t.Version, "Draining", t.Draining, "Revision", t.Revision)
		c.roster.Put(t)
		c.rosterChanged(now)
	})
}

// FeedTargetRemoval applies the removal of a target entry.
func (c *Coordinator) FeedTargetRemoval(id string, p roster.Position) {
	c.post(func(now time.Time) {
		outage := c.inOutage(now)
		c.settings.Log.Event("info", "target gone", "Target", id, "Revision", p.Revision, "Outage", outage)
		c.roster.Remove(now, id, p, outage)
		c.rosterChanged(now)
	})
}

// FeedZone applies whether an availability zone is taken out of service.
func (c *Coordinator) FeedZone(zone string, out bool, p roster.Position) {
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "zone changed", "Zone", zone, "Out", out, "Revision", p.Revision)
		c.roster.SetZoneOut(zone, out, p)
		c.rosterChanged(now)
	})
}

// FeedAnswer records that the store has answered a read: what it had published by then has
// been fed.
func (c *Coordinator) FeedAnswer() {
	at := c.settings.Now()
	c.post(func(now time.Time) { c.hosts.RecordAnswer(now, at, true) })
}

// FeedStoreState applies whether the store can be read.
func (c *Coordinator) FeedStoreState(up bool, cause error) {
	c.post(func(now time.Time) {
		if up == c.storeUp && c.storeWasUp {
			return
		}
		c.settings.Log.Event("info", "store changed", "Up", up, "Error", cause)
		if up && c.storeWasUp {
			c.storeReturnedAt = now
		}
		c.storeWasUp = c.storeWasUp || up
		c.storeUp = up
		if c.reading {
			c.hosts.SetReadFailing(now, !up)
		}
	})
}
