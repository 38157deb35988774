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
)

// HeartbeatMessage carries heartbeats of hosts, the sender's first, and states which
// versions of the published state the sender has.
type HeartbeatMessage struct {
	Heartbeats []hosts.Heartbeat `cbor:"1,keyasint,omitempty"`
	Version    uint64            `cbor:"2,keyasint,omitempty"` // of the configuration; 0 for none
	Revision   uint64            `cbor:"3,keyasint,omitempty"` // of the roster; 0 for none
	// Readers are the hosts that read the store, as assigned by the sender if it leads.
	Readers []netip.AddrPort `cbor:"4,keyasint,omitempty"`
}

// FetchRequest asks for published state newer than the given version and revision.
type FetchRequest struct {
	Version  uint64
	Revision uint64
}

// PublishedState is what operators and targets have published, as one host sends it
// to another.
type PublishedState struct {
	Config   []byte `json:",omitempty"` // see encodeConfig
	Revision uint64 // up to which targets and zones are included; 0 if they are not
	Whole    bool   `json:",omitempty"` // Targets is the complete list, not only changes
	Targets  []Target
	Gone     []roster.Removal
	Out      []string // all availability zones that are taken out
}

// Target is a target with its remaining cold time as measured by the sender.
type Target struct {
	roster.Target
	ColdLeft time.Duration
}

// decode decodes a message and returns the event that handles it.
func (c *Coordinator) decode(from netip.AddrPort, method string, params json.RawMessage) (event, error) {
	switch method {
	case methodBeat:
		return decodePacked(params, func(now time.Time, m HeartbeatMessage) { c.handleHeartbeat(now, from, m) })
	case methodFetch:
		return decodeJSON(params, func(now time.Time, f FetchRequest) { c.handleFetch(now, from, f) })
	case methodFacts:
		return decodeJSON(params, func(now time.Time, s PublishedState) { c.applyPublishedState(now, from, s) })
	case methodAsks:
		return decodePacked(params, func(now time.Time, u RequestUpdates) { c.handleRequests(now, from, u) })
	case methodSync:
		return decodePacked(params, func(now time.Time, s HostState) { c.handleState(now, from, s) })
	case methodVerdicts:
		return decodePacked(params, func(_ time.Time, d Decisions) { c.handleDecisions(from, d) })
	case methodCrashes:
		return decodePacked(params, func(now time.Time, m CrashRecords) { c.handleCrashes(now, m) })
	case methodNotices:
		return decodePacked(params, func(now time.Time, n []notice.Notice) { c.applyNotices(now, from, n) })
	case methodDeparted:
		return decodePacked(params, func(now time.Time, d []roster.Departure) { c.applyDepartures(now, d) })
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

// rosterRevision returns the revision of the roster, or 0 before the first complete list.
func (c *Coordinator) rosterRevision() uint64 {
	if !c.hasListing {
		return 0
	}
	return c.roster.Revision()
}

// nextHeartbeat returns this host's next heartbeat, without those of other hosts.
func (c *Coordinator) nextHeartbeat(now time.Time) HeartbeatMessage {
	return HeartbeatMessage{
		Heartbeats: []hosts.Heartbeat{c.hosts.NextHeartbeat(now)}, Version: c.configVersion(), Revision: c.rosterRevision(),
		Readers: c.hosts.AssignedReaders(),
	}
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

func (c *Coordinator) handleHeartbeat(now time.Time, from netip.AddrPort, m HeartbeatMessage) {
	changed := c.hosts.Receive(now, m.Heartbeats...)
	c.hosts.ReceiveAssignment(now, from, m.Readers) // before updateLeader, which distrusts a silent leader
	if changed {
		c.updateLeader(now)
	}
	if m.Version > c.configVersion() && c.configBehindSince.IsZero() {
		c.configBehindSince = now
	}
	announced := announcement{version: m.Version, revision: m.Revision, since: now}
	if former, ok := c.peersAhead[from]; ok {
		announced.since = former.since
	}
	c.peersAhead[from] = announced
	c.forgetCaughtUp()
}

// announcement is the published state that a peer has announced.
type announcement struct {
	version  uint64 // of the configuration
	revision uint64 // of the roster
	since    time.Time
}

// forgetCaughtUp forgets announcements of what this host has by now: a peer with nothing
// newer does not respond to a fetch, which would hold up others until its timeout.
func (c *Coordinator) forgetCaughtUp() {
	maps.DeleteFunc(c.peersAhead, func(_ netip.AddrPort, a announcement) bool {
		return a.version <= c.configVersion() && a.revision <= c.rosterRevision()
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
	c.mesh.Send(from, methodFetch, FetchRequest{Version: c.configVersion(), Revision: c.rosterRevision()})
}

// handleFetch sends a peer the published state that it lacks.
func (c *Coordinator) handleFetch(now time.Time, to netip.AddrPort, f FetchRequest) {
	var state PublishedState
	if c.configVersion() > f.Version {
		state.Config = c.encodedConfig()
	}
	if c.rosterRevision() > f.Revision {
		changed, gone, whole := c.roster.ChangesSince(f.Revision)
		state.Revision, state.Gone, state.Whole = c.rosterRevision(), gone, whole
		for _, t := range changed {
			state.Targets = append(state.Targets, Target{Target: t, ColdLeft: t.ColdUntil.Sub(now)})
		}
		for z := range c.roster.Snapshot().ZonesOut {
			state.Out = append(state.Out, z)
		}
	}
	if state.Config != nil || state.Revision > 0 {
		c.mesh.Send(to, methodFacts, state)
	}
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
	if state.Revision <= c.rosterRevision() {
		return
	}
	targets := make([]roster.Target, 0, len(state.Targets))
	for _, t := range state.Targets {
		t.Target.ColdUntil = time.Time{}
		if t.ColdLeft > 0 {
			t.Target.ColdUntil = now.Add(t.ColdLeft)
		}
		targets = append(targets, t.Target)
	}
	if state.Whole {
		c.applyListing(now, state.Revision, targets, state.Out)
		return
	}
	c.roster.ApplyChanges(now, state.Revision, targets, state.Gone, state.Out)
	c.rosterChanged(now)
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
