package coord

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"yuccadoor/core/hosts"
	"yuccadoor/core/origin"
	"yuccadoor/io/pack"
)

// Timing and limits of the exchange of records of streams.
const (
	// tellPeriod is the time between two messages with records to the same hosts of a small
	// fleet. The prompt of a stream usually takes longer, so that its record leaves before its
	// first event. In a large fleet, where a host has fewer streams, farTellPeriod saves
	// messages.
	tellPeriod    = 50 * time.Millisecond
	farTellPeriod = 250 * time.Millisecond
	// maxRecords limits the records of one message, to some 65 KB.
	maxRecords = 4096
	// askSpacing is the time between two questions for each host that is asked: 8 ms in a
	// fleet of 8, 0.3 s in one of 320.
	askSpacing = time.Millisecond
	// maxCopies is the number of hosts that a host asks for all records once it has started.
	maxCopies = 2
)

// StreamRecords carries what a host knows of the versions that began streams.
type StreamRecords struct {
	Begun []origin.Group `cbor:"1,keyasint,omitempty"`
	// Asked are the keys of streams that the sender asks for. Answered are those that the
	// receiver has asked for; what the sender knows of them is in Begun.
	Asked    []uint64 `cbor:"2,keyasint,omitempty"`
	Answered []uint64 `cbor:"3,keyasint,omitempty"`
	AskAll   bool     `cbor:"4,keyasint,omitempty"` // the sender asks for all that the receiver knows
	// Lost are processes of targets that are gone, and Sessions the services whose streams are
	// turns of sessions, as far as the sender knows. They come with answers.
	Lost     []origin.Lost `cbor:"5,keyasint,omitempty"`
	Sessions []string      `cbor:"6,keyasint,omitempty"`
}

// streamRecords is the state of the exchange of records of streams.
type streamRecords struct {
	own     *origin.Log     // resumable streams of this host
	several map[string]bool // services with several versions, of whose streams other hosts are told
	untold  []uint64        // keys of own streams that other hosts are not told of yet
	// told holds the hosts that were told of all other own streams.
	told    map[netip.AddrPort]bool
	toldAt  time.Time
	askedAt time.Time
	// began is when this host started, and copied are the hosts that it has asked for all
	// records since then.
	began  time.Time
	copied []netip.AddrPort
}

func newStreamRecords(now time.Time) streamRecords {
	return streamRecords{own: origin.NewLog(), began: now}
}

// recordStream records the version to which a request for a stream of this host is sent.
func (c *Coordinator) recordStream(now time.Time, key uint64, service, version string) {
	if key == 0 {
		return
	}
	c.streams.own.Record(now, key, version)
	if c.leader == c.self() {
		c.broker.Origins().Record(now, key, version)
	}
	if c.streams.several[service] {
		c.streams.untold = append(c.streams.untold, key)
	}
}

// updateVersions determines the services with several versions. When a second version is
// published, streams that have begun before may go on at the wrong one too.
func (c *Coordinator) updateVersions(now time.Time) {
	r := &c.streams
	former := r.several
	r.several = c.broker.Origins().WithSeveralVersions(now)
	for service := range r.several {
		if !former[service] {
			r.told = nil
		}
	}
}

// tellStreams tells other hosts of this host's streams, since the leader may be lost together
// with this host. A host that was not reached before is told of all.
func (c *Coordinator) tellStreams(now time.Time) {
	r := &c.streams
	period := farTellPeriod
	if c.hosts.IsSmall() {
		period = tellPeriod
	}
	if len(r.several) == 0 || now.Sub(r.toldAt) < period {
		return
	}
	r.toldAt = now
	latest := packRecords(r.own.Find(now, r.untold))
	var all []pack.Packed[StreamRecords]
	told := map[netip.AddrPort]bool{}
	for _, h := range c.hosts.OwnKeepers(now) {
		messages := latest
		if !r.told[h] {
			if all == nil {
				all = packRecords(r.own.Begun(now))
			}
			messages = all
		}
		for _, m := range messages {
			c.mesh.Send(h, methodStreams, m)
		}
		told[h] = true
	}
	r.untold, r.told = nil, told
}

// packRecords returns messages with records of streams.
func packRecords(begun []origin.Begun) []pack.Packed[StreamRecords] {
	var messages []pack.Packed[StreamRecords]
	for part := range slices.Chunk(begun, maxRecords) {
		messages = append(messages, pack.Of(StreamRecords{Begun: origin.GroupByVersion(part)}))
	}
	return messages
}

// askForStreams asks other hosts for streams that were taken up and of which this host, the
// leader, has no record: it may have started after they began.
func (c *Coordinator) askForStreams(now time.Time) {
	origins := c.broker.Origins()
	if !origins.HasQuestions() {
		return
	}
	keepers := c.hosts.RecordKeepers(now)
	if now.Sub(c.streams.askedAt) < time.Duration(len(keepers))*askSpacing {
		return
	}
	c.streams.askedAt = now
	keys := origins.TakeQuestions(now, len(keepers))
	m := pack.Of(StreamRecords{Asked: keys})
	for _, h := range keepers {
		c.mesh.Send(h, methodStreams, m)
	}
}

// copyStreams asks some hosts of a small fleet for all records once this host has started and
// heard of the others: it may be the only one left of those that have them.
func (c *Coordinator) copyStreams(now time.Time) {
	r := &c.streams
	if len(r.copied) >= maxCopies || now.Sub(r.began) < hosts.SettleTime || !c.hosts.IsSmall() {
		return
	}
	for _, h := range c.hosts.OldestKeepers(now) {
		if len(r.copied) < maxCopies && !slices.Contains(r.copied, h) {
			r.copied = append(r.copied, h)
			c.mesh.Send(h, methodStreams, pack.Of(StreamRecords{AskAll: true}))
		}
	}
}

// handleStreams handles what another host knows or asks of streams, in a message of an age.
func (c *Coordinator) handleStreams(now time.Time, from netip.AddrPort, m StreamRecords, age time.Duration) {
	origins := c.broker.Origins()
	origins.Merge(now.Add(-max(age, 0)), from, origin.Ungroup(m.Begun))
	origins.MergeLost(now, m.Lost)
	origins.SetSessions(m.Sessions)
	if len(m.Answered) > 0 {
		origins.RecordAnswered(m.Answered)
		c.broker.ResolveStreams(now)
	}
	if len(m.Asked) > 0 {
		c.mesh.Send(from, methodStreams, pack.Of(StreamRecords{
			Begun: origin.GroupByVersion(c.findStreams(now, m.Asked)), Answered: m.Asked, Lost: origins.Lost(now), Sessions: origins.Sessions(),
		}))
	}
	if m.AskAll && c.hosts.IsSmall() {
		c.sendAllStreams(now, from)
	}
}

// sendAllStreams sends all that this host knows of streams.
func (c *Coordinator) sendAllStreams(now time.Time, to netip.AddrPort) {
	origins := c.broker.Origins()
	c.mesh.Send(to, methodStreams, pack.Of(StreamRecords{Lost: origins.Lost(now), Sessions: origins.Sessions()}))
	for _, m := range packRecords(slices.Concat(origins.Begun(now), c.streams.own.Begun(now))) {
		c.mesh.Send(to, methodStreams, m)
	}
}

// findStreams returns what this host knows of streams, its own or those of others.
func (c *Coordinator) findStreams(now time.Time, keys []uint64) []origin.Begun {
	return slices.Concat(c.broker.Origins().FindBegun(now, keys), c.streams.own.Find(now, keys))
}

// logStreams logs and counts, at the leader, the streams that were taken up since the last call.
func (c *Coordinator) logStreams() {
	for _, e := range c.broker.TakeStreamEvents() {
		source, recorder := cmp.Or(e.Source, origin.Source(origin.Unknown)), ""
		if e.Finding.Host.IsValid() {
			recorder = e.Finding.Host.String()
		}
		c.settings.Log.Event("info", "stream taken up", "Stream", StreamName(e.Stream), "Host", e.Host, "Service", e.Service,
			"TargetVersion", e.Version, "KnownBy", source, "Recorder", recorder, "Age", e.Age, "Suspects", strings.Join(e.Suspects, ","), "Sessions", e.Sessions, "Waited", e.Waited)
		if c.settings.Counters != nil {
			c.settings.Counters.RecordStreamTakenUp(e.Service, source)
		}
	}
}

// StreamName returns the key of a stream as logs show it; empty for none.
func StreamName(key uint64) string {
	if key == 0 {
		return ""
	}
	return fmt.Sprintf("%016x", key)
}
