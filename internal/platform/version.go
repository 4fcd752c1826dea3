package platform

// A store may be replaced by an older copy of itself. It then gives out revisions again,
// so revisions are comparable only within an epoch: the period from one such return to the
// next. Versions contain the epoch in their upper bits and the revision in their lower
// ones, so that those of a later epoch are higher. Stores without epochs are in epoch 0,
// where versions equal revisions.

// revisionBits is the number of bits of a version that hold the revision.
const revisionBits = 40

// MaxRevision and MaxEpoch are the highest revision and epoch that a version can hold.
const (
	MaxRevision = 1<<revisionBits - 1
	MaxEpoch    = 1<<(63-revisionBits) - 1
)

// MakeVersion returns the version of a revision in an epoch, which are at most MaxRevision
// and MaxEpoch.
func MakeVersion(epoch, revision uint64) uint64 { return epoch<<revisionBits | revision }

// EpochOf returns the epoch of a version.
func EpochOf(version uint64) uint64 { return version >> revisionBits }

// RevisionOf returns the revision of a version within its epoch.
func RevisionOf(version uint64) uint64 { return version & MaxRevision }
