package routing

import "egretroad/internal/topology"

// Lost reports whether a change of primary dropped the write at mark m: a later term
// began at a lower log position. Positions up to the start of a later term are part of
// that term's log.
func Lost(g *topology.Group, m topology.Mark) bool {
	for _, start := range g.TermStarts {
		if start.Term > m.Term && start.Position < m.Position {
			return true
		}
	}
	return false
}
