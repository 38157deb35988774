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

// process is one incarnation of a host.
type process struct {
	table       *Table
	incarnation model.Incarnation
	list        *model.HostList
}

// cluster simulates several hosts whose lists of hosts lag by different times, and counts
// the runs of each key.
type cluster struct {
	t      *rapid.T
	now    time.Time
	lists  []*model.HostList // all published, newest last
	since  []time.Time       // when each was published
	hosts  []*process
	serial model.Incarnation
	keys   []Key
	ran    map[string]int
}

const clusterHosts = 3

func address(i int) netip.AddrPort {
	return netip.MustParseAddrPort(fmt.Sprintf("10.0.0.%d:1", i+1))
}

func newCluster(t *rapid.T) *cluster {
	c := &cluster{t: t, now: time.Unix(1_700_000_000, 0), ran: map[string]int{}}
	c.publish([]bool{true, true, true})
	for i := range clusterHosts {
		c.hosts = append(c.hosts, nil)
		c.restart(i)
	}
	return c
}

func (c *cluster) publish(live []bool) {
	l := &model.HostList{Revision: model.Revision(len(c.lists) + 1)}
	for i, on := range live {
		state := model.Leaving
		if on {
			state = model.Live
		}
		l.Hosts = append(l.Hosts, model.Host{Peer: address(i), State: state})
	}
	c.lists = append(c.lists, l)
	c.since = append(c.since, c.now)
}

func (c *cluster) restart(i int) {
	c.serial++
	c.hosts[i] = &process{table: NewTable(address(i), c.serial), incarnation: c.serial}
	c.read(i, len(c.lists)-1)
}

// read lets a host read a list that is at most MaxListLag behind.
func (c *cluster) read(i, at int) {
	p := c.hosts[i]
	for at+1 < len(c.lists) && c.now.Sub(c.since[at+1]) >= MaxListLag {
		at++
	}
	l := c.lists[at]
	if p.list != nil && l.Revision < p.list.Revision {
		return
	}
	if p.list == nil || l.Revision > p.list.Revision {
		p.list = l
		p.table.SetHosts(c.now, l)
	}
	p.table.ConfirmList(c.now)
}

// send sends a request with a key to a host, which may forward it once.
func (c *cluster) send(i int, k Key) {
	verdict, _ := c.hosts[i].table.Begin(c.now, k, 1)
	if verdict == Forward {
		home, _ := c.hosts[i].table.Home(k)
		for j := range c.hosts {
			if address(j) == home {
				verdict, _ = c.hosts[j].table.Begin(c.now, k, 1)
			}
		}
	}
	if verdict == Run {
		c.ran[k.Text]++
		if c.ran[k.Text] > 1 {
			c.t.Fatalf("key created at %s ran twice, the second time at %s", k.Created, c.now)
		}
	}
}

func (c *cluster) makeKey(i int) {
	skew := time.Duration(rapid.IntRange(-int(MaxClockSkew/time.Millisecond), int(MaxClockSkew/time.Millisecond)).Draw(c.t, "skew")) * time.Millisecond
	if rapid.Bool().Draw(c.t, "issued") {
		k := Issue(address(i), c.hosts[i].incarnation, uint64(len(c.keys)), c.now)
		c.keys = append(c.keys, k)
		return
	}
	c.keys = append(c.keys, Key{Text: fmt.Sprint("key", len(c.keys)), Created: c.now.Add(skew)})
}

// No key runs twice, however hosts restart, leave, return and read outdated lists, and
// whichever hosts get its requests.
func TestKeyNeverRunsTwice(t *testing.T) {
	runs := 0
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(t)
		for range rapid.IntRange(30, 200).Draw(t, "steps") {
			i := rapid.IntRange(0, clusterHosts-1).Draw(t, "host")
			switch rapid.SampledFrom([]string{"key", "send", "send", "send", "advance", "advance", "skip", "read", "read", "publish", "restart"}).Draw(t, "step") {
			case "key":
				c.makeKey(i)
			case "send":
				if len(c.keys) > 0 {
					c.send(i, c.keys[rapid.IntRange(0, len(c.keys)-1).Draw(t, "key")])
				}
			case "advance":
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 12000).Draw(t, "ms")) * time.Millisecond)
			case "skip":
				c.now = c.now.Add(time.Duration(rapid.IntRange(1, 400).Draw(t, "seconds")) * time.Second)
			case "read":
				c.read(i, rapid.IntRange(0, len(c.lists)-1).Draw(t, "list"))
			case "publish":
				c.publish(rapid.SliceOfN(rapid.Bool(), clusterHosts, clusterHosts).Draw(t, "live"))
			case "restart":
				c.restart(i)
			}
		}
		runs += len(c.ran)
	})
	assert.Assert(t, runs > 0)
}

func TestParseReturnsTheIssuedKey(t *testing.T) {
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
			t.Fatal("parsed key has no text")
		}
	})
}
