package route

import (
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"yuccadoor/core/model"
	"yuccadoor/core/place"
)

func candidates(n int) []Candidate {
	cs := make([]Candidate, n)
	for i := range cs {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 80)
		cs[i] = Candidate{Target: model.Target{Address: a}, Hash: place.HashAddr(a), Local: true, Slots: 16}
	}
	return cs
}

func zero() uint64 { return 0 }

func TestAffinityPrefersHomeUntilItIsFull(t *testing.T) {
	r := &model.Request{PromptTokens: 512, Prefix: []uint64{1, 2, 3}}
	cs := candidates(8)
	home := Affinity{}.Pick(r, cs, zero)
	assert.Equal(t, Affinity{}.Pick(r, cs, func() uint64 { return 99 }), home, "the home depends on the random offset")
	cs[home].Running, cs[home].Waiting = 16, 16
	other := Affinity{}.Pick(r, cs, zero)
	assert.Assert(t, other != home, "a full target was preferred")
	cs[home].Running, cs[home].Waiting = 4, 0
	cs[other].CachedTokens = 512
	assert.Equal(t, Affinity{}.Pick(r, cs, zero), other, "the target with the cached prefix was not picked")
}

func TestPoliciesNeverPickAnExcludedTarget(t *testing.T) {
	for _, name := range PolicyNames() {
		p, ok := PolicyByName(name)
		assert.Assert(t, ok)
		cs := candidates(5)
		for left := 5; left > 0; left-- {
			index := p.Pick(&model.Request{}, cs, zero)
			assert.Assert(t, index >= 0 && !cs[index].Excluded, "%s picked %d with %d left", name, index, left)
			cs[index].Excluded = true
		}
		assert.Equal(t, p.Pick(&model.Request{}, cs, zero), -1, name)
	}
}

func BenchmarkPickAmong600(b *testing.B) {
	r := &model.Request{PromptTokens: 512, Prefix: []uint64{1, 2, 3}}
	for _, name := range PolicyNames() {
		p, _ := PolicyByName(name)
		cs := candidates(600)
		b.Run(name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				p.Pick(r, cs, zero)
			}
		})
	}
}
