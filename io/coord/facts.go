package coord

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"io"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"yuccadoor/core/hosts"
	"yuccadoor/core/notice"
	"yuccadoor/core/roster"
	"yuccadoor/core/routes"
	"yuccadoor/io/pack"
)

// Methods between hosts.
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

// Beat tells that hosts are alive, the sender first, and what the sender knows.
type Beat struct {
	Beats    []hosts.Heartbeat `cbor:"1,keyasint,omitempty"`
	Version  uint64            `cbor:"2,keyasint,omitempty"` // of the configuration; 0 for none
	Revision uint64            `cbor:"3,keyasint,omitempty"` // of the roster; 0 for none
}

// Fetch asks for what is newer than the given.
type Fetch struct {
	Version  uint64
	Revision uint64
}

// Facts are what the operators and targets have published, as one host passes it
// to another.
type Facts struct {
	Config   []byte `json:",omitempty"` // packed; see pack
	Revision uint64 // up to which targets and zones are told; 0 when they are not
	Whole    bool   `json:",omitempty"` // Targets are all there are, else what has changed
	Targets  []Target
	Gone     []roster.Removal
	Out      []string // availability zones taken out, all
}

// Target is one target with its cold time as seen from the sender.
type Target struct {
	roster.Target
	ColdLeft time.Duration
}

func (c *Coord) decode(from netip.AddrPort, method string, params json.RawMessage) (event, error) {
	switch method {
	case methodBeat:
		return unpacked(params, func(now time.Time, b Beat) { c.heard(now, from, b) })
	case methodFetch:
		return into(params, func(now time.Time, f Fetch) { c.answer(now, from, f) })
	case methodFacts:
		return into(params, func(now time.Time, f Facts) { c.learn(now, from, f) })
	case methodAsks:
		return unpacked(params, func(now time.Time, a Asks) { c.takeAsks(now, from, a) })
	case methodSync:
		return unpacked(params, func(now time.Time, s Sync) { c.takeSync(now, from, s) })
	case methodVerdicts:
		return unpacked(params, func(_ time.Time, v Verdicts) { c.takeVerdicts(from, v) })
	case methodCrashes:
		return unpacked(params, func(now time.Time, m Crashes) { c.takeCrashes(now, m) })
	case methodNotices:
		return unpacked(params, func(now time.Time, n []notice.Notice) { c.note(now, from, n) })
	case methodDeparted:
		return unpacked(params, func(now time.Time, d []roster.Departure) { c.depart(now, d) })
	case methodResync:
		return func(time.Time) {
			if from == c.leader {
				c.synced = false
			}
		}, nil
	}
	return nil, errors.Errorf("unknown method %q", method)
}

func into[T any](params json.RawMessage, do func(now time.Time, t T)) (event, error) {
	var t T
	if err := json.Unmarshal(params, &t); err != nil {
		return nil, err
	}
	return func(now time.Time) { do(now, t) }, nil
}

// unpacked is into for the messages that are packed, those of every request and
// beat.
func unpacked[T any](params json.RawMessage, do func(now time.Time, t T)) (event, error) {
	return into(params, func(now time.Time, p pack.Packed[T]) { do(now, p.Value) })
}

func (c *Coord) version() uint64 {
	if c.config == nil {
		return 0
	}
	return c.config.Version
}

func (c *Coord) revision() uint64 {
	if !c.listed {
		return 0
	}
	return c.roster.Revision()
}

// beat tells other hosts that this one is alive.
func (c *Coord) beat(now time.Time) {
	b := Beat{Beats: append([]hosts.Heartbeat{c.hosts.NextHeartbeat(now)}, c.hosts.Digest(now)...), Version: c.version(), Revision: c.revision()}
	for _, to := range c.hosts.Recipients(now) {
		c.mesh.Send(to, methodBeat, pack.Of(b))
	}
}

func (c *Coord) heard(now time.Time, from netip.AddrPort, b Beat) {
	if c.hosts.Receive(now, b.Beats...) {
		c.elect(now)
	}
	if b.Version <= c.version() && b.Revision <= c.revision() {
		delete(c.behind, from)
		return
	}
	if c.behind[from].IsZero() {
		c.behind[from] = now
	}
}

// fetchBehind asks a peer that knows more, one at a time and rather one of the
// own zone. A host that reads the store itself waits for that first.
func (c *Coord) fetchBehind(now time.Time) {
	if now.Sub(c.fetchedAt) < fetchPeriod || len(c.behind) == 0 {
		return
	}
	var from netip.AddrPort
	for peer, since := range c.behind {
		if now.Sub(since) < behindFor && c.reading && c.listed && c.config != nil {
			continue
		}
		if !from.IsValid() || c.hosts.Zone(peer) == c.settings.Zone {
			from = peer
		}
	}
	if !from.IsValid() {
		return
	}
	c.fetchedAt = now
	// If it does not answer, another one is asked.
	delete(c.behind, from)
	c.mesh.Send(from, methodFetch, Fetch{Version: c.version(), Revision: c.revision()})
}

// answer tells a peer what it does not know.
func (c *Coord) answer(now time.Time, to netip.AddrPort, f Fetch) {
	var facts Facts
	if c.version() > f.Version {
		facts.Config = c.packed()
	}
	if c.revision() > f.Revision {
		changed, gone, whole := c.roster.ChangesSince(f.Revision)
		facts.Revision, facts.Gone, facts.Whole = c.revision(), gone, whole
		for _, t := range changed {
			facts.Targets = append(facts.Targets, Target{Target: t, ColdLeft: t.ColdUntil.Sub(now)})
		}
		for z := range c.roster.Snapshot().ZonesOut {
			facts.Out = append(facts.Out, z)
		}
	}
	if facts.Config != nil || facts.Revision > 0 {
		c.mesh.Send(to, methodFacts, facts)
	}
}

// packed is the configuration as it is passed on, made once a version.
func (c *Coord) packed() []byte {
	if c.pack == nil {
		pack, err := compress(c.config)
		if err != nil {
			c.settings.Log.Event("error", "configuration not passed on", "Version", c.version(), "Error", err)
			return nil
		}
		c.pack = pack
	}
	return c.pack
}

// learn takes in what a peer knows.
func (c *Coord) learn(now time.Time, from netip.AddrPort, f Facts) {
	delete(c.behind, from)
	c.fetchedAt = time.Time{}
	if f.Config != nil {
		config, err := expand(f.Config)
		if err != nil {
			c.settings.Log.Event("warn", "configuration of host not understood", "From", from, "Error", err)
		} else {
			c.adopt(now, config.Index(), "host "+from.String())
		}
	}
	if f.Revision <= c.revision() {
		return
	}
	targets := make([]roster.Target, 0, len(f.Targets))
	for _, t := range f.Targets {
		t.Target.ColdUntil = time.Time{}
		if t.ColdLeft > 0 {
			t.Target.ColdUntil = now.Add(t.ColdLeft)
		}
		targets = append(targets, t.Target)
	}
	if f.Whole {
		c.listing(now, f.Revision, targets, f.Out)
		return
	}
	c.roster.ApplyChanges(now, f.Revision, targets, f.Gone, f.Out)
	c.rosterChanged(now)
}

// maxConfig bounds an unpacked configuration.
const maxConfig = 8 << 20

// compress makes a configuration short: it repeats itself.
func compress(config *routes.Config) ([]byte, error) {
	var b bytes.Buffer
	z := gzip.NewWriter(&b)
	if err := json.NewEncoder(z).Encode(config); err != nil {
		return nil, errors.Wrap(err, "pack the configuration")
	}
	if err := z.Close(); err != nil {
		return nil, errors.Wrap(err, "pack the configuration")
	}
	return b.Bytes(), nil
}

func expand(packed []byte) (*routes.Config, error) {
	z, err := gzip.NewReader(bytes.NewReader(packed))
	if err != nil {
		return nil, errors.Wrap(err, "unpack the configuration")
	}
	var config routes.Config
	err = json.NewDecoder(io.LimitReader(z, maxConfig)).Decode(&config)
	return &config, errors.Wrap(err, "unpack the configuration")
}

// announce tells others at once that there is a new configuration: a host that
// has read it tells all, one that has heard of it tells a few.
func (c *Coord) announce(now time.Time) {
	if c.mesh == nil {
		return
	}
	to := c.hosts.Recipients(now)
	if c.reading {
		to = c.hosts.Alive(now)
	}
	b := Beat{Beats: []hosts.Heartbeat{c.hosts.NextHeartbeat(now)}, Version: c.version(), Revision: c.revision()}
	for _, h := range to {
		c.mesh.Send(h, methodBeat, pack.Of(b))
	}
}
