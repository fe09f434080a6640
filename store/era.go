package store

import "cmp"

// Era counts how often the store was restored to an older state. A restored store assigns versions again
// that it had assigned before, so that versions are comparable within one era only. 0 is the era of a store
// that does not report any.
type Era uint64

// Position orders the versions of a store across its eras.
type Position struct {
	Era     Era
	Version Version
}

// Compare returns a negative number if p is earlier than q, 0 if they are the same, and a positive number if p
// is later.
func (p Position) Compare(q Position) int {
	return cmp.Or(cmp.Compare(p.Era, q.Era), cmp.Compare(p.Version, q.Version))
}
