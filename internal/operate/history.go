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
	// Outcome is set by Client.History to one of the Outcome constants.
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
	change := Change{ID: edit.ID, By: edit.By, At: edit.At, BaseVersion: base.Version, Entry: e}
	if base.Edit != nil {
		change.BaseID = base.Edit.ID
	}
	return change
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
	for _, change := range h.Changes {
		if change.BaseID == id {
			return true
		}
	}
	return false
}

// History returns the latest changes of an entry, oldest first. It derives the
// outcome of each from the entry's object and from later changes.
func (c *Client) History(ctx context.Context, name string) ([]Change, error) {
	h, _, err := c.readHistory(ctx, name)
	if err != nil {
		return nil, err
	}
	current, err := c.currentItem(ctx, name)
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

func (h *History) outcome(change Change, current Item) string {
	switch {
	case change.Version != 0, h.hasSuccessor(change.ID), current.Edit != nil && current.Edit.ID == change.ID:
		return OutcomeApplied
	case current.Version == change.BaseVersion:
		return OutcomeNotApplied
	case change.Entry != nil && current.Version != 0 && current.Edit != nil:
		return OutcomeNotApplied
	default:
		return OutcomeUnknown
	}
}

func (c *Client) readHistory(ctx context.Context, name string) (History, uint64, error) {
	object, err := c.store.Get(ctx, platform.KindHistory, name)
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
func (c *Client) updateHistory(ctx context.Context, name string, isDone func(*History) bool, update func(*History)) error {
	for {
		h, version, err := c.readHistory(ctx, name)
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
		_, err = platform.PutWithRetry(ctx, c.store, platform.KindHistory, name, version, value, platform.SameValue(value))
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return err
		}
	}
}

// recordChange adds a change to the history before the entry is written, and drops
// the oldest changes beyond maxChanges.
func (c *Client) recordChange(ctx context.Context, name string, change Change) error {
	isRecorded := func(h *History) bool { return h.find(change.ID) != nil }
	return c.updateHistory(ctx, name, isRecorded, func(h *History) {
		h.Changes = append(h.Changes, change)
		if extra := len(h.Changes) - maxChanges; extra > 0 {
			h.Changes = h.Changes[extra:]
		}
	})
}

// recordVersion stores the version of a change that took effect. Errors are ignored:
// the outcome can still be derived from the entry's object and later changes.
func (c *Client) recordVersion(ctx context.Context, name, id string, version uint64) {
	isUpToDate := func(h *History) bool {
		change := h.find(id)
		return change == nil || change.Version != 0 || version == 0
	}
	_ = c.updateHistory(ctx, name, isUpToDate, func(h *History) { h.find(id).Version = version })
}

// removeChange removes a change that did not take effect. Errors are ignored for
// the same reason as in recordVersion.
func (c *Client) removeChange(ctx context.Context, name, id string) {
	isRemoved := func(h *History) bool { return h.find(id) == nil }
	_ = c.updateHistory(ctx, name, isRemoved, func(h *History) {
		var remaining []Change
		for _, change := range h.Changes {
			if change.ID != id {
				remaining = append(remaining, change)
			}
		}
		h.Changes = remaining
	})
}

// hasSuccessor reads the history and reports whether a change is based on the one
// with the given ID.
func (c *Client) hasSuccessor(ctx context.Context, name, id string) (bool, error) {
	h, _, err := c.readHistory(ctx, name)
	return h.hasSuccessor(id), err
}

// entryAt returns the entry as of a version, and false if the history does not
// contain that version. The entry is nil if it did not exist.
func (c *Client) entryAt(ctx context.Context, name string, version uint64) (*catalogue.Entry, bool) {
	if version == 0 {
		return nil, true
	}
	h, _, err := c.readHistory(ctx, name)
	if err != nil {
		return nil, false
	}
	for _, change := range h.Changes {
		if change.Version == version {
			return change.Entry, true
		}
	}
	return nil, false
}
