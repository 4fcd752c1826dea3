package objectapi

import (
	"slices"
	"sort"
	"sync"

	"egretroad/internal/platform"
)

// retainedChanges is the number of recent changes that the compaction in record keeps for
// watches to start from.
const retainedChanges = 10_000

type objectKey struct{ kind, name string }

// store holds the objects and the most recent changes.
type store struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[objectKey]platform.Object // without deleted objects
	changes   []platform.Object             // oldest first
	compacted uint64                        // watches from an older revision are rejected
	changed   chan struct{}                 // closed by the next change
}

func newStore() *store {
	return &store{objects: map[objectKey]platform.Object{}, changed: make(chan struct{})}
}

func (s *store) get(kind, name string) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[objectKey{kind, name}]
	return o, ok
}

func (s *store) list(kind string) platform.ObjectList {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := platform.ObjectList{Revision: s.revision, Objects: []platform.Object{}}
	for k, o := range s.objects {
		if k.kind == kind {
			l.Objects = append(l.Objects, o)
		}
	}
	sort.Slice(l.Objects, func(i, j int) bool { return l.Objects[i].Name < l.Objects[j].Name })
	return l
}

// put replaces an object if its version is ifVersion; 0 creates the object. Otherwise
// it returns the current object and false.
func (s *store) put(kind, name string, ifVersion uint64, value []byte) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current := s.objects[objectKey{kind, name}]
	if current.Version != ifVersion {
		return current, false
	}
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Version: s.revision, Value: value}
	s.objects[objectKey{kind, name}] = o
	s.record(o)
	return o, true
}

// delete removes an object if its version is ifVersion. Otherwise it returns the
// current object and false.
func (s *store) delete(kind, name string, ifVersion uint64) (platform.Object, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, exists := s.objects[objectKey{kind, name}]
	if !exists || current.Version != ifVersion {
		return current, false
	}
	s.revision++
	o := platform.Object{Kind: kind, Name: name, Version: s.revision, Deleted: true}
	delete(s.objects, objectKey{kind, name})
	s.record(o)
	return o, true
}

// record appends a change, compacts the history to retainedChanges once it is more
// than twice as long, and wakes the watches.
func (s *store) record(o platform.Object) {
	s.changes = append(s.changes, o)
	if len(s.changes) > 2*retainedChanges {
		s.compact(len(s.changes) - retainedChanges)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

// compact discards the n oldest changes.
func (s *store) compact(n int) {
	s.compacted = s.changes[n-1].Version
	s.changes = append([]platform.Object(nil), s.changes[n:]...)
}

// since returns the latest state of the objects of the given kinds (all kinds if
// empty) that changed after a revision, and a channel that is closed by the next
// change. It returns false if the revision is compacted or in the future.
func (s *store) since(revision uint64, kinds []string) (platform.WatchReply, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if revision < s.compacted || revision > s.revision {
		return platform.WatchReply{}, nil, false
	}
	first := sort.Search(len(s.changes), func(i int) bool { return s.changes[i].Version > revision })
	latest := map[objectKey]uint64{}
	for _, o := range s.changes[first:] {
		latest[objectKey{o.Kind, o.Name}] = o.Version
	}
	reply := platform.WatchReply{Revision: s.revision, Objects: []platform.Object{}}
	for _, o := range s.changes[first:] {
		if len(kinds) > 0 && !slices.Contains(kinds, o.Kind) {
			continue
		}
		if latest[objectKey{o.Kind, o.Name}] == o.Version {
			reply.Objects = append(reply.Objects, o)
		}
	}
	return reply, s.changed, true
}
