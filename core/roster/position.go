package roster

import "cmp"

// Position is a position in the store's sequence of changes. A store that is restored
// from an older copy begins a new era, in which it gives out revisions again: revisions
// alone order changes within one era only.
type Position struct {
	Era      uint64 // 0 for a store that names none
	Revision uint64
}

// Compare returns -1, 0 or +1 if p is before, at or after q.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Revision, q.Revision))
}

// After reports whether p is after q.
func (p Position) After(q Position) bool { return p.Compare(q) > 0 }

func later(p, q Position) Position {
	if q.After(p) {
		return q
	}
	return p
}
