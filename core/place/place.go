// Package place spreads duties over hosts by rendezvous hashing: every host
// that sees the same candidates picks the same owner, and a change of one
// candidate moves only that candidate's duties.
package place

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of one candidate for one duty. The highest owns it.
func Score(duty uint64, candidate netip.AddrPort) uint64 {
	var buffer [26]byte
	address := candidate.Addr().As16()
	binary.LittleEndian.PutUint64(buffer[0:8], duty)
	copy(buffer[8:24], address[:])
	binary.LittleEndian.PutUint16(buffer[24:26], candidate.Port())
	return xxhash.Sum64(buffer[:])
}

// Owner picks the candidate that owns a duty; false when there is none.
func Owner(duty uint64, candidates []netip.AddrPort) (netip.AddrPort, bool) {
	var owner netip.AddrPort
	var best uint64
	for i, c := range candidates {
		if s := Score(duty, c); i == 0 || s > best {
			owner, best = c, s
		}
	}
	return owner, len(candidates) > 0
}

// HashAddr gives the duty number of an address.
func HashAddr(a netip.AddrPort) uint64 { return Score(0, a) }

// HashString gives the duty number of a text.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// Constants of the splitmix64 finalizer, which spreads every bit of its input.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// FastScore is a cheap weight of one candidate, given by its DutyOf, for one duty.
func FastScore(duty, candidate uint64) uint64 {
	x := duty ^ candidate
	x = (x ^ (x >> 30)) * mixFirst
	x = (x ^ (x >> 27)) * mixSecond
	return x ^ (x >> 31)
}
