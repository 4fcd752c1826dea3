package operate

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
)

// maxChanges is the number of changes that the history of an entry keeps.
const maxChanges = 50

// Change is one change in the history of an entry. It is recorded before the
// entry is written, so that a lost answer can be settled; Version is added after.
type Change struct {
	ID          string           `json:"id"`
	By          string           `json:"by"`
	At          time.Time        `json:"at"`
	BaseVersion uint64           `json:"baseVersion"`      // version that it replaced; 0: the entry was created
	BaseID      string           `json:"baseId,omitempty"` // ID of the change that it replaced
	Version     uint64           `json:"version,omitempty"`
	Entry       *catalogue.Entry `json:"entry,omitempty"` // nil: deleted
	// Outcome is set by Operator.History: "applied", "not applied" or "unknown".
	Outcome string `json:"outcome,omitempty"`
}

// Outcomes of a change.
const (
	OutcomeApplied    = "applied"
	OutcomeNotApplied = "not applied"
	OutcomeUnknown    = "unknown"
)

// History is the value of a platform object of kind "history" whose name is the
// entry's: its latest changes, oldest first.
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

// replaced reports whether a recorded change was based on the one given.
func (h *History) replaced(id string) bool {
	for _, c := range h.Changes {
		if c.BaseID == id {
			return true
		}
	}
	return false
}

// History returns the latest changes of an entry, oldest first, each with its
// outcome as the entry's object and later changes tell it.
func (o *Operator) History(ctx context.Context, name string) ([]Change, error) {
	h, _, err := o.readHistory(ctx, name)
	if err != nil {
		return nil, err
	}
	current, err := o.current(ctx, name)
	if err != nil {
		return nil, err
	}
	if len(h.Changes) == 0 && current.Version == 0 {
		return nil, &NotFoundError{What: "entry", Name: name, Hint: `"egretroad catalogue list" shows all`}
	}
	for i := range h.Changes {
		h.Changes[i].Outcome = h.outcome(h.Changes[i], current)
	}
	return h.Changes, nil
}

func (h *History) outcome(c Change, current Item) string {
	switch {
	case c.Version != 0, h.replaced(c.ID), current.Edit != nil && current.Edit.ID == c.ID:
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

// changeHistory edits the history with conditional updates until one succeeds
// or ctx ends. done reports that the history is already as wanted.
func (o *Operator) changeHistory(ctx context.Context, name string, done func(*History) bool, edit func(*History)) error {
	for {
		h, version, err := o.readHistory(ctx, name)
		if err != nil {
			return err
		}
		if done(&h) {
			return nil
		}
		edit(&h)
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

// recordChange adds a change before the entry is written.
func (o *Operator) recordChange(ctx context.Context, name string, c Change) error {
	recorded := func(h *History) bool { return h.find(c.ID) != nil }
	return o.changeHistory(ctx, name, recorded, func(h *History) {
		h.Changes = append(h.Changes, c)
		if extra := len(h.Changes) - maxChanges; extra > 0 {
			h.Changes = h.Changes[extra:]
		}
	})
}

// settleChange notes the version of a change that took effect. A failure leaves
// the outcome to be told by the entry's object and later changes.
func (o *Operator) settleChange(ctx context.Context, name, id string, version uint64) {
	settled := func(h *History) bool {
		c := h.find(id)
		return c == nil || c.Version != 0 || version == 0
	}
	_ = o.changeHistory(ctx, name, settled, func(h *History) { h.find(id).Version = version })
}

// dropChange removes a change that did not take effect; see settleChange.
func (o *Operator) dropChange(ctx context.Context, name, id string) {
	gone := func(h *History) bool { return h.find(id) == nil }
	_ = o.changeHistory(ctx, name, gone, func(h *History) {
		var kept []Change
		for _, c := range h.Changes {
			if c.ID != id {
				kept = append(kept, c)
			}
		}
		h.Changes = kept
	})
}

// wasBase reports whether a later change was based on the given one.
func (o *Operator) wasBase(ctx context.Context, name, id string) (bool, error) {
	h, _, err := o.readHistory(ctx, name)
	return h.replaced(id), err
}

// entryAt returns the entry as of a version, if the history holds it.
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
