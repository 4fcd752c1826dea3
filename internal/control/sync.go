package control

import (
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
)

// firstNotice is the time after the start at which a VM first says that it waits
// for the catalogue.
const firstWaitingLog = 2 * time.Second

// goodInterval is the time between requests for the last valid value of an
// object that has none in force.
const lastValidInterval = 5 * time.Second

// maxSeedFetches is the number of seeds asked for a copy at a time.
const maxSeedFetches = 2

// syncState is the state of the exchange of objects and members with peers.
type syncState struct {
	differsSince  map[string]time.Duration // since when a peer's digests differ
	fetchStarted map[string]time.Duration // peers asked for a copy, and when
	nextSeedFetch time.Duration
	seedCursor int
	nextLastValidFetch time.Duration
	lastWaitingLog   time.Duration // last log line about waiting
}

func newSyncState() syncState {
	return syncState{differsSince: map[string]time.Duration{}, fetchStarted: map[string]time.Duration{}}
}

// accept merges records and returns those that were news.
func (m *Machine) mergeObjects(records []ObjectRecord, from string) []ObjectRecord {
	var news []ObjectRecord
	for _, r := range records {
		if from != sourceStore && from != sourceWatch {
			r = m.deletionIfMissed(r)
		}
		isNews, changed := m.objects.merge(r, from, m.now)
		key := objectKey{r.Kind, r.Name}
		o := m.objects.objects[key]
		if isNews {
			news = append(news, o.record)
			m.status.reportPending = true
		}
		if isNews && o.parseErr != nil {
			m.alarm("object_invalid", "object", key.String(), "version", r.Version, "in_force", o.inForce, "error", o.parseErr)
		}
		if changed {
			m.applyInForceChange(key, o)
		}
	}
	return news
}

// deletedMeanwhile turns a record of an object that is not known here into its
// deletion, when every object up to the record's version is known: a peer that
// missed the deletion must not bring the object back.
func (m *Machine) deletionIfMissed(r ObjectRecord) ObjectRecord {
	_, known := m.objects.objects[objectKey{r.Kind, r.Name}]
	if known || r.Kind == kindVMs || r.Version > m.completeRevision {
		return r
	}
	return ObjectRecord{Kind: r.Kind, Name: r.Name, Version: m.completeRevision, Deleted: true}
}

// inForceChanged updates what depends on an object.
func (m *Machine) applyInForceChange(key objectKey, o *object) {
	if m.Ready() {
		m.log("object_in_force", "object", key.String(), "version", o.inForce, "deleted", o.record.Deleted, "from", o.source)
	}
	if key.kind == kindVMs && o.vms != nil {
		m.members.applyList(o.vms.VMs, m.now)
		m.rejoinIfDelisted()
		return
	}
	if key.kind == platform.KindServer {
		m.handleRegistrationChange(key.name, o)
		return
	}
	m.snapshot.markObjectChanged(key)
	if key.kind == platform.KindGroup {
		m.emit(ShareObject{Record: o.record, From: o.source})
	}
}

// refuteList returns at once when the platform's list dropped this VM.
func (m *Machine) rejoinIfDelisted() {
	own := m.members.members[m.cfg.Self.ID].record
	if own.Status == StatusDead && m.self.rejoinAt == 0 {
		m.rejoin(m.self.incarnation + 1)
	}
}

// relay passes news on: to this data centre unless it came from there, and to
// one VM of each other data centre when it came from the store.
func (m *Machine) relayUpdates(news []ObjectRecord, since, revision uint64, from string) {
	if len(news) == 0 || m.inOwnDataCentre(from) {
		return
	}
	message := ObjectUpdate{Since: since, Revision: revision, Objects: news}
	m.notify(m.localPeers(), method.Objects, message)
	if from == sourceStore || from == sourceWatch {
		m.notify(m.ring.relays, method.Objects, message)
	}
}

// objectNews takes relayed objects in.
func (m *Machine) handleObjectUpdate(from string, n ObjectUpdate) {
	m.self.lastReceived = m.now
	news := m.mergeObjects(n.Objects, from)
	if m.Ready() && n.Since <= m.completeRevision && n.Revision > m.completeRevision {
		m.completeRevision = n.Revision
	}
	if len(news) > 0 {
		m.relayUpdates(m.knownRecords(n.Objects), n.Since, n.Revision, from)
	}
}

// held returns what is known here of the objects of a message. News is relayed
// whole: the claim to be complete after it holds for those only that have all of
// it, and what is no news here may be news to them.
func (m *Machine) knownRecords(message []ObjectRecord) []ObjectRecord {
	known := make([]ObjectRecord, 0, len(message))
	for _, r := range message {
		if o := m.objects.objects[objectKey{r.Kind, r.Name}]; o != nil {
			known = append(known, o.record)
		}
	}
	return known
}

// objectChanged takes in an object that another machine read or wrote.
func (m *Machine) handleObjectChanged(e reducer.ObjectChanged) {
	r := ObjectRecord{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: e.Deleted, Value: e.Value}
	news := m.mergeObjects([]ObjectRecord{r}, e.From)
	m.relayUpdates(news, 0, 0, e.From)
}

// records converts objects of the store.
func toRecords(objects []platform.Object) []ObjectRecord {
	out := make([]ObjectRecord, 0, len(objects))
	for _, o := range objects {
		out = append(out, ObjectRecord{Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return out
}

// compare notes whether a peer's digests differ from the own ones. With equal
// objects the peer's completeness holds here too.
func (m *Machine) compareDigests(from string, h Heartbeat) {
	if h.Objects == m.objects.digest && h.Complete > m.completeRevision {
		m.completeRevision = h.Complete
	}
	if h.Objects == m.objects.digest && h.Members == m.members.currentDigest() {
		delete(m.sync.differsSince, from)
		return
	}
	if _, known := m.sync.differsSince[from]; !known {
		m.sync.differsSince[from] = m.now
	}
}

// fetchWhenDue asks a peer whose digests have differed for a while, one at a time.
func (m *Machine) fetchWhenDue() {
	for vm, at := range m.sync.fetchStarted {
		if m.now-at > m.opts.FetchTimeout {
			delete(m.sync.fetchStarted, vm)
		}
	}
	if !m.Ready() {
		m.logWaiting()
		if m.now >= m.sync.nextSeedFetch {
			m.fetchFromSeeds()
		}
		return
	}
	if len(m.sync.fetchStarted) > 0 {
		return
	}
	var due []string
	for vm, since := range m.sync.differsSince {
		if known := m.members.members[vm]; known == nil || !known.reachable() {
			delete(m.sync.differsSince, vm)
			continue
		}
		if m.now-since >= m.opts.FetchDelay {
			due = append(due, vm)
		}
	}
	if len(due) > 0 {
		m.fetch(m.pickNext(due))
		return
	}
	m.fetchLastValid()
}

// fetchGood asks a peer for the last valid value of objects that have none in
// force here. Digests do not show the difference, as the newest version is the same.
func (m *Machine) fetchLastValid() {
	buckets := m.objects.bucketsWithoutValue()
	peers := m.ring.successors
	if len(peers) == 0 {
		peers = m.ring.farPeers
	}
	if len(buckets) == 0 || len(peers) == 0 || m.now < m.sync.nextLastValidFetch {
		return
	}
	m.sync.nextLastValidFetch = m.now + m.jitter(lastValidInterval)
	vm := m.pickNext(peers)
	request := m.newFetchRequest()
	for _, b := range buckets {
		request.Objects[b] = ^m.objects.buckets[b]
	}
	m.sync.fetchStarted[vm] = m.now
	m.emit(FetchCopy{From: vm, Request: request})
}

// oneOf picks a VM, another one each time.
func (m *Machine) pickNext(vms []string) string {
	sort.Strings(vms)
	m.pickCounter++
	return vms[int(m.pickCounter)%len(vms)]
}

func (m *Machine) newFetchRequest() FetchRequest {
	return FetchRequest{Objects: append([]uint64(nil), m.objects.buckets[:]...), Members: m.members.currentDigest()}
}

func (m *Machine) fetch(vm string) {
	delete(m.sync.differsSince, vm)
	m.sync.fetchStarted[vm] = m.now
	m.emit(FetchCopy{From: vm, Request: m.newFetchRequest()})
}

// fetchFromSeeds asks some known VMs for a copy while this VM has none.
func (m *Machine) fetchFromSeeds() {
	m.sync.nextSeedFetch = m.now + m.jitter(time.Second)
	seeds := m.seeds()
	for i := 0; i < maxSeedFetches && i < len(seeds); i++ {
		vm := seeds[(m.sync.seedCursor+i)%len(seeds)]
		if _, busy := m.sync.fetchStarted[vm]; !busy {
			m.fetch(vm)
		}
	}
	m.sync.seedCursor += maxSeedFetches
}

// seeds returns the VMs of the settings and of the platform's list, this data
// centre's first, in an order that differs between VMs.
func (m *Machine) seeds() []string {
	dc := map[string]string{}
	for _, vm := range m.cfg.Seeds {
		dc[vm.ID] = vm.DataCentre
	}
	for id, x := range m.members.members {
		if x.vm.ID != "" {
			dc[id] = x.vm.DataCentre
		}
	}
	delete(dc, m.cfg.Self.ID)
	ids := make([]string, 0, len(dc))
	for id := range dc {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	sort.Slice(ids, func(i, j int) bool {
		return xxhash.Sum64String(m.cfg.Self.ID+ids[i]) < xxhash.Sum64String(m.cfg.Self.ID+ids[j])
	})
	sort.SliceStable(ids, func(i, j int) bool {
		return dc[ids[i]] == m.dataCentre() && dc[ids[j]] != m.dataCentre()
	})
	return ids
}

// noticeWaiting says what a VM without catalogue waits for.
func (m *Machine) logWaiting() {
	if m.now-m.sync.lastWaitingLog < m.opts.WaitingLogInterval {
		return
	}
	m.sync.lastWaitingLog = m.now
	m.alarm("waiting_for_catalogue", "store", m.store.describe(), "peers_known", len(m.seeds()))
}

// peerFetched takes a peer's copy in.
func (m *Machine) handlePeerFetched(e PeerFetched) {
	delete(m.sync.fetchStarted, e.From)
	if e.Err != nil {
		m.log("fetch_failed", "from", e.From, "error", e.Err)
		return
	}
	news := m.mergeObjects(e.Reply.Objects, e.From)
	if !m.Ready() && e.Reply.Complete > 0 {
		m.completeRevision = e.Reply.Complete
		m.log("catalogue_from_peer", "from", e.From, "revision", e.Reply.Complete)
	}
	for _, r := range e.Reply.Members {
		m.mergeRecord(r, e.From)
	}
	if !m.Ready() && len(news) > 0 {
		m.fetch(e.From)
		return
	}
	if len(news) <= maxRelayedObjects {
		m.relayUpdates(news, 0, 0, e.From)
	}
}

// maxRelayedObjects bounds what a VM passes on from another data centre's copy;
// a larger difference spreads by fetches.
const maxRelayedObjects = 100

// peerAsked answers a peer's fetch.
func (m *Machine) handleFetchRequested(e FetchRequested) {
	reply := FetchReply{}
	if m.Ready() {
		var more bool
		reply.Objects, more = m.objects.differing(e.Request.Objects)
		if !more {
			reply.Complete = m.completeRevision
		}
		if e.Request.Members != m.members.currentDigest() {
			reply.Members = m.members.outgoingRecords()
		}
	}
	m.emit(RespondToFetch{RequestID: e.RequestID, Reply: reply})
}
