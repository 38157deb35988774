// Package once prevents requests with an idempotency key from running twice. Every key
// has one home host, and only that host dispatches requests with the key.
//
// A key issued by a host contains that host's address and incarnation; no other process
// can be its home. A key made by a caller is a version 7 UUID, which contains its
// creation time; its home is computed from the platform's list of hosts. A home that
// cannot know whether an earlier home ran the request reports that and runs nothing.
package once

import (
	"encoding/base64"
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/google/uuid"
	"github.com/pkg/errors"

	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

// Limits of the contract with callers.
const (
	Retention    = 10 * time.Minute // a key is valid for this long after its creation
	MaxClockSkew = 5 * time.Second  // callers' clocks differ from the hosts' by at most this
	MaxListAge   = 5 * time.Second  // a home acts only on a list that was confirmed at most this long ago
	MaxListLag   = 5 * time.Second  // the platform returns a list that is at most this old
	maxKeys      = 30_000           // keys in one Table
)

// issuedBytes is the length of an issued key before base64 encoding: address 16 bytes,
// port 2, incarnation 8, serial 8, creation time 8.
const issuedBytes = 42

// Key is a parsed idempotency key.
type Key struct {
	Text        string
	Created     time.Time
	Issuer      netip.AddrPort    // invalid for a key made by a caller
	Incarnation model.Incarnation // of the issuer
}

// Issue creates a key whose home is this process.
func Issue(self netip.AddrPort, incarnation model.Incarnation, serial uint64, now time.Time) Key {
	var raw [issuedBytes]byte
	address := self.Addr().As16()
	copy(raw[0:16], address[:])
	binary.BigEndian.PutUint16(raw[16:18], self.Port())
	binary.BigEndian.PutUint64(raw[18:26], uint64(incarnation))
	binary.BigEndian.PutUint64(raw[26:34], serial)
	binary.BigEndian.PutUint64(raw[34:42], uint64(now.UnixMilli()))
	return Key{
		Text: base64.RawURLEncoding.EncodeToString(raw[:]), Created: now.Truncate(time.Millisecond),
		Issuer: self, Incarnation: incarnation,
	}
}

// Parse parses a key that was made by a caller or issued by a host.
func Parse(text string) (Key, error) {
	if id, err := uuid.Parse(text); err == nil {
		if id.Version() != 7 {
			return Key{}, errors.Errorf("parse key: a UUID of version %d; version 7 is needed, since it carries its time", id.Version())
		}
		sec, nsec := id.Time().UnixTime()
		return Key{Text: id.String(), Created: time.Unix(sec, nsec)}, nil
	}
	raw, err := base64.RawURLEncoding.DecodeString(text)
	if err != nil || len(raw) != issuedBytes {
		return Key{}, errors.New("parse key: neither a version 7 UUID nor a key issued by POST /keys")
	}
	address := netip.AddrFrom16([16]byte(raw[0:16])).Unmap()
	return Key{
		Text:        text,
		Issuer:      netip.AddrPortFrom(address, binary.BigEndian.Uint16(raw[16:18])),
		Incarnation: model.Incarnation(binary.BigEndian.Uint64(raw[18:26])),
		Created:     time.UnixMilli(int64(binary.BigEndian.Uint64(raw[34:42]))),
	}, nil
}

// Verdict says how to handle a request with a key.
type Verdict string

// The verdicts.
const (
	Run     Verdict = "Run"     // first request with the key; run it
	Forward Verdict = "Forward" // another host is the home of the key
	Repeat  Verdict = "Repeat"  // the key was seen before; Entry holds the state of its request
	Unknown Verdict = "Unknown" // an earlier home may have run the request; run nothing
	Expired Verdict = "Expired" // the key is past its retention; run nothing
	Early   Verdict = "Early"   // the key's creation time is in the future
	Stale   Verdict = "Stale"   // this host's list is too old for it to act as the home
	Busy    Verdict = "Busy"    // the table is full
)

// Entry is the state of the request of a key.
type Entry struct {
	Done    bool
	Ran     model.Execution   // whether the request ran, when Done without a response
	Status  int               // of the response
	Type    string            // media type of the response
	Body    []byte            // of the response, if it was small enough to keep
	Digest  model.Fingerprint // of the request's content
	expires time.Time
}

// Table holds one host's keys. It is not safe for concurrent use.
type Table struct {
	self        netip.AddrPort
	incarnation model.Incarnation
	hosts       []netip.AddrPort
	confirmedAt time.Time    // when the list of hosts was last current
	lists       []listChange // in use within the last Retention, oldest first
	entries     map[string]*Entry
	sweptAt     time.Time
}

// listChange is a list of live hosts and when this process started to use it.
type listChange struct {
	hosts []netip.AddrPort
	at    time.Time
}

// NewTable returns the empty table of a process that has just started.
func NewTable(self netip.AddrPort, incarnation model.Incarnation) *Table {
	return &Table{self: self, incarnation: incarnation, entries: map[string]*Entry{}}
}

// SetHosts sets the platform's list of hosts, read at the given time. Only live hosts
// can be a home. It keeps the lists that were in use within the last Retention.
func (t *Table) SetHosts(now time.Time, l *model.HostList) {
	var hosts []netip.AddrPort
	for _, h := range l.Hosts {
		if h.State == model.Live {
			hosts = append(hosts, h.Peer)
		}
	}
	t.hosts = hosts
	t.lists = append(t.lists, listChange{hosts: hosts, at: now})
	for len(t.lists) > 1 && now.Sub(t.lists[1].at) > Retention {
		t.lists = t.lists[1:]
	}
}

// ConfirmList records that the list of hosts was current at the given time.
func (t *Table) ConfirmList(at time.Time) { t.confirmedAt = at }

// Home returns the only host that may dispatch requests with the key.
func (t *Table) Home(k Key) (netip.AddrPort, bool) {
	if k.Issuer.IsValid() {
		return k.Issuer, true
	}
	return place.Owner(place.HashString(k.Text), t.hosts)
}

// homeSince returns when this process last became the home of a key made by a caller.
func (t *Table) homeSince(k Key) time.Time {
	duty := place.HashString(k.Text)
	since := t.lists[len(t.lists)-1].at
	for i := len(t.lists) - 1; i >= 0; i-- {
		if home, _ := place.Owner(duty, t.lists[i].hosts); home != t.self {
			break
		}
		since = t.lists[i].at
	}
	return since
}

// Begin decides how to handle a request with a key. digest identifies the content of the
// request.
func (t *Table) Begin(now time.Time, k Key, digest model.Fingerprint) (Verdict, *Entry) {
	t.sweep(now)
	home, ok := t.Home(k)
	if !ok {
		return Stale, nil
	}
	if home != t.self {
		return Forward, nil
	}
	if e := t.entries[k.Text]; e != nil {
		return Repeat, e
	}
	if v := t.firstUse(now, k); v != Run {
		return v, nil
	}
	t.entries[k.Text] = &Entry{Digest: digest, expires: k.Created.Add(Retention + MaxClockSkew)}
	return Run, nil
}

// firstUse decides on a key that this process has not seen.
func (t *Table) firstUse(now time.Time, k Key) Verdict {
	switch {
	case now.Sub(k.Created) > Retention-MaxClockSkew:
		return Expired
	case k.Created.Sub(now) > MaxClockSkew:
		return Early
	case len(t.entries) >= maxKeys:
		return Busy
	case k.Issuer.IsValid():
		if k.Incarnation != t.incarnation {
			return Unknown // issued by an earlier process at this address
		}
		return Run
	case now.Sub(t.confirmedAt) > MaxListAge:
		return Stale
	case k.Created.Before(t.homeSince(k).Add(MaxListAge + MaxListLag + MaxClockSkew)):
		return Unknown // an earlier home may have run it
	}
	return Run
}

// Forget removes a key whose request certainly did not run, so that the caller may send
// it again.
func (t *Table) Forget(k Key) { delete(t.entries, k.Text) }

// Complete records how the request of a key ended.
func (t *Table) Complete(k Key, e Entry) {
	old := t.entries[k.Text]
	if old == nil {
		return
	}
	e.Done, e.Digest, e.expires = true, old.Digest, old.expires
	t.entries[k.Text] = &e
}

// sweep deletes the entries whose keys would get the verdict Expired. It runs at most
// once a second.
func (t *Table) sweep(now time.Time) {
	if now.Sub(t.sweptAt) < time.Second {
		return
	}
	t.sweptAt = now
	for text, e := range t.entries {
		if e.expires.Before(now) {
			delete(t.entries, text)
		}
	}
}

// Len returns the number of keys in the table.
func (t *Table) Len() int { return len(t.entries) }
