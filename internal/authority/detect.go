package authority

import (
	"time"

	"egretroad/internal/topology"
)

// Reasons of promotions.
const (
	ReasonRefused   = "primary_refused"
	ReasonSilent    = "primary_silent"
	ReasonParted    = "primary_parted"
	ReasonHomeless  = "primary_homeless" // its data centre has no live VM
	ReasonInvalid   = "primary_invalid"
	ReasonLeaving   = "primary_leaving"
	ReasonNoPrimary = "no_primary"
)

// errRefused is the probe error of a server on which nothing listens.
const errRefused = "refused"

// verdict is what detection concludes about a group.
type verdict struct {
	reason  string // empty: no promotion
	planned bool
	blocked string // why a promotion that is needed cannot start
}

// judge decides whether a group without a promotion in progress needs one.
func (b *evidenceBook) judge(g *groupState) verdict {
	primary, ok := g.group.Server(g.group.Primary)
	if !ok {
		return b.requireMajority(g, verdict{reason: ReasonNoPrimary, planned: true})
	}
	if reason := b.primaryFailure(g); reason != "" {
		return b.requireMajority(g, verdict{reason: reason})
	}
	if primary.State == topology.ServerLeaving && b.hasSuccessor(g) {
		return verdict{reason: ReasonLeaving, planned: true}
	}
	return verdict{}
}

// primaryFailure returns the reason for which the primary counts as failed, or "".
func (b *evidenceBook) primaryFailure(g *groupState) string {
	o := b.m.opts
	primary := g.group.Primary
	quiet := b.quietFor(primary, g.changedAt)
	e, heard := b.fresh(primary)
	switch {
	case heard && e.Error == "":
		return b.contradicts(g)
	case heard && e.Error == errRefused && min(quiet, e.FailingFor) >= o.RefuseAfter:
		return ReasonRefused
	case heard && min(quiet, e.FailingFor) >= o.FailAfter && b.replicationStalled(g):
		if e.Error == errRefused {
			return ReasonRefused
		}
		return ReasonSilent
	case !heard && quiet >= o.MissingAfter && b.replicationStalled(g):
		return ReasonParted
	case !heard && quiet >= o.HomelessAfter && b.homeless(primary):
		return ReasonHomeless
	}
	return ""
}

// homeless reports whether no live VM can be home of a server, so that nobody
// serves it, however well it does.
func (b *evidenceBook) homeless(server string) bool {
	return len(b.m.snapshot.VMs) > 0 && b.m.snapshot.Homes[server] == ""
}

// contradicts returns ReasonInvalid when the reachable primary has not been a
// primary of the group's term for InvalidAfter.
func (b *evidenceBook) contradicts(g *groupState) string {
	c := b.role[g.group.Primary]
	if c == nil || c.term != g.group.Term {
		return ""
	}
	if b.m.now-max(c.since, g.changedAt, b.since) < b.m.opts.InvalidAfter {
		return ""
	}
	return ReasonInvalid
}

// replicationStalled reports whether no reachable replica receives anything
// from the primary. It needs the evidence of a majority of the group's servers,
// so a VM that is cut off concludes nothing.
func (b *evidenceBook) replicationStalled(g *groupState) bool {
	voters := 0
	for _, s := range g.group.Servers {
		if s.ID == g.group.Primary {
			continue
		}
		e, ok := b.reachable(s.ID)
		if !ok {
			continue
		}
		if e.StalledFor < b.m.opts.StallAfter {
			return false
		}
		voters++
	}
	return voters >= majority(len(g.group.Servers))
}

// requireMajority blocks a verdict while no majority of servers could be fenced.
func (b *evidenceBook) requireMajority(g *groupState, v verdict) verdict {
	reachable := 0
	for _, s := range g.group.Servers {
		if _, ok := b.reachable(s.ID); ok {
			reachable++
		}
	}
	if reachable < majority(len(g.group.Servers)) {
		v.blocked = "no_majority_reachable"
	}
	return v
}

// hasSuccessor reports whether an active replica keeps up with a leaving primary.
func (b *evidenceBook) hasSuccessor(g *groupState) bool {
	reachable, found := 0, false
	for _, s := range g.group.Servers {
		e, ok := b.reachable(s.ID)
		if !ok {
			continue
		}
		reachable++
		if s.ID != g.group.Primary && b.keepsUp(g, s, e) {
			found = true
		}
	}
	return found && reachable >= majority(len(g.group.Servers))
}

// successorLag is the largest measured staleness of a replica to which a
// planned promotion may move the primary.
const successorLag = 1 * time.Second

func (b *evidenceBook) keepsUp(g *groupState, s topology.Server, e Evidence) bool {
	return s.State == topology.ServerActive &&
		e.Status.Role == topology.RoleReplica &&
		e.Status.Term == g.group.Term &&
		e.Status.Lag <= successorLag &&
		e.StalledFor < b.m.opts.StallAfter
}
