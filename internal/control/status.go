package control

import (
	"slices"
	"sort"
	"time"

	"egretroad/internal/peer/method"
)

// VMStatus is a VM's last report to the watcher of its data centre.
type VMStatus struct {
	ID       string   `json:"id"`
	Revision uint64   `json:"revision"` // revision in force; 0: not reported
	Invalid  []string `json:"invalid,omitempty"`
}

// DataCentreStatus is the value of the platform object of kind "status" that is
// named after the data centre. The data centre's watcher writes it when a VM's
// report or the set of VMs changes.
type DataCentreStatus struct {
	DataCentre string     `json:"dataCentre"`
	Watcher    string     `json:"watcher"`
	VMs        []VMStatus `json:"vms"` // reachable VMs, sorted by ID
}

// Equal reports whether two statuses are equal in every field.
func (s DataCentreStatus) Equal(o DataCentreStatus) bool {
	return s.DataCentre == o.DataCentre && s.Watcher == o.Watcher && slices.EqualFunc(s.VMs, o.VMs, VMStatus.equal)
}

func (s VMStatus) equal(o VMStatus) bool {
	return s.ID == o.ID && s.Revision == o.Revision && slices.Equal(s.Invalid, o.Invalid)
}

// statusState tracks this VM's reports to the watcher and, on the watcher, the
// reports received and the writes of the status object.
type statusState struct {
	reportPending bool // an object changed since the last report
	reportedTo    string
	reportDue     time.Duration

	reports        map[string]StatusReport // received by this VM as the watcher
	dirty          bool
	dirtySince     time.Duration
	writeCall      storeCall
	storedVersion  uint64
	lastWritten    DataCentreStatus
	statusInFlight DataCentreStatus
}

func newStatusState() statusState { return statusState{reports: map[string]StatusReport{}} }

// inForceRevision returns the highest revision up to which every catalogue entry
// and group is in the snapshot.
func (m *Machine) inForceRevision() uint64 { return min(m.complete.lowest(), m.objects.highestVersion) }

// writesStatus reports whether this VM collects the reports of its data centre.
func (m *Machine) writesStatus() bool { return m.ring.watcher() == m.cfg.Self.ID }

// sendReport reports the revision in force to the watcher when objects or the
// watcher changed, and periodically.
func (m *Machine) sendReport() {
	if !m.self.announced || m.ring.watcher() == "" || m.opts.DisableStatusReports {
		return
	}
	changed := m.status.reportPending && m.complete.lowest() >= m.objects.highestVersion && !m.snapshot.dirty(true)
	watcherChanged := m.ring.watcher() != m.status.reportedTo
	if !changed && !watcherChanged && m.now < m.status.reportDue {
		return
	}
	m.status.reportPending = m.status.reportPending && !changed
	m.status.reportedTo = m.ring.watcher()
	m.status.reportDue = m.now + m.jitter(m.opts.ReportRefresh)
	r := StatusReport{Revision: m.inForceRevision(), Invalid: m.objects.invalidObjects()}
	if m.writesStatus() {
		m.handleReport(m.cfg.Self.ID, r)
		return
	}
	m.notify([]string{m.ring.watcher()}, method.Status, r)
}

// handleReport stores a VM's report to this VM as the watcher.
func (m *Machine) handleReport(from string, r StatusReport) {
	old, known := m.status.reports[from]
	if known && r.Revision == old.Revision && slices.Equal(r.Invalid, old.Invalid) {
		return
	}
	m.status.reports[from] = r
	m.markStatusDirty()
}

func (m *Machine) markStatusDirty() {
	if !m.status.dirty {
		m.status.dirty, m.status.dirtySince = true, m.now
	}
}

// writeStatusWhenDue writes the status object once every VM reported the revision
// that is in force here, or after ReportDelay.
func (m *Machine) writeStatusWhenDue() {
	s := &m.status
	if m.opts.DisableStatusReports || !s.dirty || !m.writesStatus() || !m.self.announced || s.writeCall.inFlight || m.now < s.writeCall.due {
		return
	}
	status := m.dataCentreStatus()
	if !m.allCaughtUp(status) && m.now-s.dirtySince < m.opts.ReportDelay {
		return
	}
	s.dirty = false
	if status.Equal(s.lastWritten) {
		return
	}
	s.writeCall.inFlight = true
	s.statusInFlight = status
	m.emit(WriteStatus{IfVersion: s.storedVersion, Status: status})
}

func (m *Machine) dataCentreStatus() DataCentreStatus {
	status := DataCentreStatus{DataCentre: m.dataCentre(), Watcher: m.cfg.Self.ID}
	for _, id := range m.members.reachableIn(m.dataCentre()) {
		r := m.status.reports[id]
		status.VMs = append(status.VMs, VMStatus{ID: id, Revision: r.Revision, Invalid: r.Invalid})
	}
	sort.Slice(status.VMs, func(i, j int) bool { return status.VMs[i].ID < status.VMs[j].ID })
	return status
}

func (m *Machine) allCaughtUp(status DataCentreStatus) bool {
	for _, vm := range status.VMs {
		if vm.Revision < m.inForceRevision() {
			return false
		}
	}
	return true
}

// handleStatusWritten processes the result of a write; a failed write is retried.
func (m *Machine) handleStatusWritten(e StatusWritten) {
	s := &m.status
	m.finishCall(&s.writeCall, e.Err, m.opts.Heartbeat)
	s.storedVersion = e.Version
	if e.Err != nil {
		m.markStatusDirty()
		return
	}
	s.lastWritten = s.statusInFlight
}
