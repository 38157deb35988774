package permit

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"yuccadoor/core/conf"
	"yuccadoor/core/limit"
	"yuccadoor/core/model"
	"yuccadoor/core/view"
)

// fullSizeList returns a host list of the largest size that the system is designed for,
// 320 hosts and 600 targets in seven availability zones, with all hosts alive.
func fullSizeList() (*model.HostList, map[netip.AddrPort]bool) {
	l, alive := &model.HostList{Revision: 1}, map[netip.AddrPort]bool{}
	for i := range 320 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
		l.Hosts = append(l.Hosts, model.Host{Peer: a, Front: a, Zone: fmt.Sprint("zone-", i%7), State: model.Live})
		alive[a] = true
	}
	for i := range 600 {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		l.Targets = append(l.Targets, model.Target{Address: a, Service: "lm", Zone: fmt.Sprint("zone-", i%7), State: model.Live})
	}
	return l, alive
}

func BenchmarkViewAtPlan(b *testing.B) {
	l, alive := fullSizeList()
	c, err := conf.Parse("full size", []byte(clusterConfig), 1)
	assert.NilError(b, err)
	b.ReportAllocs()
	for b.Loop() {
		view.New(l.Hosts[0].Peer, "zone-0", c, l, alive)
	}
}

func BenchmarkListBytesAtPlan(b *testing.B) {
	l, _ := fullSizeList()
	var raw []byte
	for b.Loop() {
		raw, _ = json.Marshal(l)
	}
	b.ReportMetric(float64(len(raw)), "bytes")
}

// BenchmarkPermitCycle measures asking for, granting and releasing one permit between
// two hosts, and reports the size of the encoded messages.
func BenchmarkPermitCycle(b *testing.B) {
	t := &testing.T{}
	p := newPair(t)
	bytes := 0
	ticket := Ticket(0)
	b.ReportAllocs()
	for b.Loop() {
		ticket++
		p.ask(ticket)
		bytes += p.deliverEncoded()
		p.holder.Release(ticket, p.target, limit.Result{Kind: limit.Completed, Pace: time.Millisecond, Units: 300})
		bytes += p.deliverEncoded()
	}
	b.ReportMetric(float64(bytes)/float64(b.N), "bytes/permit")
}

// deliverEncoded delivers the pending messages of both sides as JSON and returns their
// total length.
func (p *pair) deliverEncoded() int {
	length := 0
	for _, out := range p.holder.Flush(p.now) {
		raw, _ := json.Marshal(out.Message)
		length += len(raw)
		var in FromHolder
		_ = json.Unmarshal(raw, &in)
		p.manager.Receive(p.now, p.holderAddress, in)
	}
	for _, out := range p.manager.Flush() {
		raw, _ := json.Marshal(out.Message)
		length += len(raw)
		var in FromManager
		_ = json.Unmarshal(raw, &in)
		p.holder.Receive(p.managerAddress, in, p.manager)
	}
	return length
}
