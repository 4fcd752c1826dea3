package control

import (
	"fmt"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// firstWaitingLog is the time after the start at which a VM first logs that it
// waits for the catalogue.
const firstWaitingLog = 2 * time.Second

// lastValidInterval is the interval of requests for the last valid value of objects
// that have no value in force.
const lastValidInterval = 5 * time.Second

// maxSeedFetches is the number of seeds from which copies are fetched at a time.
const maxSeedFetches = 2

// fetchHedgeDelay is how long a fetch may take before a copy is fetched from another peer
// as well.
const fetchHedgeDelay = 500 * time.Millisecond

// syncState is the state of the anti-entropy exchange of objects and members with
// peers.
type syncState struct {
	differsSince       map[string]time.Duration // by VM; when its digests began to differ
	fetchStarted       map[string]time.Duration // by VM; when the fetch in flight started
	nextSeedFetch      time.Duration
	seedCursor         int
	nextLastValidFetch time.Duration
	lastWaitingLog     time.Duration // time of the last log line about waiting
}

func newSyncState() syncState {
	return syncState{differsSince: map[string]time.Duration{}, fetchStarted: map[string]time.Duration{}}
}

// mergeObjects merges records and returns those that were new. asOf is the revision of the
// store as of which the records hold; 0 if it is unknown.
func (m *Machine) mergeObjects(records []ObjectRecord, from string, asOf uint64) []ObjectRecord {
	var newRecords []ObjectRecord
	for _, r := range records {
		received := r
		fromPeer := from != sourceStore && from != sourceWatch
		if fromPeer && m.isDocument(r.Kind) {
			var mayMerge bool
			if r, mayMerge = m.resolveEntry(r, asOf); !mayMerge {
				continue
			}
		}
		if fromPeer {
			r = m.deletionIfStale(r)
		}
		key := objectKey{r.Kind, r.Name}
		before := m.objects.versionOf(key)
		isNew, changed := m.objects.merge(r, from, m.now)
		o := m.objects.objects[key]
		if fromPeer && m.isDocument(r.Kind) && m.objects.versionOf(key) > max(before, m.completeUpTo(r.Kind)) {
			m.document.changed[key] = true
		}
		if isNew {
			newRecords = append(newRecords, o.record)
			m.status.reportPending = true
		}
		if isNew && r.Deleted && !received.Deleted {
			m.log("deletion_inferred", "object", key.String(), "from", from, "version", received.Version,
				"complete", m.completeUpTo(r.Kind), "complete_from", m.completeFrom[r.Kind])
		}
		if isNew && o.parseErr != nil {
			m.alarm("object_invalid", "object", key.String(), "version", r.Version, "in_force", o.inForce, "error", o.parseErr)
		}
		if changed {
			m.applyInForceChange(key, o)
		}
	}
	return newRecords
}

// completeUpTo returns the revision up to which every object of a kind is known.
func (m *Machine) completeUpTo(kind string) uint64 {
	if revision := m.complete.of(kind); revision != nil {
		return *revision
	}
	return 0
}

// raiseComplete raises the revision up to which every object of a kind is known. from
// tells why it is.
func (m *Machine) raiseComplete(kind string, revision uint64, from string) {
	known := m.complete.of(kind)
	if known == nil || revision <= *known {
		return
	}
	previous := *known
	*known, m.completeFrom[kind] = revision, from
	if m.isDocument(kind) {
		m.forgetChangedEntries(revision)
		m.log("configuration_complete", "version", revision, "previous", previous, "from", from, "later_entries", len(m.document.changed))
	}
}

// adoptCompleteness raises the completeness of both kinds to that of another VM.
func (m *Machine) adoptCompleteness(c Completeness, from string) {
	m.raiseComplete(platform.KindCatalogue, c.Catalogue, from)
	m.raiseComplete(m.opts.groupKind(), c.Groups, from)
}

// deletionIfStale converts a peer's record of an unknown object into a deletion if every
// object of its kind up to the record's version is known here: a peer that missed the
// deletion must not resurrect the object.
func (m *Machine) deletionIfStale(r ObjectRecord) ObjectRecord {
	_, known := m.objects.objects[objectKey{r.Kind, r.Name}]
	complete := m.completeUpTo(r.Kind)
	if known || r.Version > complete {
		return r
	}
	return ObjectRecord{Kind: r.Kind, Name: r.Name, Version: complete, Deleted: true, WriteOrder: r.WriteOrder}
}

// applyInForceChange updates the state that depends on an object's value in force.
func (m *Machine) applyInForceChange(key objectKey, o *object) {
	if m.Ready() {
		m.log("object_in_force", "object", key.String(), "version", o.inForce, "deleted", o.record.Deleted, "from", o.source)
	}
	if key.kind == kindVMs && o.vms != nil {
		m.members.applyVMList(o.vms, m.opts.RestoredVMsTTL, m.now)
		m.rejoinIfDelisted()
		m.registerIfMissing(o.vms.VMs)
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

// registerIfMissing writes this VM's entry again if a list of VMs lacks it.
func (m *Machine) registerIfMissing(list []topology.VM) {
	if !m.opts.VMsRegister || m.self.leaving {
		return
	}
	for _, vm := range list {
		if vm.ID == m.cfg.Self.ID {
			return
		}
	}
	m.log("vm_entry_missing", "listed", len(list))
	m.emit(RegisterSelf{})
}

// rejoinIfDelisted rejoins immediately if this VM is missing from the platform's list.
func (m *Machine) rejoinIfDelisted() {
	own := m.members.members[m.cfg.Self.ID].record
	if own.Status == StatusDead && !m.awaitsRejoin() {
		m.rejoin(m.self.incarnation + 1)
	}
}

// relayObjects relays changed objects without a range of revisions.
func (m *Machine) relayObjects(changed []ObjectRecord, from string) {
	m.relay(ObjectUpdate{Objects: changed}, from)
}

// relay relays an update: to the VMs of this data centre unless it came from one of them,
// and to one VM of each other data centre if it came from the store.
func (m *Machine) relay(message ObjectUpdate, from string) {
	if len(message.Objects) == 0 || m.inOwnDataCentre(from) {
		return
	}
	m.notify(m.localPeers(), method.Objects, message)
	if from == sourceStore || from == sourceWatch {
		m.notify(m.ring.relays, method.Objects, message)
	}
}

// handleObjectUpdate merges and relays an update received from a peer.
func (m *Machine) handleObjectUpdate(from string, update ObjectUpdate) {
	m.self.lastReceived = m.now
	changed := m.mergeObjects(update.Objects, from, update.Revision)
	if m.Ready() && m.completes(update) {
		m.raiseComplete(update.Kind, update.Revision, fmt.Sprintf("update of %s since %d", from, update.Since))
	}
	if len(changed) == 0 || len(changed) > maxRelayedObjects && m.watchWorksInOwnDataCentre() {
		return
	}
	update.Objects = m.knownRecords(update.Objects)
	if m.isDocument(update.Kind) && m.completeUpTo(update.Kind) > update.Revision {
		update = ObjectUpdate{Objects: update.Objects} // entries known here may be of a later document
	}
	m.relay(update, from)
}

// completes reports whether this VM knows every object of the update's kind up to the
// update's revision once it has merged the update.
func (m *Machine) completes(update ObjectUpdate) bool {
	if m.isDocument(update.Kind) {
		return m.completesDocument(update)
	}
	return update.Since <= m.completeUpTo(update.Kind)
}

// knownRecords returns the known records of the objects in a message. An update is
// relayed in full, including objects that are not new here: a receiver may lack them,
// and it is complete up to the update's revision only if it has all of them.
func (m *Machine) knownRecords(message []ObjectRecord) []ObjectRecord {
	known := make([]ObjectRecord, 0, len(message))
	for _, r := range message {
		if o := m.objects.objects[objectKey{r.Kind, r.Name}]; o != nil {
			known = append(known, o.record)
		}
	}
	return known
}

// handleObjectChanged merges an object that another machine of this process read or
// wrote.
func (m *Machine) handleObjectChanged(e reducer.ObjectChanged) {
	r := ObjectRecord{Kind: e.Kind, Name: e.Name, Version: e.Version, Deleted: e.Deleted, Value: e.Value}
	changed := m.mergeObjects([]ObjectRecord{r}, e.From, 0)
	m.relayObjects(changed, e.From)
}

// toRecords converts objects of the store to records.
func toRecords(objects []platform.Object) []ObjectRecord {
	out := make([]ObjectRecord, 0, len(objects))
	for _, o := range objects {
		out = append(out, ObjectRecord{Kind: o.Kind, Name: o.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value, WriteOrder: o.WriteOrder})
	}
	return out
}

// compareDigests records whether a peer's digests differ from the local ones. If the
// objects are equal, the peer's completeness applies here as well.
func (m *Machine) compareDigests(from string, h Heartbeat) {
	if h.Objects == m.objects.digest {
		m.adoptCompleteness(h.Complete, "digest of "+from)
	}
	if h.Objects == m.objects.digest && h.Members == m.members.currentDigest() {
		delete(m.sync.differsSince, from)
		return
	}
	if _, known := m.sync.differsSince[from]; !known {
		m.sync.differsSince[from] = m.now
	}
}

// fetchWhenDue fetches from a peer whose digests have differed for FetchDelay. A fetch in
// flight holds up the next one for fetchHedgeDelay at most, since its peer may be silent.
// Before the machine is ready, and while nobody sends it changes, it fetches from seeds.
func (m *Machine) fetchWhenDue() {
	for vm, startedAt := range m.sync.fetchStarted {
		if m.now-startedAt > m.opts.FetchTimeout {
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
	if m.getsNoChanges() && m.now >= m.sync.nextSeedFetch {
		m.fetchFromSeeds()
		return
	}
	for _, startedAt := range m.sync.fetchStarted {
		if m.now-startedAt < fetchHedgeDelay {
			return
		}
	}
	var due []string
	for vm, since := range m.sync.differsSince {
		if _, busy := m.sync.fetchStarted[vm]; busy {
			continue
		}
		if peer := m.members.members[vm]; peer == nil || !peer.reachable() {
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

// getsNoChanges reports whether the store does not serve this VM and no other VM tells it of
// changes, because they hold it for dead or because their messages do not arrive.
func (m *Machine) getsNoChanges() bool {
	return (m.awaitsRejoin() || m.isolated()) && !m.hasWatchContact()
}

// fetchLastValid requests from a peer the last valid value of objects that have none
// in force here. Digests do not show this difference because the newest version is
// the same; inverting the digests of their buckets makes the peer send them.
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

// pickNext returns one of the VMs, a different one on each call.
func (m *Machine) pickNext(candidates []string) string {
	sort.Strings(candidates)
	m.pickCounter++
	return candidates[int(m.pickCounter)%len(candidates)]
}

func (m *Machine) newFetchRequest() FetchRequest {
	return FetchRequest{Objects: append([]uint64(nil), m.objects.buckets[:]...), Members: m.members.currentDigest()}
}

func (m *Machine) fetch(vm string) {
	delete(m.sync.differsSince, vm)
	m.sync.fetchStarted[vm] = m.now
	m.emit(FetchCopy{From: vm, Request: m.newFetchRequest()})
}

// fetchFromSeeds fetches copies from the next seeds, in round-robin order.
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

// seeds returns the VMs from the settings and the members with known addresses,
// those of this data centre first, in an order that differs between VMs.
func (m *Machine) seeds() []string {
	dc := map[string]string{}
	for _, vm := range m.cfg.Seeds {
		dc[vm.ID] = vm.DataCentre
	}
	for id, peer := range m.members.members {
		if peer.vm.ID != "" {
			dc[id] = peer.vm.DataCentre
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

// logWaiting logs what a VM without a catalogue waits for.
func (m *Machine) logWaiting() {
	if m.now-m.sync.lastWaitingLog < m.opts.WaitingLogInterval {
		return
	}
	m.sync.lastWaitingLog = m.now
	m.alarm("waiting_for_catalogue", "store", m.store.describe(), "peers_known", len(m.seeds()))
}

// handlePeerFetched merges a peer's copy. A VM that is not ready yet fetches again
// from the same peer until it has every object.
func (m *Machine) handlePeerFetched(e PeerFetched) {
	delete(m.sync.fetchStarted, e.From)
	if e.Err != nil {
		m.log("fetch_failed", "from", e.From, "error", e.Err)
		return
	}
	records := slices.Concat(e.Reply.Objects, e.Reply.Later, m.deletionsFromCopy(e.Reply))
	changed := m.mergeObjects(records, e.From, e.Reply.Complete.Catalogue)
	whole := m.holdsCopy(e.Request, e.Reply)
	if !m.Ready() && whole {
		m.markChangedEntries(e.Reply.Later)
		m.adoptCompleteness(e.Reply.Complete, "copy of "+e.From)
		if m.Ready() {
			m.log("catalogue_from_peer", "from", e.From, "revision", m.complete.lowest())
		}
	}
	for _, r := range e.Reply.Members {
		m.mergeRecord(r, e.From)
	}
	if !m.Ready() && (len(changed) > 0 || !whole && e.Reply.Complete != (Completeness{})) {
		m.fetch(e.From)
		return
	}
	if len(changed) <= maxRelayedObjects {
		m.relayObjects(changed, e.From)
	}
}

// deletionsFromCopy returns deletions of the objects that the sender of a copy does not know
// although it knows every object up to a later revision than this VM: they were deleted, and
// the sender has never known them.
func (m *Machine) deletionsFromCopy(reply FetchReply) []ObjectRecord {
	present := make(map[objectKey]bool, len(reply.Objects)+len(reply.Later))
	for _, r := range slices.Concat(reply.Objects, reply.Later) {
		present[objectKey{r.Kind, r.Name}] = true
	}
	var deletions []ObjectRecord
	for key, o := range m.objects.objects {
		revision := reply.Complete.of(key.kind)
		if revision == nil || *revision <= m.completeUpTo(key.kind) || !reply.Buckets.has(key.bucket()) {
			continue
		}
		if !present[key] && !o.record.Deleted && o.record.Version <= *revision {
			deletions = append(deletions, ObjectRecord{Kind: key.kind, Name: key.name, Version: *revision, Deleted: true})
		}
	}
	return deletions
}

// holdsCopy reports whether this VM holds every object of a copy that it has merged, and none
// that the sender lacks: others may have sent such since the request. A sender of an earlier
// version does not tell which buckets it has sent.
func (m *Machine) holdsCopy(request FetchRequest, reply FetchReply) bool {
	if reply.Buckets == 0 && len(reply.Objects) > 0 {
		return true
	}
	for b, digest := range m.objects.buckets {
		if !reply.Buckets.has(b) && (len(request.Objects) != digestBuckets || request.Objects[b] != digest) {
			return false
		}
	}
	return true
}

// maxRelayedObjects is the largest number of objects relayed after a fetch or a list, or
// from another data centre while a VM of this one watches; larger differences are replicated
// by fetches.
const maxRelayedObjects = 100

// handleFetchRequested replies to a peer's fetch.
func (m *Machine) handleFetchRequested(e FetchRequested) {
	reply := FetchReply{}
	if m.Ready() {
		var more bool
		reply.Objects, reply.Buckets, more = m.objects.differing(e.Request.Objects)
		if !more {
			reply.Complete, reply.Later = m.complete, m.changedEntries()
		}
		if e.Request.Members != m.members.currentDigest() {
			reply.Members = m.members.outgoingRecords()
		}
	}
	m.emit(ReplyToFetch{RequestID: e.RequestID, Reply: reply})
}
