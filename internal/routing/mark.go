package routing

import "egretroad/internal/topology"

// Lost reports whether the write at mark m was dropped by a change of primary:
// a later term began at a log position before it. Marks at or before that
// position are part of the later term's log.
func Lost(g *topology.Group, m topology.Mark) bool {
	for _, start := range g.TermStarts {
		if start.Term > m.Term && start.Position < m.Position {
			return true
		}
	}
	return false
}
