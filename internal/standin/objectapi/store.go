package objectapi

import (
	"slices"
	"sort"
	"sync"

	"egretroad/internal/platform"
)

// keptChanges is the number of changes that watches can start before.
const keptChanges = 10_000

type objectKey struct{ kind, name string }

// store holds the objects and the latest changes.
type store struct {
	mu        sync.Mutex
	revision  uint64
	objects   map[objectKey]platform.Object // deleted objects leave
	changes   []platform.Object             // oldest first
	compacted uint64                        // watches from below are refused
	changed   chan struct{}                 // closed at the next change
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

// put updates an object when its version is the given one; 0 creates it. When
// it is another, the current object is returned with false.
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
	s.append(o)
	return o, true
}

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
	s.append(o)
	return o, true
}

func (s *store) append(o platform.Object) {
	s.changes = append(s.changes, o)
	if len(s.changes) > 2*keptChanges {
		s.compact(len(s.changes) - keptChanges)
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) compact(n int) {
	s.compacted = s.changes[n-1].Version
	s.changes = append([]platform.Object(nil), s.changes[n:]...)
}

// since returns the objects of the given kinds (none: all) changed after a
// revision, each in its latest state, and a channel that is closed at the next
// change. It returns false when the revision is no longer kept.
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
