package coord

import (
	"time"

	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/pack"
)

// adopt takes a configuration unless a newer one is in force: versions never go
// back within the life of a process.
func (c *Coord) adopt(now time.Time, config *routes.Config, source string) {
	if c.config != nil && config.Version <= c.config.Version {
		return
	}
	c.settings.Log.Event("info", "configuration in force", "Version", config.Version, "Former", c.version(), "Source", source, "Routes", len(config.Routes))
	c.config, c.pack = config, nil
	c.broker.SetConfig(now, config)
	c.publish()
	c.announce(now)
}

func (c *Coord) listing(now time.Time, revision uint64, targets []roster.Target, out []string) {
	c.roster.Replace(now, revision, targets, out, c.outage(now))
	c.listed = true
	c.rosterChanged(now)
}

// chooseReading starts or ends this host's own reading.
func (c *Coord) chooseReading(now time.Time) {
	on := c.hosts.Reads(now)
	if on == c.reading || c.settings.Read == nil {
		return
	}
	c.reading = on
	c.everUp = c.everUp && on
	c.settings.Log.Event("info", "reading of the store", "On", on)
	c.settings.Read(on)
	if !on {
		c.hosts.Relieved(now)
	}
}

// outage reports whether entries may be missing because the store was away.
func (c *Coord) outage(now time.Time) bool {
	return c.reading && c.everUp && (!c.storeUp || !c.returned.IsZero() && now.Sub(c.returned) < roster.ReturnGrace)
}

func (c *Coord) rosterChanged(now time.Time) {
	if c.reading {
		c.departed = append(c.departed, c.roster.Departed(c.View().Roster)...)
	}
	c.broker.SetRoster(now, c.roster.Snapshot())
	c.publish()
}

// flushDepartures tells all hosts at once which targets and zones have left: by beats, which go
// to a few hosts a second, a large fleet would hear of it too late. Only a reader
// tells, and its roster is in step with what is published.
func (c *Coord) flushDepartures(now time.Time) {
	if len(c.departed) == 0 {
		return
	}
	c.tellAll(now, methodDeparted, pack.Of(c.departed))
	c.departed = nil
}

// depart takes in which targets have left, as a reader tells.
func (c *Coord) depart(now time.Time, all []roster.Departure) {
	if c.roster.Depart(all) {
		c.broker.SetRoster(now, c.roster.Snapshot())
		c.publish()
	}
}

// Source is what a host reads the published facts from; see platform. The
// methods below are called by it, from one goroutine.

// FeedConfig takes a configuration that was read.
func (c *Coord) FeedConfig(config *routes.Config) {
	c.post(func(now time.Time) { c.adopt(now, config.Index(), "store") })
}

// FeedListing takes a whole listing as of a revision.
func (c *Coord) FeedListing(revision uint64, targets []roster.Target, out []string) {
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "targets listed", "Revision", revision, "Targets", len(targets), "ZonesOut", len(out))
		c.listing(now, revision, targets, out)
	})
}

// FeedTarget takes one entry that has changed.
func (c *Coord) FeedTarget(t roster.Target) {
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "target changed", "Target", t.ID, "Address", t.Address, "Service", t.Service,
			"Zone", t.Zone, "Draining", t.Draining, "Revision", t.Revision)
		c.roster.Put(t)
		c.rosterChanged(now)
	})
}

// FeedRemoved takes that an entry is gone.
func (c *Coord) FeedRemoved(id string, revision uint64) {
	c.post(func(now time.Time) {
		outage := c.outage(now)
		c.settings.Log.Event("info", "target gone", "Target", id, "Revision", revision, "Outage", outage)
		c.roster.Remove(now, id, revision, outage)
		c.rosterChanged(now)
	})
}

// FeedZone takes that an availability zone was taken out or back.
func (c *Coord) FeedZone(zone string, out bool, revision uint64) {
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "zone changed", "Zone", zone, "Out", out, "Revision", revision)
		c.roster.TakeOut(zone, out, revision)
		c.rosterChanged(now)
	})
}

// FeedStore takes whether the store can be read.
func (c *Coord) FeedStore(up bool, cause error) {
	c.post(func(now time.Time) {
		if up == c.storeUp && c.everUp {
			return
		}
		c.settings.Log.Event("info", "store changed", "Up", up, "Error", cause)
		if up && c.everUp {
			c.returned = now
		}
		c.everUp = c.everUp || up
		c.storeUp = up
		if c.reading {
			c.hosts.Unread(now, !up)
		}
	})
}
