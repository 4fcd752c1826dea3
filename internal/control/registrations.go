package control

import (
	"sort"
	"time"

	"egretroad/internal/peer/method"
	"egretroad/internal/placement"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// registrations holds the servers that registered themselves, and those whose
// registration ended a short while ago.
type registrations struct {
	leaderClaims   map[string]LeaderClaim          // by database; what VMs found before the store could say it
	lastHeard   map[string]time.Duration // last message of a VM of another data centre
	silentDataCentres  map[string]bool          // data centres whose VMs are not counted on
	current map[string]registered    // by server ID
	lapsed    map[string]heldServer
	waitingForVMList   bool          // for the list of VMs before servers get homes
	vmListDeadline time.Duration // no longer than until then
}

// registered is a registration in force.
type registered struct {
	value   *topology.Registration
	version uint64
}

// heldServer is a server whose registration ended without notice.
type heldServer struct {
	registered
	until time.Duration
}

func newRegistrations() registrations {
	return registrations{
		leaderClaims: map[string]LeaderClaim{}, lastHeard: map[string]time.Duration{}, silentDataCentres: map[string]bool{},
		current: map[string]registered{}, lapsed: map[string]heldServer{},
	}
}

// Lead is the body of method.Lead: a server that leads its group by the account of
// the VM that promoted or asked it. It holds until a registration of the group later
// than Version names a primary: while the store is away, no registration changes.
type LeaderClaim struct {
	Database string `msgpack:"d"`
	Server   string `msgpack:"s"`
	Version  uint64 `msgpack:"v"` // highest version of the group's registrations then
}

// LeadFound reports a server that was found to lead its group.
type LeadFound struct{ Database, Server string }

// EventName implements reducer.Event.
func (LeadFound) EventName() string { return "lead_found" }

// leadFound tells the other VMs of a server that leads its group, unless the
// registrations say the same.
func (m *Machine) handleLeadFound(e LeadFound) {
	lead := LeaderClaim{Database: e.Database, Server: e.Server}
	for _, r := range m.registrations.current {
		if r.value.Database == e.Database {
			lead.Version = max(lead.Version, r.version)
		}
	}
	if g := m.snapshot.current.Groups[e.Database]; g == nil || g.Primary == e.Server && m.registrations.leaderClaims[e.Database] != lead {
		return
	}
	m.mergeLeaderClaim(lead, m.cfg.Self.ID)
	everyone := m.members.ids(func(x *member) bool { return x.reachable() })
	m.notify(without(everyone, m.cfg.Self.ID), method.Lead, lead)
}

// takeLead notes a lead, unless a later one is known.
func (m *Machine) mergeLeaderClaim(lead LeaderClaim, from string) {
	if old, known := m.registrations.leaderClaims[lead.Database]; known && (old.Version > lead.Version || old == lead) {
		return
	}
	m.registrations.leaderClaims[lead.Database] = lead
	m.snapshot.changedGroups[lead.Database] = true
	m.log("lead_learned", "database", lead.Database, "server", lead.Server, "version", lead.Version, "from", from)
}

// registrationChanged takes a changed or ended registration in. A server that had
// announced to leave is dropped at once, any other is held for a while.
func (m *Machine) handleRegistrationChange(id string, o *object) {
	old, known := m.registrations.current[id]
	if known {
		m.snapshot.changedGroups[old.value.Database] = true
	}
	if !o.hasValue() {
		delete(m.registrations.current, id)
		if known && old.value.Server.State != topology.ServerLeaving {
			m.registrations.lapsed[id] = heldServer{registered: old, until: m.now + m.opts.LapsedRegistrationTTL}
		}
		return
	}
	delete(m.registrations.lapsed, id)
	m.registrations.current[id] = registered{value: o.server, version: o.inForce}
	m.snapshot.changedGroups[o.server.Database] = true
}

// releaseServers drops held servers whose time is over.
func (m *Machine) dropLapsedServers() {
	for id, h := range m.registrations.lapsed {
		if m.now < h.until {
			continue
		}
		delete(m.registrations.lapsed, id)
		m.snapshot.changedGroups[h.value.Database] = true
		m.log("server_gone", "server", id, "database", h.value.Database, "version", h.version)
		m.publishWhenDue()
	}
}

// groupOf returns a database's group; nil when there is none.
func (m *Machine) groupOf(database string) *topology.Group {
	if !m.opts.Registrations {
		if o := m.objects.objects[objectKey{platform.KindGroup, database}]; o != nil && o.hasValue() {
			return o.group
		}
		return nil
	}
	return m.groupFromRegistrations(database)
}

// groupOfRegistrations builds a group of the servers that registered for it. Of
// several that call themselves primary the last to say so counts. A held server
// gives way to another one at its address.
func (m *Machine) groupFromRegistrations(database string) *topology.Group {
	g := &topology.Group{Database: database}
	addresses := map[string]bool{}
	var primary uint64
	add := func(id string, r registered) {
		if r.value.Database != database {
			return
		}
		g.Servers = append(g.Servers, r.value.Server)
		addresses[r.value.Server.Addr] = true
		if r.value.Role == topology.RolePrimary && r.version > primary {
			g.Primary, primary = id, r.version
		}
	}
	for id, r := range m.registrations.current {
		add(id, r)
	}
	for id, h := range m.registrations.lapsed {
		if !addresses[h.value.Server.Addr] {
			add(id, h.registered)
		}
	}
	if len(g.Servers) == 0 {
		return nil
	}
	if lead, known := m.registrations.leaderClaims[database]; known && lead.Version >= primary {
		if _, registered := g.Server(lead.Server); registered {
			g.Primary = lead.Server
		}
	}
	sort.Slice(g.Servers, func(i, j int) bool { return g.Servers[i].ID < g.Servers[j].ID })
	return g
}

// homesChanged reports whether the home of a server must be computed again.
func (m *Machine) homeOutdated(server topology.Server) bool {
	if m.snapshot.outdatedHomes[server.DataCentre] {
		return true
	}
	return m.opts.Registrations && len(m.snapshot.outdatedHomes) > 0 && len(m.homeCandidates(server.DataCentre)) == 0
}

// startListWait holds the choice of homes back until the list of VMs is there.
func (m *Machine) startVMListWait() {
	m.registrations.waitingForVMList, m.registrations.vmListDeadline = m.opts.Registrations, m.now+m.opts.VMListTimeout
}

// endListWait lets homes be chosen once the list is there or has been waited for
// long enough.
func (m *Machine) endVMListWait() {
	if !m.registrations.waitingForVMList || !m.members.listReceived && m.now < m.registrations.vmListDeadline {
		return
	}
	m.registrations.waitingForVMList = false
	all := map[string]bool{}
	for _, r := range m.registrations.current {
		all[r.value.Server.DataCentre] = true
	}
	m.snapshot.markMembersChanged(all)
}

// homesIn returns the VMs of a data centre that may be homes, as far as the data
// centre is heard.
func (m *Machine) homeCandidates(dc string) []string {
	if m.registrations.silentDataCentres[dc] {
		return nil
	}
	return m.members.eligibleHomes(dc)
}

// distantHome picks a home for a server whose data centre has no VM: one of its
// region, else any.
func (m *Machine) fallbackHome(server topology.Server) string {
	counted := func(x *member) bool { return x.eligibleAsHome() && !m.registrations.silentDataCentres[x.vm.DataCentre] }
	region := m.members.ids(func(x *member) bool { return counted(x) && x.vm.Region == server.Region })
	if len(region) > 0 {
		return placement.Pick(server.ID, region)
	}
	return placement.Pick(server.ID, m.members.ids(counted))
}

// heardFrom notes a message of another data centre's VM.
func (m *Machine) recordContact(vm string) {
	if x := m.members.members[vm]; x != nil {
		m.registrations.lastHeard[x.vm.DataCentre] = m.now
	}
}

// watchDataCentres finds data centres that went silent as a whole, and those that
// are back. A VM that hears no other at all may be cut off itself, and changes
// nothing.
func (m *Machine) detectSilentDataCentres() {
	if !m.opts.Registrations || !m.self.announced || m.isolated() && len(m.members.members) > 1 {
		return
	}
	for _, dc := range m.members.dataCentres() {
		if dc == m.dataCentre() {
			continue
		}
		if _, known := m.registrations.lastHeard[dc]; !known {
			m.registrations.lastHeard[dc] = m.now
		}
		quiet := m.now - max(m.registrations.lastHeard[dc], m.self.silenceBaseline)
		if silent := quiet > m.opts.DataCentreSilenceLimit; silent != m.registrations.silentDataCentres[dc] {
			m.registrations.silentDataCentres[dc] = silent
			m.alarm("data_centre_heard", "data_centre", dc, "heard", !silent, "quiet", quiet)
			m.snapshot.markMembersChanged(map[string]bool{dc: true})
		}
	}
}
