package authority

import (
	"time"

	"egretroad/internal/topology"
)

// Reasons for promotions.
const (
	ReasonRefused     = "primary_refused"
	ReasonSilent      = "primary_silent"
	ReasonPartitioned = "primary_parted"
	ReasonHomeless    = "primary_homeless" // no live VM in the primary's data centre
	ReasonInvalid     = "primary_invalid"
	ReasonLeaving     = "primary_leaving"
	ReasonNoPrimary   = "no_primary"
)

// probeErrorRefused is the probe error of a server that refuses connections.
const probeErrorRefused = "refused"

// promotionDecision is the result of failure detection for a group.
type promotionDecision struct {
	reason  string // empty when no promotion is needed
	planned bool
	blocked string // why a needed promotion cannot start, or empty
}

// decidePromotion decides whether a group without a promotion in progress needs
// one.
func (d *failureDetector) decidePromotion(g *groupState) promotionDecision {
	primary, ok := g.group.Server(g.group.Primary)
	if !ok {
		return d.requireMajority(g, promotionDecision{reason: ReasonNoPrimary, planned: true})
	}
	if reason := d.primaryFailure(g); reason != "" {
		return d.requireMajority(g, promotionDecision{reason: reason})
	}
	if primary.State == topology.ServerLeaving && d.hasCaughtUpReplica(g) {
		return promotionDecision{reason: ReasonLeaving, planned: true}
	}
	return promotionDecision{}
}

// primaryFailure returns the reason why the primary counts as failed, or "".
func (d *failureDetector) primaryFailure(g *groupState) string {
	o := d.m.opts
	primary := g.group.Primary
	unreachableFor := d.timeSinceReachable(primary, g.changedAt)
	e, fresh := d.freshEvidence(primary)
	switch {
	case fresh && e.Error == "":
		return d.roleMismatchReason(g)
	case fresh && e.Error == probeErrorRefused && min(unreachableFor, e.FailingFor) >= o.RefusedAfter:
		return ReasonRefused
	case fresh && min(unreachableFor, e.FailingFor) >= o.FailedAfter && d.replicationStalled(g):
		if e.Error == probeErrorRefused {
			return ReasonRefused
		}
		return ReasonSilent
	case !fresh && unreachableFor >= o.MissingAfter && d.replicationStalled(g):
		return ReasonPartitioned
	case !fresh && unreachableFor >= o.HomelessAfter && d.hasNoHome(primary):
		return ReasonHomeless
	}
	return ""
}

// hasNoHome reports whether a server has no home, because no live VM is eligible.
// Such a server receives no requests, even when it is healthy.
func (d *failureDetector) hasNoHome(server string) bool {
	return len(d.m.snapshot.VMs) > 0 && d.m.snapshot.Homes[server] == ""
}

// roleMismatchReason returns ReasonInvalid when the primary is reachable but for
// InvalidAfter has not had the primary role in the group's term.
func (d *failureDetector) roleMismatchReason(g *groupState) string {
	mismatch := d.roleMismatches[g.group.Primary]
	if mismatch == nil || mismatch.term != g.group.Term {
		return ""
	}
	if d.m.now-max(mismatch.since, g.changedAt, d.observingSince) < d.m.opts.InvalidAfter {
		return ""
	}
	return ReasonInvalid
}

// replicationStalled reports whether replication from the primary is stalled on
// all reachable replicas. It requires evidence on a majority of the group's
// servers, so that an isolated VM never suspects the primary.
func (d *failureDetector) replicationStalled(g *groupState) bool {
	stalledReplicas := 0
	for _, s := range g.group.Servers {
		if s.ID == g.group.Primary {
			continue
		}
		e, ok := d.reachableEvidence(s.ID)
		if !ok {
			continue
		}
		if e.StalledFor < d.m.opts.StalledAfter {
			return false
		}
		stalledReplicas++
	}
	return stalledReplicas >= majority(len(g.group.Servers))
}

// requireMajority marks a decision as blocked while no majority of the servers is
// reachable, so that fencing could not complete.
func (d *failureDetector) requireMajority(g *groupState, decision promotionDecision) promotionDecision {
	reachable := 0
	for _, s := range g.group.Servers {
		if _, ok := d.reachableEvidence(s.ID); ok {
			reachable++
		}
	}
	if reachable < majority(len(g.group.Servers)) {
		decision.blocked = "no_majority_reachable"
	}
	return decision
}

// hasCaughtUpReplica reports whether an active replica has caught up with a
// leaving primary and a majority of the servers is reachable.
func (d *failureDetector) hasCaughtUpReplica(g *groupState) bool {
	reachable, found := 0, false
	for _, s := range g.group.Servers {
		e, ok := d.reachableEvidence(s.ID)
		if !ok {
			continue
		}
		reachable++
		if s.ID != g.group.Primary && d.isCaughtUp(g, s, e) {
			found = true
		}
	}
	return found && reachable >= majority(len(g.group.Servers))
}

// maxSuccessorLag is the maximum replication lag of a replica that a planned
// promotion may make primary.
const maxSuccessorLag = 1 * time.Second

func (d *failureDetector) isCaughtUp(g *groupState, s topology.Server, e Evidence) bool {
	return s.State == topology.ServerActive &&
		e.Status.Role == topology.RoleReplica &&
		e.Status.Term == g.group.Term &&
		e.Status.Lag <= maxSuccessorLag &&
		e.StalledFor < d.m.opts.StalledAfter
}
