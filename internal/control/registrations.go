package control

import (
	"sort"
	"time"

	"egretroad/internal/peer/method"
	"egretroad/internal/placement"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// registrations holds the servers that registered themselves, including those whose
// registration lapsed recently, and the data centres considered silent.
type registrations struct {
	designations      map[string]topology.Designation // by database; newest known choice of the primary
	primaryClaims     map[string]learnedClaim         // by database; primaries found before the store shows them
	lastMessage       map[string]time.Duration        // by data centre; last message from any of its VMs
	silentDataCentres map[string]bool                 // data centres whose VMs are not eligible as homes
	active            map[string]activeRegistration   // registrations in force, by server ID
	lapsed            map[string]lapsedServer
	waitingForVMList  bool          // home assignment waits for the list of VMs
	vmListDeadline    time.Duration // when this wait ends at the latest
}

// activeRegistration is a registration in force and its version.
type activeRegistration struct {
	value   *topology.Registration
	version uint64
}

// lapsedServer is a server whose registration ended without notice. It is kept until
// the given time.
type lapsedServer struct {
	activeRegistration
	keepUntil time.Duration
}

func newRegistrations() registrations {
	return registrations{
		designations: map[string]topology.Designation{}, primaryClaims: map[string]learnedClaim{}, lastMessage: map[string]time.Duration{}, silentDataCentres: map[string]bool{},
		active: map[string]activeRegistration{}, lapsed: map[string]lapsedServer{},
	}
}

// PrimaryClaim is the body of method.PrimaryClaim: a server that is primary of its group,
// according to the VM that promoted or queried it. The claim overrides the
// registrations until one later than Version names a primary, because registrations
// cannot change during a store outage. It ends as well when the server itself registers as
// a replica later than Version.
type PrimaryClaim struct {
	Database string `msgpack:"d"`
	Server   string `msgpack:"s"`
	Version  uint64 `msgpack:"v"` // highest version of the group's registrations at the time of the claim
}

// learnedClaim is a primary claim that this VM knows.
type learnedClaim struct {
	PrimaryClaim
	learnedAt time.Duration
	ended     bool // the server has registered as a replica since
}

// PrimaryFound reports a server that was found to be primary of its group.
type PrimaryFound struct{ Database, Server string }

// EventName implements reducer.Event.
func (PrimaryFound) EventName() string { return "lead_found" }

// PrimaryDesignated reports a designation of a group's primary that this VM has learned.
type PrimaryDesignated struct {
	Database    string
	Designation topology.Designation
}

// EventName implements reducer.Event.
func (PrimaryDesignated) EventName() string { return "primary_designated" }

// handlePrimaryDesignated stores a designation unless a newer one is known.
func (m *Machine) handlePrimaryDesignated(e PrimaryDesignated) {
	if !e.Designation.Supersedes(m.registrations.designations[e.Database]) {
		return
	}
	m.registrations.designations[e.Database] = e.Designation
	m.snapshot.changedGroups[e.Database] = true
}

// handlePrimaryFound records a primary claim and sends it to all other VMs, unless the
// registrations already show the server as primary.
func (m *Machine) handlePrimaryFound(e PrimaryFound) {
	claim := PrimaryClaim{Database: e.Database, Server: e.Server}
	for _, r := range m.registrations.active {
		if r.value.Database == e.Database {
			claim.Version = max(claim.Version, r.version)
		}
	}
	if g := m.snapshot.current.Groups[e.Database]; g == nil || g.Primary == e.Server && m.registrations.primaryClaims[e.Database].PrimaryClaim != claim {
		return
	}
	m.mergePrimaryClaim(claim, m.cfg.Self.ID)
	recipients := m.members.ids(func(peer *member) bool { return peer.reachable() })
	m.notify(excluding(recipients, m.cfg.Self.ID), method.PrimaryClaim, claim)
}

// mergePrimaryClaim stores a primary claim unless a later one is known.
func (m *Machine) mergePrimaryClaim(claim PrimaryClaim, from string) {
	if old, known := m.registrations.primaryClaims[claim.Database]; known && (old.Version > claim.Version || old.PrimaryClaim == claim) {
		return
	}
	m.registrations.primaryClaims[claim.Database] = learnedClaim{PrimaryClaim: claim, learnedAt: m.now}
	m.snapshot.changedGroups[claim.Database] = true
	m.log("lead_learned", "database", claim.Database, "server", claim.Server, "version", claim.Version, "from", from)
}

// handleRegistrationChange applies a changed or ended registration. A server that
// announced its shutdown is dropped at once, any other is kept for
// LapsedRegistrationTTL.
func (m *Machine) handleRegistrationChange(id string, o *object) {
	old, known := m.registrations.active[id]
	if known {
		m.snapshot.changedGroups[old.value.Database] = true
	}
	if !o.hasValue() {
		delete(m.registrations.active, id)
		if known && old.value.Server.State != topology.ServerLeaving {
			m.registrations.lapsed[id] = lapsedServer{activeRegistration: old, keepUntil: m.now + m.opts.LapsedRegistrationTTL}
		}
		return
	}
	delete(m.registrations.lapsed, id)
	m.registrations.active[id] = activeRegistration{value: o.server, version: o.inForce}
	m.snapshot.changedGroups[o.server.Database] = true
}

// dropLapsedServers drops servers whose registration lapsed LapsedRegistrationTTL ago.
func (m *Machine) dropLapsedServers() {
	for id, lapsed := range m.registrations.lapsed {
		if m.now < lapsed.keepUntil {
			continue
		}
		delete(m.registrations.lapsed, id)
		m.snapshot.changedGroups[lapsed.value.Database] = true
		m.log("server_gone", "server", id, "database", lapsed.value.Database, "version", lapsed.version)
		m.publishWhenDue()
	}
}

// endRefutedClaims ends the claims whose server has registered as a replica since. A server
// may do so until its promotion takes effect, hence the delay.
func (m *Machine) endRefutedClaims() {
	for database, claim := range m.registrations.primaryClaims {
		r, registered := m.registrations.active[claim.Server]
		if claim.ended || !registered || r.value.Role == topology.RolePrimary || r.version <= claim.Version || m.now-claim.learnedAt < m.opts.PrimaryClaimGrace {
			continue
		}
		claim.ended = true
		m.registrations.primaryClaims[database] = claim
		m.snapshot.changedGroups[database] = true
		m.log("lead_refuted", "database", database, "server", claim.Server, "version", claim.Version, "registration", r.version)
		m.publishWhenDue()
	}
}

// groupOf returns a database's group, or nil if there is none.
func (m *Machine) groupOf(database string) *topology.Group {
	if !m.opts.SelfRegistration {
		if o := m.objects.objects[objectKey{platform.KindGroup, database}]; o != nil && o.hasValue() {
			return o.group
		}
		return nil
	}
	return m.groupFromRegistrations(database)
}

// groupFromRegistrations builds a group from the servers registered for a database.
// If several claim to be primary, the latest registration wins. A server that is not
// the designated one counts as a replica. A lapsed server is left out if another server
// is registered at its address.
func (m *Machine) groupFromRegistrations(database string) *topology.Group {
	g := &topology.Group{Database: database, Designation: m.registrations.designations[database]}
	addresses := map[string]bool{}
	var primary uint64
	add := func(id string, r activeRegistration) {
		if r.value.Database != database {
			return
		}
		g.Servers = append(g.Servers, r.value.Server)
		addresses[r.value.Server.Addr] = true
		isDesignated := g.Designation.Server == "" || g.Designation.Server == id
		if r.value.Role == topology.RolePrimary && isDesignated && r.version > primary {
			g.Primary, primary = id, r.version
		}
	}
	for id, r := range m.registrations.active {
		add(id, r)
	}
	for id, lapsed := range m.registrations.lapsed {
		if !addresses[lapsed.value.Server.Addr] {
			add(id, lapsed.activeRegistration)
		}
	}
	if len(g.Servers) == 0 {
		return nil
	}
	if claim, known := m.registrations.primaryClaims[database]; known && !claim.ended && claim.Version >= primary {
		_, registered := g.Server(claim.Server)
		if registered && (g.Designation.Server == "" || g.Designation.Server == claim.Server) {
			g.Primary = claim.Server
		}
	}
	sort.Slice(g.Servers, func(i, j int) bool { return g.Servers[i].ID < g.Servers[j].ID })
	return g
}

// homeOutdated reports whether the home of a server must be recomputed.
func (m *Machine) homeOutdated(server topology.Server) bool {
	if m.snapshot.outdatedHomes[server.DataCentre] {
		return true
	}
	return m.opts.SelfRegistration && len(m.snapshot.outdatedHomes) > 0 && len(m.homeCandidates(server.DataCentre)) == 0
}

// startVMListWait defers the assignment of homes until the list of VMs arrives.
func (m *Machine) startVMListWait() {
	m.registrations.waitingForVMList, m.registrations.vmListDeadline = m.opts.SelfRegistration, m.now+m.opts.VMListTimeout
}

// endVMListWait enables the assignment of homes once the list has arrived or
// VMListTimeout has passed.
func (m *Machine) endVMListWait() {
	if !m.registrations.waitingForVMList || !m.members.listReceived && m.now < m.registrations.vmListDeadline {
		return
	}
	m.registrations.waitingForVMList = false
	all := map[string]bool{}
	for _, r := range m.registrations.active {
		all[r.value.Server.DataCentre] = true
	}
	m.snapshot.markMembersChanged(all)
}

// homeCandidates returns the VMs of a data centre that may be homes; none if the
// data centre is silent.
func (m *Machine) homeCandidates(dc string) []string {
	if m.registrations.silentDataCentres[dc] {
		return nil
	}
	return m.members.eligibleHomes(dc)
}

// fallbackHome picks a home for a server whose data centre has no eligible VM: a VM
// of the same region if possible, otherwise any.
func (m *Machine) fallbackHome(server topology.Server) string {
	eligible := func(p *member) bool { return p.eligibleAsHome() && !m.registrations.silentDataCentres[p.vm.DataCentre] }
	sameRegion := m.members.ids(func(p *member) bool { return eligible(p) && p.vm.Region == server.Region })
	if len(sameRegion) > 0 {
		return placement.Pick(server.ID, sameRegion)
	}
	return placement.Pick(server.ID, m.members.ids(eligible))
}

// recordContact records the time of a message for the data centre of its sender.
func (m *Machine) recordContact(vm string) {
	if peer := m.members.members[vm]; peer != nil {
		m.registrations.lastMessage[peer.vm.DataCentre] = m.now
	}
}

// detectSilentDataCentres detects data centres that became silent as a whole or
// reachable again. An isolated VM changes nothing, because it may be partitioned itself.
func (m *Machine) detectSilentDataCentres() {
	if !m.opts.SelfRegistration || !m.self.announced || m.isolated() && len(m.members.members) > 1 {
		return
	}
	for _, dc := range m.members.dataCentres() {
		if dc == m.dataCentre() {
			continue
		}
		if _, known := m.registrations.lastMessage[dc]; !known {
			m.registrations.lastMessage[dc] = m.now
		}
		silence := m.now - max(m.registrations.lastMessage[dc], m.self.silenceBaseline)
		if silent := silence > m.opts.DataCentreSilenceLimit; silent != m.registrations.silentDataCentres[dc] {
			m.registrations.silentDataCentres[dc] = silent
			m.alarm("data_centre_heard", "data_centre", dc, "heard", !silent, "quiet", silence)
			m.snapshot.markMembersChanged(map[string]bool{dc: true})
		}
	}
}
