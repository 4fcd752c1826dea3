package operate

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
)

// maxChanges is the number of changes retained in the history of an entry.
const maxChanges = 50

// Change is one change in the history of an entry. Like a write-ahead record, it is
// stored before the entry is written, so that the outcome of a write with a lost
// response can be determined later. Version is added after the write.
type Change struct {
	ID          string           `json:"id"`
	By          string           `json:"by"`
	At          time.Time        `json:"at"`
	BaseVersion uint64           `json:"baseVersion"`      // version that it replaced; 0: the entry was created
	BaseID      string           `json:"baseId,omitempty"` // ID of the change that wrote BaseVersion
	Version     uint64           `json:"version,omitempty"`
	Entry       *catalogue.Entry `json:"entry,omitempty"` // nil: deleted
	// Outcome is set by Operator.History to one of the Outcome constants.
	Outcome string `json:"outcome,omitempty"`
}

// Outcomes of a change.
const (
	OutcomeApplied    = "applied"
	OutcomeNotApplied = "not applied"
	OutcomeUnknown    = "unknown"
)

// History holds the latest changes of an entry, oldest first. It is the value of the
// platform object of kind "history" with the entry's name.
type History struct {
	Changes []Change `json:"changes"`
}

func newChange(edit catalogue.Edit, base Item, e *catalogue.Entry) Change {
	c := Change{ID: edit.ID, By: edit.By, At: edit.At, BaseVersion: base.Version, Entry: e}
	if base.Edit != nil {
		c.BaseID = base.Edit.ID
	}
	return c
}

func (h *History) find(id string) *Change {
	for i := range h.Changes {
		if h.Changes[i].ID == id {
			return &h.Changes[i]
		}
	}
	return nil
}

// hasSuccessor reports whether a recorded change is based on the change with the
// given ID, which proves that the latter took effect.
func (h *History) hasSuccessor(id string) bool {
	for _, c := range h.Changes {
		if c.BaseID == id {
			return true
		}
	}
	return false
}

// History returns the latest changes of an entry, oldest first. It derives the
// outcome of each from the entry's object and from later changes.
func (o *Operator) History(ctx context.Context, name string) ([]Change, error) {
	h, _, err := o.readHistory(ctx, name)
	if err != nil {
		return nil, err
	}
	current, err := o.currentItem(ctx, name)
	if err != nil {
		return nil, err
	}
	if len(h.Changes) == 0 && current.Version == 0 {
		return nil, &NotFoundError{Resource: "entry", Name: name, Hint: `"egretroad catalogue list" lists all entries`}
	}
	for i := range h.Changes {
		h.Changes[i].Outcome = h.outcome(h.Changes[i], current)
	}
	return h.Changes, nil
}

func (h *History) outcome(c Change, current Item) string {
	switch {
	case c.Version != 0, h.hasSuccessor(c.ID), current.Edit != nil && current.Edit.ID == c.ID:
		return OutcomeApplied
	case current.Version == c.BaseVersion:
		return OutcomeNotApplied
	case c.Entry != nil && current.Version != 0 && current.Edit != nil:
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}

func (o *Operator) readHistory(ctx context.Context, name string) (History, uint64, error) {
	object, err := o.store.Get(ctx, platform.KindHistory, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return History{}, 0, nil
	}
	if err != nil {
		return History{}, 0, err
	}
	var h History
	if err := catalogue.DecodeStrict(object.Value, &h); err != nil {
		return History{}, 0, &InvalidObjectError{Object: object, Cause: err}
	}
	return h, object.Version, nil
}

// updateHistory applies update to the history in a compare-and-swap loop until a
// write succeeds, fails other than by a conflict, or ctx ends. It returns without a
// write if isDone reports that the history needs no update.
func (o *Operator) updateHistory(ctx context.Context, name string, isDone func(*History) bool, update func(*History)) error {
	for {
		h, version, err := o.readHistory(ctx, name)
		if err != nil {
			return err
		}
		if isDone(&h) {
			return nil
		}
		update(&h)
		value, err := json.Marshal(h)
		if err != nil {
			return &platform.InvalidValueError{Kind: platform.KindHistory, Name: name, Cause: err}
		}
		_, err = platform.PutOwn(ctx, o.store, platform.KindHistory, name, version, value, platform.SameValue(value))
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

// recordChange adds a change to the history before the entry is written, and drops
// the oldest changes beyond maxChanges.
func (o *Operator) recordChange(ctx context.Context, name string, c Change) error {
	isRecorded := func(h *History) bool { return h.find(c.ID) != nil }
	return o.updateHistory(ctx, name, isRecorded, func(h *History) {
		h.Changes = append(h.Changes, c)
		if extra := len(h.Changes) - maxChanges; extra > 0 {
			h.Changes = h.Changes[extra:]
		}
	})
}

// recordVersion stores the version of a change that took effect. Errors are ignored:
// the outcome can still be derived from the entry's object and later changes.
func (o *Operator) recordVersion(ctx context.Context, name, id string, version uint64) {
	isUpToDate := func(h *History) bool {
		c := h.find(id)
		return c == nil || c.Version != 0 || version == 0
	}
	_ = o.updateHistory(ctx, name, isUpToDate, func(h *History) { h.find(id).Version = version })
}

// removeChange removes a change that did not take effect. Errors are ignored for
// the same reason as in recordVersion.
func (o *Operator) removeChange(ctx context.Context, name, id string) {
	isRemoved := func(h *History) bool { return h.find(id) == nil }
	_ = o.updateHistory(ctx, name, isRemoved, func(h *History) {
		var remaining []Change
		for _, c := range h.Changes {
			if c.ID != id {
				remaining = append(remaining, c)
			}
		}
		h.Changes = remaining
	})
}

// hasSuccessor reads the history and reports whether a change is based on the one
// with the given ID.
func (o *Operator) hasSuccessor(ctx context.Context, name, id string) (bool, error) {
	h, _, err := o.readHistory(ctx, name)
	return h.hasSuccessor(id), err
}

// entryAt returns the entry as of a version, and false if the history does not
// contain that version. The entry is nil if it did not exist.
func (o *Operator) entryAt(ctx context.Context, name string, version uint64) (*catalogue.Entry, bool) {
	if version == 0 {
		return nil, true
	}
	h, _, err := o.readHistory(ctx, name)
	if err != nil {
		return nil, false
	}
	for _, c := range h.Changes {
		if c.Version == version {
			return c.Entry, true
		}
	}
	return nil, false
}
