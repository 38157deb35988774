// Package once keeps keyed requests from running twice. Every key has one home
// host, and only its home ever dispatches it.
//
// A key issued by a host names that host and its incarnation; no other process
// can be its home. A caller's own key is a version 7 UUID, whose time says when
// it was made; its home follows from the platform's list. A home that cannot
// know whether an earlier home ran the key says so, and runs nothing.
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

// Times of the contract with callers.
const (
	Retention = 10 * time.Minute // a key is good for this long after it was made
	Skew      = 5 * time.Second  // callers' clocks are this near to the hosts'
	ListAge   = 5 * time.Second  // a home acts on a list read at most this long ago
	ListLag   = 5 * time.Second  // the platform's list is at most this old
	maxKeys   = 30_000
)

// issuedBytes is the length of an issued key before its text form: address 16,
// port 2, incarnation 8, serial 8, time 8.
const issuedBytes = 42

// Key is a parsed key.
type Key struct {
	Text        string
	Made        time.Time
	Issuer      netip.AddrPort    // invalid for a caller's own key
	Incarnation model.Incarnation // of the issuer
}

// Issue makes a key of which this process is the home.
func Issue(self netip.AddrPort, incarnation model.Incarnation, serial uint64, now time.Time) Key {
	var raw [issuedBytes]byte
	address := self.Addr().As16()
	copy(raw[0:16], address[:])
	binary.BigEndian.PutUint16(raw[16:18], self.Port())
	binary.BigEndian.PutUint64(raw[18:26], uint64(incarnation))
	binary.BigEndian.PutUint64(raw[26:34], serial)
	binary.BigEndian.PutUint64(raw[34:42], uint64(now.UnixMilli()))
	return Key{
		Text: base64.RawURLEncoding.EncodeToString(raw[:]), Made: now.Truncate(time.Millisecond),
		Issuer: self, Incarnation: incarnation,
	}
}

// Parse reads a key of either form.
func Parse(text string) (Key, error) {
	if id, err := uuid.Parse(text); err == nil {
		if id.Version() != 7 {
			return Key{}, errors.Errorf("parse key: a UUID of version %d; version 7 is needed, since it carries its time", id.Version())
		}
		sec, nsec := id.Time().UnixTime()
		return Key{Text: id.String(), Made: time.Unix(sec, nsec)}, nil
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
		Made:        time.UnixMilli(int64(binary.BigEndian.Uint64(raw[34:42]))),
	}, nil
}

// Verdict is what to do with a keyed request.
type Verdict string

// The verdicts on a keyed request.
const (
	Run     Verdict = "Run"     // this is the first time; run it
	Forward Verdict = "Forward" // another host is its home
	Repeat  Verdict = "Repeat"  // it was seen before; Entry tells how it stands
	Unknown Verdict = "Unknown" // it may have run elsewhere; run nothing
	Expired Verdict = "Expired" // the key is too old to know; run nothing
	Early   Verdict = "Early"   // the key's time is in the future
	Stale   Verdict = "Stale"   // this host's list is too old to act as a home
	Busy    Verdict = "Busy"    // no room for another key
)

// Entry is how a key seen before stands.
type Entry struct {
	Done    bool
	Ran     model.Execution // when Done without an answer
	Status  int             // of the answer
	Type    string          // media type of the answer
	Body    []byte          // of the answer, when it was small enough to keep
	Digest  model.Fingerprint
	expires time.Time
}

// Table is one host's knowledge of keys. One goroutine owns it.
type Table struct {
	self        netip.AddrPort
	incarnation model.Incarnation
	hosts       []netip.AddrPort
	readAt      time.Time
	lists       []listChange
	entries     map[string]*Entry
	sweptAt     time.Time
}

// listChange is a list of hosts and when this process adopted it.
type listChange struct {
	hosts []netip.AddrPort
	at    time.Time
}

// NewTable returns the knowledge of a process that has just started.
func NewTable(self netip.AddrPort, incarnation model.Incarnation) *Table {
	return &Table{self: self, incarnation: incarnation, entries: map[string]*Entry{}}
}

// Adopt takes in the platform's list of hosts, read at the given time.
func (t *Table) Adopt(now time.Time, l *model.HostList) {
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

// Fresh notes that the list in hand was current at the given time.
func (t *Table) Fresh(at time.Time) { t.readAt = at }

// Home is the host that alone may dispatch a key.
func (t *Table) Home(k Key) (netip.AddrPort, bool) {
	if k.Issuer.IsValid() {
		return k.Issuer, true
	}
	return place.Owner(place.HashString(k.Text), t.hosts)
}

// homeSince is when this process last became the home of a caller's key.
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

// Begin decides on a keyed request. digest identifies its content.
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
	if v := t.first(now, k); v != Run {
		return v, nil
	}
	t.entries[k.Text] = &Entry{Digest: digest, expires: k.Made.Add(Retention + Skew)}
	return Run, nil
}

// first decides on a key that this process has not seen.
func (t *Table) first(now time.Time, k Key) Verdict {
	switch {
	case now.Sub(k.Made) > Retention-Skew:
		return Expired
	case k.Made.Sub(now) > Skew:
		return Early
	case len(t.entries) >= maxKeys:
		return Busy
	case k.Issuer.IsValid():
		if k.Incarnation != t.incarnation {
			return Unknown // issued by an earlier process at this address
		}
		return Run
	case now.Sub(t.readAt) > ListAge:
		return Stale
	case k.Made.Before(t.homeSince(k).Add(ListAge + ListLag + Skew)):
		return Unknown // an earlier home may have run it
	}
	return Run
}

// NotRun forgets a key whose request certainly did not run, so that the caller
// may send it again.
func (t *Table) NotRun(k Key) { delete(t.entries, k.Text) }

// Done records how a key's request ended.
func (t *Table) Done(k Key, e Entry) {
	was := t.entries[k.Text]
	if was == nil {
		return
	}
	e.Done, e.Digest, e.expires = true, was.Digest, was.expires
	t.entries[k.Text] = &e
}

// sweep drops entries whose keys would be refused as expired.
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

// Len is the number of keys kept.
func (t *Table) Len() int { return len(t.entries) }
