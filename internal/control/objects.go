package control

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Kind and name under which the platform's list of VMs is replicated between peers.
// Its version is the list's revision.
const (
	kindVMs = "vms"
	nameVMs = "list"
)

// digestBuckets is the number of digests that a fetch compares, so that the reply
// carries only a small part of the objects when little differs.
const digestBuckets = 64

// maxFetchBytes bounds the total size of the values in one fetch reply; the bucket
// that exceeds it is still sent whole.
const maxFetchBytes = 512 << 10

// bucketSet is a set of buckets, one bit for each.
type bucketSet uint64

func (s bucketSet) has(bucket int) bool { return s&(1<<bucket) != 0 }

type objectKey struct{ kind, name string }

func (k objectKey) String() string { return k.kind + "/" + k.name }

func (k objectKey) bucket() int {
	return int(xxhash.Sum64String(k.String()) % digestBuckets)
}

// object is the newest known version of a platform object and its value in force,
// which is that of an earlier version if the newest is invalid.
type object struct {
	record       ObjectRecord
	source       string        // "store", "watch" or a VM ID
	inForceSince time.Duration // when the version in force arrived, on CLOCK_BOOTTIME
	parseErr     error         // why the newest version is invalid; nil if it is in force
	inForce      uint64        // version in force; 0: none
	entry        *catalogue.Entry
	group        *topology.Group
	vms          *platform.VMList
	server       *topology.Registration
}

// hasValue reports whether the object has a value in force.
func (o *object) hasValue() bool { return o.inForce != 0 }

// objectTable holds the newest record of every object: a record is only replaced by one
// that supersedes it.
type objectTable struct {
	objects        map[objectKey]*object
	buckets        [digestBuckets]uint64 // digests: XOR over the objects' hashes
	digest         uint64                // XOR over the buckets' hashes
	highestVersion uint64                // highest version of any catalogue entry or group
	invalidCount   int                   // objects whose newest version is invalid
	documentKind   string                // kind whose objects are the entries of one document; "" if none is
}

func newObjectTable(o Options) objectTable {
	t := objectTable{objects: make(map[objectKey]*object)}
	if o.CatalogueIsDocument {
		t.documentKind = platform.KindCatalogue
	}
	return t
}

// merge stores a record unless the same or a newer one is known. It reports whether the
// record is new, and whether the value in force changed. A deletion whose write order is
// unknown takes that of the record it replaces. The same write under a later version
// changes nothing in force.
func (t *objectTable) merge(r ObjectRecord, source string, now time.Duration) (isNew, changed bool) {
	if !replicatedKind(r.Kind) || r.Version == 0 {
		return false, false
	}
	key := objectKey{r.Kind, r.Name}
	old := t.objects[key]
	if old == nil {
		old = &object{}
	}
	if !r.supersedes(old.record) && !t.corrects(r, old.record, source) {
		return false, t.mergeLastValid(key, old, r, source, now)
	}
	if r.Deleted && !r.IsKnown() {
		r.WriteOrder = old.record.WriteOrder
	}
	t.updateDigests(key, old.record, r)
	if t.documentKind == r.Kind && old.record.Version != 0 && hasSameValue(old.record, r) {
		t.objects[key] = old.withVersion(r.Version)
		t.highestVersion = max(t.highestVersion, r.Version)
		return false, false
	}
	next := &object{record: r, source: source, inForceSince: now}
	next.parse()
	if next.parseErr != nil {
		next.inheritLastValid(old)
		next.applyLastValid(r, source, now)
	}
	if next.parseErr == nil && old.hasValue() && r.isSameWrite(old.record) {
		next.inForce, next.inForceSince = old.inForce, old.inForceSince
	}
	t.objects[key] = next
	t.updateInvalidCount(old, next)
	if (r.Kind == platform.KindCatalogue || r.Kind == platform.KindGroup) && r.Version > t.highestVersion {
		t.highestVersion = r.Version
	}
	return true, next.inForce != old.inForce
}

// corrects reports whether this VM has read another value of an entry from the document than
// the one that it holds under the same version: the document decides.
func (t *objectTable) corrects(r, old ObjectRecord, source string) bool {
	fromStore := source == sourceStore || source == sourceWatch
	return fromStore && r.Kind == t.documentKind && r.Version == old.Version && !hasSameValue(r, old)
}

// withVersion returns the object with the same value under a later version.
func (o *object) withVersion(version uint64) *object {
	next := *o
	if next.parseErr == nil && next.hasValue() {
		next.inForce = version
	}
	next.record.Version = version
	return &next
}

// mergeLastValid applies a peer's last valid value if it is later than the one here
// and the newest version, the same on both, is invalid.
func (t *objectTable) mergeLastValid(key objectKey, old *object, r ObjectRecord, source string, now time.Duration) bool {
	if old.parseErr == nil || r.Version != old.record.Version {
		return false
	}
	next := *old
	if !next.applyLastValid(r, source, now) {
		return false
	}
	t.objects[key] = &next
	return true
}

// versionOf returns the version of an object's newest record; 0 if it is unknown.
func (t *objectTable) versionOf(key objectKey) uint64 {
	if o := t.objects[key]; o != nil {
		return o.record.Version
	}
	return 0
}

// parse puts the record in force if it is valid, and sets parseErr otherwise.
func (o *object) parse() {
	if o.record.Deleted {
		return
	}
	o.parseErr = o.parseValue(o.record.Value)
	if o.parseErr == nil {
		o.inForce = o.record.Version
	}
}

func (o *object) parseValue(value []byte) error {
	switch o.record.Kind {
	case platform.KindCatalogue:
		parsed, err := catalogue.DecodeObject(o.record.Name, value)
		if err != nil {
			return err
		}
		o.entry = &parsed.Entry
	case platform.KindGroup:
		g, err := decodeGroup(o.record.Name, value)
		if err != nil {
			return err
		}
		o.group = g
	case platform.KindServer:
		r := &topology.Registration{}
		if err := json.Unmarshal(value, r); err != nil {
			return &ValueError{Object: "server/" + o.record.Name, Cause: err}
		}
		o.server = r
	case kindVMs:
		l := &platform.VMList{}
		if err := json.Unmarshal(value, l); err != nil {
			return &ValueError{Object: kindVMs, Cause: err}
		}
		o.vms = l
	}
	return nil
}

// inheritLastValid keeps the value of an earlier version in force.
func (o *object) inheritLastValid(old *object) {
	o.inForce, o.entry, o.group, o.vms, o.server, o.inForceSince = old.inForce, old.entry, old.group, old.vms, old.server, old.inForceSince
	o.record.LastValidVersion, o.record.LastValid = old.record.LastValidVersion, old.record.LastValid
	if old.parseErr == nil {
		o.record.LastValidVersion, o.record.LastValid = old.record.Version, old.record.Value
	}
}

// applyLastValid puts the last valid value of a peer's record in force if it is
// later than the one in force here. It reports whether it did.
func (o *object) applyLastValid(r ObjectRecord, source string, now time.Duration) bool {
	if r.LastValidVersion <= o.inForce || r.LastValidVersion >= r.Version {
		return false
	}
	if o.parseValue(r.LastValid) != nil {
		return false
	}
	o.inForce, o.inForceSince, o.source = r.LastValidVersion, now, source
	o.record.LastValidVersion, o.record.LastValid = r.LastValidVersion, r.LastValid
	return true
}

// updateDigests updates the digests for an object whose record changes.
func (t *objectTable) updateDigests(key objectKey, from, to ObjectRecord) {
	change := t.recordDigest(key, from) ^ t.recordDigest(key, to)
	t.buckets[key.bucket()] ^= change
	t.digest ^= change
}

// recordDigest returns the hash of a record by which VMs compare their objects.
func (t *objectTable) recordDigest(key objectKey, r ObjectRecord) uint64 {
	switch {
	case r.Version == 0:
		return 0
	case key.kind == t.documentKind:
		return entryHash(key.String(), r)
	default:
		return versionHash(key.String(), r.Version)
	}
}

func versionHash(key string, version uint64) uint64 {
	b := make([]byte, 0, len(key)+8)
	b = append(b, key...)
	b = binary.BigEndian.AppendUint64(b, version)
	return xxhash.Sum64(b)
}

// sorted returns the objects of the buckets for which match returns true, by bucket
// and key.
func (t *objectTable) sorted(match func(bucket int) bool) []*object {
	var found []*object
	for key, o := range t.objects {
		if match(key.bucket()) {
			found = append(found, o)
		}
	}
	sort.Slice(found, func(i, j int) bool {
		a, b := found[i].record, found[j].record
		x, y := objectKey{a.Kind, a.Name}, objectKey{b.Kind, b.Name}
		if x.bucket() != y.bucket() {
			return x.bucket() < y.bucket()
		}
		return x.String() < y.String()
	})
	return found
}

// changedSince returns the records of a kind whose version is above a revision, sorted by
// version.
func (t *objectTable) changedSince(kind string, revision uint64) []ObjectRecord {
	var changed []ObjectRecord
	for key, o := range t.objects {
		if key.kind == kind && o.record.Version > revision {
			changed = append(changed, o.record)
		}
	}
	sort.Slice(changed, func(i, j int) bool {
		if changed[i].Version != changed[j].Version {
			return changed[i].Version < changed[j].Version
		}
		return changed[i].Name < changed[j].Name
	})
	return changed
}

// differing returns the records of the buckets whose digests differ from the
// requester's, in whole buckets up to about maxFetchBytes of values, these buckets, and
// whether more buckets differ. Buckets without an object here count too.
func (t *objectTable) differing(digests []uint64) (records []ObjectRecord, buckets bucketSet, more bool) {
	for b := range digestBuckets {
		if len(digests) != digestBuckets || digests[b] != t.buckets[b] {
			buckets |= 1 << b
		}
	}
	bytes, last := 0, -1
	for _, o := range t.sorted(buckets.has) {
		bucket := objectKey{o.record.Kind, o.record.Name}.bucket()
		if bytes > maxFetchBytes && bucket != last {
			return records, buckets & (1<<bucket - 1), true
		}
		last = bucket
		bytes += len(o.record.Value) + len(o.record.LastValid)
		records = append(records, o.record)
	}
	return records, buckets, false
}

// bucketsWithoutValue returns the buckets of objects that have no value in force
// because the newest version is invalid and no earlier one is known.
func (t *objectTable) bucketsWithoutValue() []int {
	if t.invalidCount == 0 {
		return nil
	}
	var buckets []int
	for key, o := range t.objects {
		if o.parseErr != nil && !o.hasValue() {
			buckets = append(buckets, key.bucket())
		}
	}
	return buckets
}

// updateInvalidCount updates the number of objects whose newest version is invalid.
func (t *objectTable) updateInvalidCount(old, next *object) {
	if old.parseErr != nil {
		t.invalidCount--
	}
	if next.parseErr != nil {
		t.invalidCount++
	}
}

// invalidObjects returns kind/name@version of the objects whose newest version is
// invalid, sorted.
func (t *objectTable) invalidObjects() []string {
	if t.invalidCount == 0 {
		return nil
	}
	var names []string
	for key, o := range t.objects {
		if o.parseErr != nil {
			names = append(names, fmt.Sprintf("%s@%d", key, o.record.Version))
		}
	}
	sort.Strings(names)
	return names
}

// replicatedKind reports whether objects of a kind are replicated between peers.
// Leases are not: they are read where they are used.
func replicatedKind(kind string) bool {
	return kind == platform.KindCatalogue || kind == platform.KindGroup || kind == platform.KindServer || kind == kindVMs
}

// decodeGroup decodes and validates the value of a group object.
func decodeGroup(name string, value []byte) (*topology.Group, error) {
	g := &topology.Group{}
	if err := catalogue.DecodeStrict(value, g); err != nil {
		return nil, &ValueError{Object: "group/" + name, Cause: err}
	}
	if g.Database != name {
		return nil, &topology.GroupError{Database: name, Field: "database", Value: fmt.Sprintf("%.80q", g.Database), Want: "the name of its object"}
	}
	if err := g.Check(); err != nil {
		return nil, err
	}
	return g, nil
}

// ValueError reports a platform object whose value cannot be decoded.
type ValueError struct {
	Object string
	Cause  error
}

func (e *ValueError) Error() string {
	return fmt.Sprintf("value of %s cannot be decoded: %v", e.Object, e.Cause)
}

// Unwrap returns the cause.
func (e *ValueError) Unwrap() error { return e.Cause }
