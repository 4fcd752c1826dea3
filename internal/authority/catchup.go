package authority

import (
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// mustCatchUp reports whether a planned promotion still waits for a replica to
// reach the position of the old primary, which is fenced first. The others stay
// unfenced meanwhile, so that they go on receiving its log.
func (p *promotion) mustCatchUp() bool {
	old, fenced := p.fenced[p.record().From]
	if !isPlanned(p.reason) || !fenced || p.majorityAt > 0 {
		return false
	}
	if p.step == stepCatchUp && p.m.now-p.stepAt > p.m.opts.CatchUpTimeout {
		return false
	}
	if p.step == stepFence {
		return false
	}
	for server, s := range p.caughtUp {
		if p.preference(server) == 0 && s.Term == old.Term && s.Position >= old.Position {
			return false
		}
	}
	return true
}

// pollReplicas asks the active replicas for their positions.
func (p *promotion) pollReplicas() {
	for _, s := range p.group().Servers {
		if s.ID != p.record().From && s.State == topology.ServerActive {
			p.admin(s.ID, txn.AdminStatus, p.onPolled)
		}
	}
}

func (p *promotion) onPolled(e AdminDone) {
	if !p.current() {
		return
	}
	p.nextTry[e.Request.Server] = p.m.now + p.m.opts.AdminRetry
	if e.Error != "" {
		return
	}
	p.caughtUp[e.Request.Server] = e.Status
	p.advance()
}
