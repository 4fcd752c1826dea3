package control

import (
	"maps"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/placement"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// snapshotState builds snapshots incrementally: it records what events changed and
// rebuilds only those parts.
type snapshotState struct {
	current          *topology.Snapshot
	catalogueChanged bool                            // a catalogue entry changed
	changedGroups    map[string]bool                 // databases whose group changed
	outdatedHomes    map[string]bool                 // data centres whose homes must be recomputed
	vmsChanged       bool                            // a VM changed
	publishedAt      time.Duration                   // when the last snapshot was published
	publishedReady   bool                            // the last snapshot contained the catalogue
	placements       map[string]*dataCentrePlacement // by data centre
}

// dataCentrePlacement places a data centre's servers on its VMs.
type dataCentrePlacement struct{ table *placement.Placement }

func newSnapshotState(self string) snapshotState {
	return snapshotState{
		current: &topology.Snapshot{
			Self:      self,
			Catalogue: catalogue.New(nil),
			Groups:    map[string]*topology.Group{},
			VMs:       map[string]topology.VM{},
			Homes:     map[string]string{},
		},
		changedGroups: map[string]bool{},
		outdatedHomes: map[string]bool{},
		placements:    map[string]*dataCentrePlacement{},
	}
}

// addSeedVMs fills the first snapshot with this VM and the VMs from the settings.
func (s *snapshotState) addSeedVMs(self topology.VM, seeds []topology.VM) {
	vms := map[string]topology.VM{self.ID: self}
	for _, vm := range seeds {
		vms[vm.ID] = vm
	}
	next := *s.current
	next.VMs = vms
	s.current = &next
}

func (s *snapshotState) markObjectChanged(key objectKey) {
	switch key.kind {
	case platform.KindCatalogue:
		s.catalogueChanged = true
	case platform.KindGroup:
		s.changedGroups[key.name] = true
	}
}

func (s *snapshotState) markMembersChanged(dataCentres map[string]bool) {
	s.vmsChanged = true
	for dc := range dataCentres {
		s.outdatedHomes[dc] = true
		delete(s.placements, dc)
	}
}

func (s *snapshotState) dirty(ready bool) bool {
	return len(s.outdatedHomes) > 0 || s.catalogueChanged || s.vmsChanged || len(s.changedGroups) > 0 || ready != s.publishedReady
}

// publishWhenDue publishes changes, at most once per MinPublishInterval. Until the
// machine is ready it publishes the known VMs only.
func (m *Machine) publishWhenDue() {
	if !m.Ready() {
		m.publishKnownVMs()
		return
	}
	if !m.snapshot.dirty(m.Ready()) && !m.configurationChanged() {
		return
	}
	if m.snapshot.publishedReady && m.now-m.snapshot.publishedAt < m.opts.MinPublishInterval {
		return
	}
	m.rebuildSnapshot()
	m.publishNow()
}

// publishKnownVMs publishes the VMs known so far, including the seeds, so that
// copies can be fetched from them while there is no catalogue.
func (m *Machine) publishKnownVMs() {
	if !m.snapshot.vmsChanged {
		return
	}
	m.snapshot.vmsChanged = false
	vms := m.buildVMs()
	for id, vm := range m.snapshot.current.VMs {
		if _, known := vms[id]; !known {
			vms[id] = vm
		}
	}
	next := *m.snapshot.current
	next.VMs = vms
	next.Listed, next.Dead = m.buildListed()
	m.snapshot.current = &next
	m.publishNow()
}

func (m *Machine) publishNow() {
	m.snapshot.publishedAt = m.now
	m.snapshot.publishedReady = m.Ready()
	m.emit(Publish{Snapshot: m.snapshot.current, Ready: m.Ready()})
}

// rebuildSnapshot builds the next snapshot, which shares unchanged parts with the
// current one.
func (m *Machine) rebuildSnapshot() {
	s := &m.snapshot
	next := *s.current
	next.Revision = max(next.Revision, m.objects.highestVersion)
	if s.catalogueChanged {
		next.Catalogue = m.buildCatalogue()
	}
	next.Configuration = m.configuration(next.Catalogue)
	if s.vmsChanged {
		next.VMs = m.buildVMs()
		next.Listed, next.Dead = m.buildListed()
	}
	if len(s.changedGroups) > 0 || len(s.outdatedHomes) > 0 {
		next.Groups, next.Homes = m.buildGroups(s.current)
	}
	s.current = &next
	s.catalogueChanged, s.vmsChanged = false, false
	s.changedGroups, s.outdatedHomes = map[string]bool{}, map[string]bool{}
}

func (m *Machine) buildCatalogue() *catalogue.Catalogue {
	var entries []catalogue.Entry
	for key, o := range m.objects.objects {
		if key.kind == platform.KindCatalogue && o.hasValue() {
			entries = append(entries, *o.entry)
		}
	}
	return catalogue.New(entries)
}

// configuration describes the entries of a catalogue that was built now.
func (m *Machine) configuration(c *catalogue.Catalogue) topology.Configuration {
	return topology.Configuration{
		Complete: m.completeUpTo(platform.KindCatalogue), From: m.completeFrom[platform.KindCatalogue],
		Entries: c.Len(), Later: len(m.document.changed),
	}
}

// configurationChanged reports whether the snapshot tells another state of the configuration
// than that of this VM. A completeness that covers single entries rises without a change.
func (m *Machine) configurationChanged() bool {
	current := m.snapshot.current
	return m.opts.CatalogueIsDocument && current.Configuration != m.configuration(current.Catalogue)
}

func (m *Machine) buildVMs() map[string]topology.VM {
	vms := make(map[string]topology.VM)
	for id, peer := range m.members.members {
		if !peer.reachable() {
			continue
		}
		vm := peer.vm
		if !peer.eligibleAsHome() {
			vm.State = topology.VMLeaving
		}
		vms[id] = vm
	}
	if _, known := vms[m.cfg.Self.ID]; !known {
		vms[m.cfg.Self.ID] = m.cfg.Self
	}
	return vms
}

// buildListed returns the IDs of all VMs that may use or promote servers, and those of
// them that are considered dead: the listed VMs and those that have announced themselves,
// since the list may be seconds old. This VM counts only if it is listed, because other
// VMs might not know it otherwise.
func (m *Machine) buildListed() (listed []string, dead map[string]topology.VM) {
	dead = map[string]topology.VM{}
	listed = m.members.ids(func(peer *member) bool {
		return peer.listed || peer.reachable() && peer.record.ID != m.cfg.Self.ID
	})
	for _, id := range listed {
		if peer := m.members.members[id]; peer.record.Status == StatusDead && peer.vm.ID != "" {
			dead[id] = peer.vm
		}
	}
	return listed, dead
}

// buildGroups returns copies of the groups and homes in which changed groups are
// replaced and the homes in changed data centres are recomputed.
func (m *Machine) buildGroups(old *topology.Snapshot) (map[string]*topology.Group, map[string]string) {
	groups, homes := maps.Clone(old.Groups), maps.Clone(old.Homes)
	for database := range m.snapshot.changedGroups {
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
			if m.snapshot.changedGroups[database] || m.homeOutdated(server) {
				m.assignHome(homes, server)
			}
		}
	}
	return groups, homes
}

func (m *Machine) assignHome(homes map[string]string, server topology.Server) {
	if m.registrations.waitingForVMList {
		delete(homes, server.ID)
		return
	}
	vm := m.placementIn(server.DataCentre).table.Pick(server.ID)
	if vm == "" && m.opts.SelfRegistration {
		vm = m.fallbackHome(server)
	}
	if vm == "" {
		delete(homes, server.ID)
		return
	}
	homes[server.ID] = vm
}

func (m *Machine) placementIn(dc string) *dataCentrePlacement {
	p := m.snapshot.placements[dc]
	if p == nil {
		p = &dataCentrePlacement{table: placement.New(m.homeCandidates(dc))}
		m.snapshot.placements[dc] = p
	}
	return p
}
