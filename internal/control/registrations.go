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
	leads   map[string]Lead          // by database; what VMs found before the store could say it
	heard   map[string]time.Duration // last message of a VM of another data centre
	silent  map[string]bool          // data centres whose VMs are not counted on
	current map[string]registered    // by server ID
	held    map[string]heldServer
	waits   bool          // for the list of VMs before servers get homes
	waitEnd time.Duration // no longer than until then
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
		leads: map[string]Lead{}, heard: map[string]time.Duration{}, silent: map[string]bool{},
		current: map[string]registered{}, held: map[string]heldServer{},
	}
}

// Lead is the body of method.Lead: a server that leads its group by the account of
// the VM that promoted or asked it. It holds until a registration of the group later
// than Version names a primary: while the store is away, no registration changes.
type Lead struct {
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
func (m *Machine) leadFound(e LeadFound) {
	lead := Lead{Database: e.Database, Server: e.Server}
	for _, r := range m.servers.current {
		if r.value.Database == e.Database {
			lead.Version = max(lead.Version, r.version)
		}
	}
	if g := m.snapshot.current.Groups[e.Database]; g == nil || g.Primary == e.Server && m.servers.leads[e.Database] != lead {
		return
	}
	m.takeLead(lead, m.cfg.Self.ID)
	everyone := m.members.ids(func(x *member) bool { return x.serves() })
	m.notify(without(everyone, m.cfg.Self.ID), method.Lead, lead)
}

// takeLead notes a lead, unless a later one is known.
func (m *Machine) takeLead(lead Lead, from string) {
	if old, known := m.servers.leads[lead.Database]; known && (old.Version > lead.Version || old == lead) {
		return
	}
	m.servers.leads[lead.Database] = lead
	m.snapshot.groups[lead.Database] = true
	m.log("lead_learned", "database", lead.Database, "server", lead.Server, "version", lead.Version, "from", from)
}

// registrationChanged takes a changed or ended registration in. A server that had
// announced to leave is dropped at once, any other is held for a while.
func (m *Machine) registrationChanged(id string, o *object) {
	old, known := m.servers.current[id]
	if known {
		m.snapshot.groups[old.value.Database] = true
	}
	if !o.present() {
		delete(m.servers.current, id)
		if known && old.value.Server.State != topology.ServerLeaving {
			m.servers.held[id] = heldServer{registered: old, until: m.now + m.opts.RegistrationHold}
		}
		return
	}
	delete(m.servers.held, id)
	m.servers.current[id] = registered{value: o.server, version: o.inForce}
	m.snapshot.groups[o.server.Database] = true
}

// releaseServers drops held servers whose time is over.
func (m *Machine) releaseServers() {
	for id, h := range m.servers.held {
		if m.now < h.until {
			continue
		}
		delete(m.servers.held, id)
		m.snapshot.groups[h.value.Database] = true
		m.log("server_gone", "server", id, "database", h.value.Database, "version", h.version)
		m.publishWhenDue()
	}
}

// groupOf returns a database's group; nil when there is none.
func (m *Machine) groupOf(database string) *topology.Group {
	if !m.opts.Registrations {
		if o := m.objects.objects[objectKey{platform.KindGroup, database}]; o != nil && o.present() {
			return o.group
		}
		return nil
	}
	return m.groupOfRegistrations(database)
}

// groupOfRegistrations builds a group of the servers that registered for it. Of
// several that call themselves primary the last to say so counts. A held server
// gives way to another one at its address.
func (m *Machine) groupOfRegistrations(database string) *topology.Group {
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
	for id, r := range m.servers.current {
		add(id, r)
	}
	for id, h := range m.servers.held {
		if !addresses[h.value.Server.Addr] {
			add(id, h.registered)
		}
	}
	if len(g.Servers) == 0 {
		return nil
	}
	if lead, known := m.servers.leads[database]; known && lead.Version >= primary {
		if _, registered := g.Server(lead.Server); registered {
			g.Primary = lead.Server
		}
	}
	sort.Slice(g.Servers, func(i, j int) bool { return g.Servers[i].ID < g.Servers[j].ID })
	return g
}

// homesChanged reports whether the home of a server must be computed again.
func (m *Machine) homesChanged(server topology.Server) bool {
	if m.snapshot.homes[server.DataCentre] {
		return true
	}
	return m.opts.Registrations && len(m.snapshot.homes) > 0 && len(m.homesIn(server.DataCentre)) == 0
}

// startListWait holds the choice of homes back until the list of VMs is there.
func (m *Machine) startListWait() {
	m.servers.waits, m.servers.waitEnd = m.opts.Registrations, m.now+m.opts.ListWait
}

// endListWait lets homes be chosen once the list is there or has been waited for
// long enough.
func (m *Machine) endListWait() {
	if !m.servers.waits || !m.members.listed && m.now < m.servers.waitEnd {
		return
	}
	m.servers.waits = false
	all := map[string]bool{}
	for _, r := range m.servers.current {
		all[r.value.Server.DataCentre] = true
	}
	m.snapshot.membersChanged(all)
}

// homesIn returns the VMs of a data centre that may be homes, as far as the data
// centre is heard.
func (m *Machine) homesIn(dc string) []string {
	if m.servers.silent[dc] {
		return nil
	}
	return m.members.eligible(dc)
}

// distantHome picks a home for a server whose data centre has no VM: one of its
// region, else any.
func (m *Machine) distantHome(server topology.Server) string {
	counted := func(x *member) bool { return x.takesHomes() && !m.servers.silent[x.vm.DataCentre] }
	region := m.members.ids(func(x *member) bool { return counted(x) && x.vm.Region == server.Region })
	if len(region) > 0 {
		return placement.Pick(server.ID, region)
	}
	return placement.Pick(server.ID, m.members.ids(counted))
}

// heardFrom notes a message of another data centre's VM.
func (m *Machine) heardFrom(vm string) {
	if x := m.members.members[vm]; x != nil {
		m.servers.heard[x.vm.DataCentre] = m.now
	}
}

// watchDataCentres finds data centres that went silent as a whole, and those that
// are back. A VM that hears no other at all may be cut off itself, and changes
// nothing.
func (m *Machine) watchDataCentres() {
	if !m.opts.Registrations || !m.self.announced || m.isolated() && len(m.members.members) > 1 {
		return
	}
	for _, dc := range m.members.dataCentres() {
		if dc == m.dataCentre() {
			continue
		}
		if _, known := m.servers.heard[dc]; !known {
			m.servers.heard[dc] = m.now
		}
		quiet := m.now - max(m.servers.heard[dc], m.self.baseline)
		if silent := quiet > m.opts.DataCentreSilence; silent != m.servers.silent[dc] {
			m.servers.silent[dc] = silent
			m.alarm("data_centre_heard", "data_centre", dc, "heard", !silent, "quiet", quiet)
			m.snapshot.membersChanged(map[string]bool{dc: true})
		}
	}
}
