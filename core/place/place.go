// Package place assigns keys to candidates by rendezvous hashing (highest random
// weight): hosts that see the same candidates pick the same owner for a key, and
// adding or removing a candidate moves only the keys that it owns.
package place

import (
	"encoding/binary"
	"net/netip"

	"github.com/cespare/xxhash/v2"
)

// Score is the weight of a candidate for a key. The candidate with the highest
// weight owns the key.
func Score(key uint64, candidate netip.AddrPort) uint64 {
	var buffer [26]byte
	address := candidate.Addr().As16()
	binary.LittleEndian.PutUint64(buffer[0:8], key)
	copy(buffer[8:24], address[:])
	binary.LittleEndian.PutUint16(buffer[24:26], candidate.Port())
	return xxhash.Sum64(buffer[:])
}

// Owner returns the candidate that owns a key; false if there are no candidates.
func Owner(key uint64, candidates []netip.AddrPort) (netip.AddrPort, bool) {
	var owner netip.AddrPort
	var best uint64
	for i, c := range candidates {
		if s := Score(key, c); i == 0 || s > best {
			owner, best = c, s
		}
	}
	return owner, len(candidates) > 0
}

// HashAddr hashes an address, for use as a key or as FastScore's candidate.
func HashAddr(a netip.AddrPort) uint64 { return Score(0, a) }

// HashString hashes a string, for use as a key.
func HashString(s string) uint64 { return xxhash.Sum64String(s) }

// Multipliers of the splitmix64 finalizer, in which every input bit affects every
// output bit.
const (
	splitmixFirst  = 0xbf58476d1ce4e5b9
	splitmixSecond = 0x94d049bb133111eb
)

// FastScore is a cheaper alternative to Score; the candidate is given as its
// HashAddr. The weights of the two functions are unrelated.
func FastScore(key, candidate uint64) uint64 {
	x := key ^ candidate
	x = (x ^ (x >> 30)) * splitmixFirst
	x = (x ^ (x >> 27)) * splitmixSecond
	return x ^ (x >> 31)
}
