package once

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/google/uuid"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"yuccadoor/core/model"
)

// process is one run of one host.
type process struct {
	table       *Table
	incarnation model.Incarnation
	list        *model.HostList
}

// world is several hosts whose lists lag behind each other, and the truth of
// what has run.
type world struct {
	t      *rapid.T
	now    time.Time
	lists  []*model.HostList // all published, newest last
	since  []time.Time       // when each was published
	hosts  []*process
	serial model.Incarnation
	keys   []Key
	ran    map[string]int
}

const worldHosts = 3

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.Unix(1_700_000_000, 0), ran: map[string]int{}}
	w.publish([]bool{true, true, true})
	for i := range worldHosts {
		w.hosts = append(w.hosts, nil)
		w.restart(i)
	}
	return w
}

func (w *world) publish(live []bool) {
	l := &model.HostList{Revision: model.Revision(len(w.lists) + 1)}
	for i, on := range live {
		state := model.Leaving
		if on {
			state = model.Live
		}
		l.Hosts = append(l.Hosts, model.Host{Peer: address(i), State: state})
	}
	w.lists = append(w.lists, l)
	w.since = append(w.since, w.now)
}

func (w *world) restart(i int) {
	w.serial++
	w.hosts[i] = &process{table: NewTable(address(i), w.serial), incarnation: w.serial}
	w.read(i, len(w.lists)-1)
}

// read lets a host read a list that is at most ListLag behind.
func (w *world) read(i, at int) {
	p := w.hosts[i]
	for at+1 < len(w.lists) && w.now.Sub(w.since[at+1]) >= MaxListLag {
		at++
	}
	l := w.lists[at]
	if p.list != nil && l.Revision < p.list.Revision {
		return
	}
	if p.list == nil || l.Revision > p.list.Revision {
		p.list = l
		p.table.SetHosts(w.now, l)
	}
	p.table.ConfirmList(w.now)
}

// send presents a key at a host, which may pass it on once.
func (w *world) send(i int, k Key) {
	verdict, _ := w.hosts[i].table.Begin(w.now, k, 1)
	if verdict == Forward {
		home, _ := w.hosts[i].table.Home(k)
		for j := range w.hosts {
			if address(j) == home {
				verdict, _ = w.hosts[j].table.Begin(w.now, k, 1)
			}
		}
	}
	if verdict == Run {
		w.ran[k.Text]++
		if w.ran[k.Text] > 1 {
			w.t.Fatalf("key of %s ran twice, at %s", k.Created, w.now)
		}
	}
}

func (w *world) makeKey(i int) {
	skew := time.Duration(rapid.IntRange(-int(MaxClockSkew/time.Millisecond), int(MaxClockSkew/time.Millisecond)).Draw(w.t, "skew")) * time.Millisecond
	if rapid.Bool().Draw(w.t, "issued") {
		k := Issue(address(i), w.hosts[i].incarnation, uint64(len(w.keys)), w.now)
		w.keys = append(w.keys, k)
		return
	}
	w.keys = append(w.keys, Key{Text: fmt.Sprint("key", len(w.keys)), Created: w.now.Add(skew)})
}

// No key ever runs twice, whatever hosts restart, leave and return, however
// their lists lag, and whoever the key is sent to.
func TestKeyNeverRunsTwice(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, worldHosts-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"key", "send", "send", "send", "pass", "pass", "leap", "read", "read", "publish", "restart"}).Draw(t, "step") {
			case "key":
				w.makeKey(i)
			case "send":
				if len(w.keys) > 0 {
					w.send(i, w.keys[rapid.IntRange(0, len(w.keys)-1).Draw(t, "key")])
				}
			case "pass":
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			case "leap":
				w.now = w.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			case "read":
				w.read(i, rapid.IntRange(0, len(w.lists)-1).Draw(t, "list"))
			case "publish":
				w.publish(rapid.SliceOfN(rapid.Bool(), worldHosts, worldHosts).Draw(t, "live"))
			case "restart":
				w.restart(i)
			}
		}
		runs += len(w.ran)
	})
	assert.Assert(t, runs > 0)
}

func TestKeysAreReadBackAsTheyWereMade(t *testing.T) {
	now := time.UnixMilli(1_700_000_000_123)
	issued := Issue(address(0), 7, 9, now)
	parsed, err := Parse(issued.Text)
	assert.NilError(t, err)
	assert.Equal(t, parsed, issued)

	id := uuid.Must(uuid.NewV7())
	parsed, err = Parse(id.String())
	assert.NilError(t, err)
	assert.Assert(t, time.Since(parsed.Created).Abs() < time.Minute)

	for _, bad := range []string{"", "mine", uuid.NewString(), issued.Text[1:]} {
		_, err := Parse(bad)
		assert.Assert(t, err != nil, "%q", bad)
	}
}

func FuzzParse(f *testing.F) {
	f.Add("0190163d-8694-739b-aea5-966c26f8ad90")
	f.Add(Issue(address(0), 1, 1, time.Unix(1, 0)).Text)
	f.Fuzz(func(t *testing.T, text string) {
		k, err := Parse(text)
		if err == nil && k.Text == "" {
			t.Fatal("a key without text")
		}
	})
}
