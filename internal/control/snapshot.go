package control

import (
	"maps"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/placement"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// snapshotState builds snapshots by changing only what events touched.
type snapshotState struct {
	current   *topology.Snapshot
	catalogue bool                // an entry changed
	groups    map[string]bool     // groups that changed
	homes     map[string]bool     // data centres whose homes must be computed again
	vms       bool                // a VM changed
	published time.Duration       // when the last snapshot was published
	ready     bool                // the last snapshot had the catalogue
	places    map[string]*placing // by data centre
}

// placing is the placement of a data centre's servers on its VMs.
type placing struct{ table *placement.Placement }

func newSnapshotState(self string) snapshotState {
	return snapshotState{
		current: &topology.Snapshot{
			Self:      self,
			Catalogue: catalogue.New(nil),
			Groups:    map[string]*topology.Group{},
			VMs:       map[string]topology.VM{},
			Homes:     map[string]string{},
		},
		groups: map[string]bool{},
		homes:  map[string]bool{},
		places: map[string]*placing{},
	}
}

// seed fills the first snapshot with the VMs of the settings.
func (s *snapshotState) seed(self topology.VM, seeds []topology.VM) {
	vms := map[string]topology.VM{self.ID: self}
	for _, vm := range seeds {
		vms[vm.ID] = vm
	}
	next := *s.current
	next.VMs = vms
	s.current = &next
}

func (s *snapshotState) objectChanged(key objectKey) {
	switch key.kind {
	case platform.KindCatalogue:
		s.catalogue = true
	case platform.KindGroup:
		s.groups[key.name] = true
	}
}

func (s *snapshotState) membersChanged(dataCentres map[string]bool) {
	s.vms = true
	for dc := range dataCentres {
		s.homes[dc] = true
		delete(s.places, dc)
	}
}

func (s *snapshotState) dirty(ready bool) bool {
	return len(s.homes) > 0 || s.catalogue || s.vms || len(s.groups) > 0 || ready != s.ready
}

// publishWhenDue publishes what changed, at most once per PublishPace. While
// there is no catalogue the seeds stay in the snapshot.
func (m *Machine) publishWhenDue() {
	if !m.Ready() {
		m.publishSeeds()
		return
	}
	if !m.snapshot.dirty(m.Ready()) {
		return
	}
	if m.snapshot.ready && m.now-m.snapshot.published < m.opts.PublishPace {
		return
	}
	m.rebuild()
	m.publishNow()
}

// publishSeeds publishes the VMs known so far, so that they can be asked for a
// copy while there is no catalogue.
func (m *Machine) publishSeeds() {
	if !m.snapshot.vms {
		return
	}
	m.snapshot.vms = false
	vms := m.buildVMs()
	for id, vm := range m.snapshot.current.VMs {
		if _, known := vms[id]; !known {
			vms[id] = vm
		}
	}
	next := *m.snapshot.current
	next.VMs = vms
	m.snapshot.current = &next
	m.publishNow()
}

func (m *Machine) publishNow() {
	m.snapshot.published = m.now
	m.snapshot.ready = m.Ready()
	m.emit(Publish{Snapshot: m.snapshot.current, Ready: m.Ready()})
}

// rebuild makes the next snapshot; parts that did not change are shared.
func (m *Machine) rebuild() {
	s := &m.snapshot
	next := *s.current
	next.Revision = max(next.Revision, m.objects.highest)
	if s.catalogue {
		next.Catalogue = m.buildCatalogue()
	}
	if s.vms {
		next.VMs = m.buildVMs()
	}
	if len(s.groups) > 0 || len(s.homes) > 0 {
		next.Groups, next.Homes = m.buildGroups(s.current)
	}
	s.current = &next
	s.catalogue, s.vms = false, false
	s.groups, s.homes = map[string]bool{}, map[string]bool{}
}

func (m *Machine) buildCatalogue() *catalogue.Catalogue {
	var entries []catalogue.Entry
	for key, o := range m.objects.objects {
		if key.kind == platform.KindCatalogue && o.present() {
			entries = append(entries, *o.entry)
		}
	}
	return catalogue.New(entries)
}

func (m *Machine) buildVMs() map[string]topology.VM {
	vms := make(map[string]topology.VM)
	for id, x := range m.members.members {
		if !x.serves() {
			continue
		}
		vm := x.vm
		if !x.takesHomes() {
			vm.State = topology.VMLeaving
		}
		vms[id] = vm
	}
	if _, known := vms[m.cfg.Self.ID]; !known {
		vms[m.cfg.Self.ID] = m.cfg.Self
	}
	return vms
}

// buildGroups returns the groups and homes with the changed groups replaced and
// the homes of changed data centres computed again.
func (m *Machine) buildGroups(old *topology.Snapshot) (map[string]*topology.Group, map[string]string) {
	groups, homes := maps.Clone(old.Groups), maps.Clone(old.Homes)
	for database := range m.snapshot.groups {
		if g := groups[database]; g != nil {
			for _, server := range g.Servers {
				delete(homes, server.ID)
			}
		}
		delete(groups, database)
		if g := m.groupOf(database); g != nil {
			groups[database] = g
		}
	}
	for database, g := range groups {
		for _, server := range g.Servers {
			if m.snapshot.groups[database] || m.homesChanged(server) {
				m.place(homes, server)
			}
		}
	}
	return groups, homes
}

func (m *Machine) place(homes map[string]string, server topology.Server) {
	if m.servers.waits {
		delete(homes, server.ID)
		return
	}
	vm := m.placingOf(server.DataCentre).table.Pick(server.ID)
	if vm == "" && m.opts.Registrations {
		vm = m.distantHome(server)
	}
	if vm == "" {
		delete(homes, server.ID)
		return
	}
	homes[server.ID] = vm
}

func (m *Machine) placingOf(dc string) *placing {
	p := m.snapshot.places[dc]
	if p == nil {
		p = &placing{table: placement.New(m.homesIn(dc))}
		m.snapshot.places[dc] = p
	}
	return p
}
