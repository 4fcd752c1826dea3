package control

import (
	"bytes"
	"sort"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/platform"
)

// documentState tracks the catalogue where the store keeps it as one document. The version
// of an entry is then that of a document, and an entry that has its old value again may
// keep an old version: a version alone does not tell which of two values is later. The
// completeness of a VM does: what it holds is what the document of that version holds.
type documentState struct {
	// changed holds the entries that changed since the completeness was raised. They belong
	// to later documents, and differ from VM to VM.
	changed map[objectKey]bool
}

func newDocumentState() documentState { return documentState{changed: map[objectKey]bool{}} }

// isDocument reports whether the store keeps the objects of a kind as one document.
func (m *Machine) isDocument(kind string) bool {
	return m.opts.CatalogueIsDocument && kind == platform.KindCatalogue
}

// resolveEntry prepares a peer's record of a document's entry for the merge, and reports
// whether it may be merged. asOf is the version of the document that the record is known to
// agree with; 0: none. A record of another value supersedes the known one only if it agrees
// with a later document.
func (m *Machine) resolveEntry(r ObjectRecord, asOf uint64) (ObjectRecord, bool) {
	complete := m.completeUpTo(r.Kind)
	var known ObjectRecord
	if o := m.objects.objects[objectKey{r.Kind, r.Name}]; o != nil {
		known = o.record
	}
	if known.Version != 0 && hasSameValue(known, r) {
		return r, r.Version > max(known.Version, complete)
	}
	theirs, ours := max(r.Version, asOf), max(known.Version, complete)
	sameDocument := theirs == ours && asOf == ours && r.Version > known.Version
	if theirs > ours || sameDocument {
		r.Version = theirs
		return r, true
	}
	return r, known.Version == 0 // an unknown entry was deleted, see deletionIfStale
}

// hasSameValue reports whether two records of an entry have the same value, whatever their
// versions.
func hasSameValue(a, b ObjectRecord) bool {
	return a.Deleted == b.Deleted && bytes.Equal(a.Value, b.Value)
}

// mergeDocument merges all entries of a document. It relays those that changed in an update
// whose range starts at the document up to which this VM was complete.
func (m *Machine) mergeDocument(kind string, list platform.ObjectList, from, reason string) {
	since, wasReady := m.completeUpTo(kind), m.Ready()
	if list.Revision < since {
		m.log("list_outdated", "kind", kind, "revision", list.Revision, "complete", since)
		return
	}
	records := append(m.withoutKnownValues(toRecords(list.Objects)), m.deletionsFromList(kind, list)...)
	merged := m.mergeObjects(records, from, list.Revision)
	for _, r := range merged {
		m.document.changed[objectKey{r.Kind, r.Name}] = true
	}
	update := ObjectUpdate{Kind: kind, Since: since, Revision: list.Revision, Objects: m.changedEntries()}
	if list.Revision == since && len(merged) > 0 {
		m.alarm("configuration_corrected", "version", since, "complete_from", m.completeFrom[kind], "entries", len(merged))
		m.completeFrom[kind] = reason
		m.forgetChangedEntries(since)
	}
	m.raiseComplete(kind, list.Revision, reason)
	if wasReady && (from == sourceWatch || len(update.Objects) <= maxRelayedObjects) {
		m.relay(update, from)
	}
}

// changedEntries returns the records of the entries that changed since the completeness was
// raised, by name.
func (m *Machine) changedEntries() []ObjectRecord {
	var records []ObjectRecord
	for key := range m.document.changed {
		records = append(records, m.objects.objects[key].record)
	}
	sort.Slice(records, func(i, j int) bool { return records[i].Name < records[j].Name })
	return records
}

// markChangedEntries records that entries of another VM's copy belong to later documents than
// the one up to which that VM is complete.
func (m *Machine) markChangedEntries(records []ObjectRecord) {
	for _, r := range records {
		key := objectKey{r.Kind, r.Name}
		if o := m.objects.objects[key]; o != nil && o.record.Version > m.completeUpTo(r.Kind) {
			m.document.changed[key] = true
		}
	}
}

// statedCompleteness returns the completeness that this VM states beside a digest of all its
// objects. The digest is that of no document while entries of later ones are among them.
func (m *Machine) statedCompleteness() Completeness {
	stated := m.complete
	if len(m.document.changed) > 0 {
		stated.Catalogue = 0
	}
	return stated
}

// forgetChangedEntries ends the record of changed entries up to a document that this VM now
// holds. Entries of later documents remain.
func (m *Machine) forgetChangedEntries(complete uint64) {
	for key := range m.document.changed {
		if m.objects.objects[key].record.Version <= complete {
			delete(m.document.changed, key)
		}
	}
}

// completesDocument reports whether this VM holds the document of the update's revision
// after merging the update: it must have held exactly that of the start of the update's
// range, and peers must have changed no entry since that the update lacks.
func (m *Machine) completesDocument(update ObjectUpdate) bool {
	if update.Since != m.completeUpTo(update.Kind) {
		return false
	}
	contained := make(map[objectKey]bool, len(update.Objects))
	for _, r := range update.Objects {
		contained[objectKey{r.Kind, r.Name}] = true
	}
	for key := range m.document.changed {
		if !contained[key] {
			return false
		}
	}
	return true
}

// entryHash returns the hash of an entry of a document by its value, so that VMs that hold
// the same document have equal digests whatever the versions of the entries. It is 0 for a
// deleted entry, which some VMs may never have known.
func entryHash(key string, r ObjectRecord) uint64 {
	if r.Deleted || r.Version == 0 {
		return 0
	}
	h := xxhash.New()
	_, _ = h.WriteString(key) // a hash has no errors
	_, _ = h.Write([]byte{0})
	_, _ = h.Write(r.Value)
	return h.Sum64()
}
