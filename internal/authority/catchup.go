package authority

import (
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// awaitsCatchUp reports whether a planned promotion still waits for a replica to
// reach the position of the old primary, which is fenced first. The other servers
// stay unfenced meanwhile, so that they continue to receive its log.
func (p *promotion) awaitsCatchUp() bool {
	oldPrimary, fenced := p.fenced[p.record().From]
	if !isPlanned(p.reason) || !fenced || p.majorityFencedAt > 0 {
		return false
	}
	if p.step == stepCatchUp && p.m.now-p.stepStartedAt > p.m.opts.CatchUpTimeout {
		return false
	}
	if p.step == stepFence {
		return false
	}
	for server, s := range p.replicaStatus {
		if p.candidatePreference(server) == 0 && s.Term == oldPrimary.Term && s.Position >= oldPrimary.Position {
			return false
		}
	}
	return true
}

// pollReplicas requests the positions of the active replicas.
func (p *promotion) pollReplicas() {
	for _, s := range p.group().Servers {
		if s.ID != p.record().From && s.State == topology.ServerActive {
			p.runAdmin(s.ID, txn.AdminStatus, p.onReplicaStatus)
		}
	}
}

func (p *promotion) onReplicaStatus(e AdminDone) {
	if !p.isCurrent() {
		return
	}
	p.nextAttemptAt[e.Request.Server] = p.m.now + p.m.opts.AdminRetryInterval
	if e.Error != "" {
		return
	}
	p.replicaStatus[e.Request.Server] = e.Status
	p.advance()
}
