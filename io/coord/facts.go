package coord

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"maps"
	"net/netip"
	"slices"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/hosts"
	"yuccadoor/core/notice"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/pack"
)

// Method names of messages between hosts.
const (
	methodBeat     = "Beat"
	methodFetch    = "Fetch"
	methodFacts    = "Facts"
	methodAsks     = "Asks"
	methodSync     = "Sync"
	methodResync   = "Resync"
	methodVerdicts = "Verdicts"
	methodCrashes  = "Crashes"
	methodNotices  = "Notices"
	methodDeparted = "Departed"
	methodStreams  = "Streams"
)

// HeartbeatMessage carries heartbeats of hosts, the sender's first, and states which
// versions of the published state the sender has.
type HeartbeatMessage struct {
	Heartbeats []hosts.Heartbeat `cbor:"1,keyasint,omitempty"`
	Version    uint64            `cbor:"2,keyasint,omitempty"` // of the configuration; 0 for none
	Revision   uint64            `cbor:"3,keyasint,omitempty"` // of the roster; 0 for none
	// Readers are the hosts that read the store, as assigned by the sender if it leads.
	Readers []netip.AddrPort `cbor:"4,keyasint,omitempty"`
	Era     uint64           `cbor:"5,keyasint,omitempty"` // of Revision
	// Lag is how long messages to the sender waited for their turn.
	Lag time.Duration `cbor:"6,keyasint,omitempty"`
	// AnswerAge is how long ago the store last answered a host, as far as the sender knows,
	// and at least a nanosecond; 0 if it does not know, or is of a version that does not state it.
	AnswerAge time.Duration `cbor:"7,keyasint,omitempty"`
}

// FetchRequest asks for published state newer than the given version and position.
type FetchRequest struct {
	Version  uint64
	Era      uint64 `json:",omitempty"` // of Revision
	Revision uint64
}

// PublishedState is what operators and targets have published, as one host sends it
// to another.
type PublishedState struct {
	Config   []byte `json:",omitempty"` // see encodeConfig
	Era      uint64 `json:",omitempty"` // of Revision
	Revision uint64 // up to which targets and zones are included; 0 if they are not
	Whole    bool   `json:",omitempty"` // Targets is the complete list, not only changes
	Settled  bool   `json:",omitempty"` // see roster.Changes
	Targets  []Target
	Gone     []roster.Removal
	Withheld []Target `json:",omitempty"` // see roster.Changes
	Out      []string // all availability zones that are taken out
	OutLost  []string `json:",omitempty"` // those of Out that a restored store has lost
}

// Target is a target with its remaining cold time as measured by the sender.
type Target struct {
	roster.Target
	ColdLeft time.Duration
}

// decode decodes a message and returns the event that handles it.
func (c *Coordinator) decode(from netip.AddrPort, method string, params json.RawMessage) (event, error) {
	received := c.settings.Now()
	switch method {
	case methodBeat:
		return decodePacked(params, func(now time.Time, m HeartbeatMessage) { c.handleHeartbeat(now, from, m, received) })
	case methodFetch:
		return decodeJSON(params, func(now time.Time, f FetchRequest) { c.handleFetch(now, from, f) })
	case methodFacts:
		return decodeJSON(params, func(now time.Time, s PublishedState) { c.applyPublishedState(now, from, s) })
	case methodAsks:
		return decodePacked(params, func(now time.Time, u RequestUpdates) { c.handleRequests(now, from, u, now.Sub(received)) })
	case methodSync:
		return decodePacked(params, func(now time.Time, s HostState) { c.handleState(now, from, s, now.Sub(received)) })
	case methodVerdicts:
		return decodePacked(params, func(now time.Time, d Decisions) { c.handleDecisions(now, from, d) })
	case methodCrashes:
		return decodePacked(params, func(now time.Time, m CrashRecords) { c.handleCrashes(now, m) })
	case methodNotices:
		return decodePacked(params, func(now time.Time, n []notice.Notice) { c.applyNotices(now, from, n) })
	case methodDeparted:
		return decodePacked(params, func(now time.Time, d []roster.Departure) { c.applyDepartures(now, d) })
	case methodStreams:
		return decodePacked(params, func(now time.Time, m StreamRecords) { c.handleStreams(now, from, m, now.Sub(received)) })
	case methodResync:
		return func(time.Time) {
			if from == c.leader {
				c.synced = false
			}
		}, nil
	}
	return nil, errors.Errorf("unknown method %q", method)
}

// decodeJSON decodes params and returns an event that calls handle.
func decodeJSON[T any](params json.RawMessage, handle func(now time.Time, t T)) (event, error) {
	var t T
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, err
	}
	return func(now time.Time) { handle(now, t) }, nil
}

// decodePacked is decodeJSON for messages in the packed encoding: heartbeats and those
// that are sent for every request.
func decodePacked[T any](params json.RawMessage, handle func(now time.Time, t T)) (event, error) {
	return decodeJSON(params, func(now time.Time, p pack.Packed[T]) { handle(now, p.Value) })
}

// configVersion returns the version of the current configuration, or 0.
func (c *Coordinator) configVersion() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

// rosterPosition returns the position of the roster, or zero before the first complete list.
func (c *Coordinator) rosterPosition() roster.Position {
	if !c.hasListing {
		return roster.Position{}
	}
	return c.roster.Position()
}

// peerPosition returns the position that a peer has stated. A peer of a version without
// eras states none, and is taken to be in the present one.
func (c *Coordinator) peerPosition(era, revision uint64) roster.Position {
	if era == 0 && revision > 0 {
		era = c.roster.Position().Era
	}
	return roster.Position{Era: era, Revision: revision}
}

// nextHeartbeat returns this host's next heartbeat, without those of other hosts.
func (c *Coordinator) nextHeartbeat(now time.Time) HeartbeatMessage {
	at := c.rosterPosition()
	m := HeartbeatMessage{
		Heartbeats: []hosts.Heartbeat{c.hosts.NextHeartbeat(now)}, Version: c.configVersion(), Era: at.Era, Revision: at.Revision,
		Readers: c.hosts.AssignedReaders(), Lag: c.lag,
	}
	if age, known := c.hosts.AnswerAge(now); known {
		m.AnswerAge = max(age, 1)
	}
	return m
}

// sendHeartbeat sends this host's heartbeat, and recent ones of other hosts, to the
// hosts selected for this round. A leader sends only its own to the rest of the fleet.
func (c *Coordinator) sendHeartbeat(now time.Time) {
	own := c.nextHeartbeat(now)
	withDigest := own
	withDigest.Heartbeats = slices.Concat(own.Heartbeats, c.hosts.Digest(now))
	recipients := c.hosts.Recipients(now)
	for _, to := range recipients {
		c.mesh.Send(to, methodBeat, pack.Of(withDigest))
	}
	for _, to := range c.hosts.Followers(now) {
		if !slices.Contains(recipients, to) {
			c.mesh.Send(to, methodBeat, pack.Of(own))
		}
	}
}

func (c *Coordinator) handleHeartbeat(now time.Time, from netip.AddrPort, m HeartbeatMessage, received time.Time) {
	if m.AnswerAge > 0 {
		c.hosts.RecordAnswer(now, received.Add(-m.AnswerAge), false)
	}
	changed := c.hosts.Receive(now, m.Heartbeats...)
	c.hosts.ReceiveAssignment(now, from, m.Readers) // before updateLeader, which distrusts a silent leader
	if changed {
		c.updateLeader(now)
	}
	c.setLeaderLag(now, from, m.Lag)
	if m.Version > c.configVersion() && c.configBehindSince.IsZero() {
		c.configBehindSince = now
	}
	announced := announcement{version: m.Version, position: c.peerPosition(m.Era, m.Revision), since: now}
	if former, ok := c.peersAhead[from]; ok {
		announced.since = former.since
	}
	c.peersAhead[from] = announced
	c.forgetCaughtUp()
	c.sendLostDepartures(from)
}

// announcement is the published state that a peer has announced.
type announcement struct {
	version  uint64 // of the configuration
	position roster.Position
	since    time.Time
}

// forgetCaughtUp forgets announcements of what this host has by now: a peer with nothing
// newer does not respond to a fetch, which would hold up others until its timeout.
func (c *Coordinator) forgetCaughtUp() {
	maps.DeleteFunc(c.peersAhead, func(_ netip.AddrPort, a announcement) bool {
		return a.version <= c.configVersion() && !a.position.After(c.rosterPosition())
	})
}

// fetchFromPeer fetches from a peer with newer state, preferably with a newer
// configuration and then in the same zone; only one fetch is outstanding at a time. A host
// that reads the store itself first waits fetchDelay for its own read.
func (c *Coordinator) fetchFromPeer(now time.Time) {
	c.forgetCaughtUp()
	if now.Sub(c.fetchedAt) < fetchTimeout || len(c.peersAhead) == 0 {
		return
	}
	var from netip.AddrPort
	best := -1
	for peer, a := range c.peersAhead {
		if now.Sub(a.since) < fetchDelay && c.reading && c.hasListing && c.config != nil {
			continue
		}
		preference := 0
		if a.version > c.configVersion() {
			preference += 2
		}
		if c.hosts.Zone(peer) == c.settings.Zone {
			preference++
		}
		if preference > best {
			from, best = peer, preference
		}
	}
	if !from.IsValid() {
		return
	}
	if !c.fetchedAt.IsZero() {
		c.settings.Log.Event("info", "fetch unanswered", "From", c.fetchedFrom, "After", now.Sub(c.fetchedAt), "Version", c.configVersion())
	}
	c.fetchedAt, c.fetchedFrom = now, from
	// If it does not answer within fetchTimeout, another peer is asked.
	delete(c.peersAhead, from)
	at := c.rosterPosition()
	c.mesh.Send(from, methodFetch, FetchRequest{Version: c.configVersion(), Era: at.Era, Revision: at.Revision})
}

// handleFetch sends a peer the published state that it lacks.
func (c *Coordinator) handleFetch(now time.Time, to netip.AddrPort, f FetchRequest) {
	var state PublishedState
	if c.configVersion() > f.Version {
		state.Config = c.encodedConfig()
	}
	if known := c.peerPosition(f.Era, f.Revision); c.rosterPosition().After(known) {
		state.setChanges(now, c.roster.ChangesSince(now, known))
	}
	if state.Config != nil || state.Revision > 0 {
		c.mesh.Send(to, methodFacts, state)
	}
}

// setChanges sets the changes of the roster.
func (s *PublishedState) setChanges(now time.Time, changes roster.Changes) {
	s.Era, s.Revision = changes.Position.Era, changes.Position.Revision
	s.Whole, s.Settled, s.Gone, s.Out, s.OutLost = changes.Whole, changes.Settled, changes.Removed, changes.ZonesOut, changes.ZonesLost
	for _, t := range changes.Targets {
		s.Targets = append(s.Targets, Target{Target: t, ColdLeft: t.ColdUntil.Sub(now)})
	}
	for _, t := range changes.Withheld {
		s.Withheld = append(s.Withheld, Target{Target: t, ColdLeft: t.ColdUntil.Sub(now)})
	}
}

// changes returns the changes of the roster that a peer has sent.
func (c *Coordinator) changes(now time.Time, s PublishedState) roster.Changes {
	changes := roster.Changes{
		Position: c.peerPosition(s.Era, s.Revision), Whole: s.Whole, Settled: s.Settled, ZonesOut: s.Out, ZonesLost: s.OutLost,
	}
	decode := func(t Target) roster.Target {
		t.Target.Era = c.peerPosition(t.Era, t.Revision).Era
		t.Target.ColdUntil = time.Time{}
		if t.ColdLeft > 0 {
			t.Target.ColdUntil = now.Add(t.ColdLeft)
		}
		return t.Target
	}
	for _, t := range s.Targets {
		changes.Targets = append(changes.Targets, decode(t))
	}
	for _, t := range s.Withheld {
		changes.Withheld = append(changes.Withheld, decode(t))
	}
	for _, r := range s.Gone {
		r.Era = c.peerPosition(r.Era, r.Revision).Era
		changes.Removed = append(changes.Removed, r)
	}
	return changes
}

// encodedConfig returns the encoded configuration, which is computed once per version.
func (c *Coordinator) encodedConfig() []byte {
	if c.encoded == nil {
		encoded, err := encodeConfig(c.config)
		if err != nil {
			c.settings.Log.Event("error", "cannot encode configuration", "Version", c.configVersion(), "Error", err)
			return nil
		}
		c.encoded = encoded
	}
	return c.encoded
}

// applyPublishedState applies published state received from a peer.
func (c *Coordinator) applyPublishedState(now time.Time, from netip.AddrPort, state PublishedState) {
	delete(c.peersAhead, from)
	c.fetchedAt = time.Time{}
	if state.Config != nil {
		config, err := decodeConfig(state.Config)
		if err != nil {
			c.settings.Log.Event("warn", "cannot decode configuration from host", "From", from, "Error", err)
		} else {
			c.applyConfig(now, config.Index(), "host "+from.String())
		}
	}
	changes := c.changes(now, state)
	if state.Revision == 0 || !changes.Position.After(c.rosterPosition()) {
		return
	}
	former := c.rosterPosition()
	c.roster.Apply(now, changes)
	c.hasListing = c.hasListing || changes.Whole
	c.rosterChanged(now)
	c.eraChanged(former, from)
}

// maxConfigBytes limits the size of a decompressed configuration.
const maxConfigBytes = 8 << 20

// encodeConfig encodes a configuration as gzip-compressed JSON. Configurations are
// repetitive and compress well.
func encodeConfig(config *routes.Config) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(config); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "encode configuration")
	}
	return b.Bytes(), nil
}

func decodeConfig(encoded []byte) (*routes.Config, error) {
	z, err := gzip.NewReader(bytes.NewReader(encoded))
	if err != nil {
		return nil, errors.Wrap(err, "decode configuration")
	}
	var config routes.Config
	err = json.NewDecoder(io.LimitReader(z, maxConfigBytes)).Decode(&config)
	return &config, errors.Wrap(err, "decode configuration")
}

// announceConfig sends a heartbeat at once after a configuration change: to all live
// hosts if this host reads the store, otherwise only to the usual few.
func (c *Coordinator) announceConfig(now time.Time) {
	if c.mesh == nil {
		return
	}
	to := c.hosts.Recipients(now)
	if c.reading {
		to = c.hosts.Alive(now)
	}
	m := c.nextHeartbeat(now)
	for _, h := range to {
		c.mesh.Send(h, methodBeat, pack.Of(m))
	}
}
