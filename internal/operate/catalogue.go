// Package operate implements the operators' operations on the platform's objects:
// reading and editing the catalogue with its change history, changing the states
// of backend servers, and reading the fleet's status. Every write is conditional on
// the object's version (optimistic concurrency); a write whose response was lost is
// recognized by its edit ID or its value and is not applied twice. The package does not
// talk to proxies; they pick up the changes from the platform.
package operate

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"errors"
	"sort"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
)

// Client performs operations on behalf of one operator.
type Client struct {
	store        platform.Store
	operatorName string
	now          func() time.Time
}

// New returns a Client of a store. operatorName is recorded as the author of its
// changes.
func New(store platform.Store, operatorName string) *Client {
	return &Client{store: store, operatorName: operatorName, now: time.Now}
}

// Item is a catalogue entry with its version in the store.
type Item struct {
	catalogue.Entry
	Version uint64          `json:"version"`
	Edit    *catalogue.Edit `json:"edit,omitempty"`
	Invalid string          `json:"invalid,omitempty"` // why proxies reject the object
}

// Result is the outcome of a change to an entry.
type Result struct {
	Name      string        `json:"name"`
	Version   uint64        `json:"version"` // version of the object that contains the change
	Unchanged bool          `json:"unchanged,omitempty"`
	Deleted   bool          `json:"deleted,omitempty"`
	Changes   []FieldChange `json:"changes,omitempty"`
}

// List returns every entry, sorted by name.
func (c *Client) List(ctx context.Context) ([]Item, error) {
	l, err := c.store.List(ctx, platform.KindCatalogue)
	if err != nil {
		return nil, err
	}
	items := make([]Item, 0, len(l.Objects))
	for _, object := range l.Objects {
		items = append(items, newItem(object))
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items, nil
}

// Get returns an entry, or *NotFoundError if it does not exist.
func (c *Client) Get(ctx context.Context, name string) (Item, error) {
	item, err := c.currentItem(ctx, name)
	if err == nil && item.Version == 0 {
		return Item{}, &NotFoundError{Resource: "entry", Name: name, Hint: `"egretroad catalogue list" lists all entries`}
	}
	return item, err
}

// currentItem returns the stored entry; its Version is 0 if it does not exist.
func (c *Client) currentItem(ctx context.Context, name string) (Item, error) {
	object, err := c.store.Get(ctx, platform.KindCatalogue, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Item{}, nil
	}
	if err != nil {
		return Item{}, err
	}
	return newItem(object), nil
}

func newItem(stored platform.Object) Item {
	decoded, err := catalogue.DecodeObject(stored.Name, stored.Value)
	item := Item{Entry: decoded.Entry, Version: stored.Version, Edit: decoded.Edit}
	if err != nil {
		item.Name = stored.Name
		item.Invalid = err.Error()
	}
	return item
}

// Apply creates or replaces one entry. It returns *ConflictError if the entry has
// changed since the input's version, and *UnknownOutcomeError if the write may have
// taken effect. After any other error, the entry is unchanged.
func (c *Client) Apply(ctx context.Context, input Input) (Result, error) {
	if err := input.CheckInput(); err != nil {
		return Result{}, err
	}
	base, err := c.currentItem(ctx, input.Name)
	if err != nil {
		return Result{}, err
	}
	if input.Version != nil && *input.Version != base.Version {
		return Result{}, c.conflictError(ctx, input.Name, *input.Version, &input.Entry, base)
	}
	changes := Diff(base.entry(), &input.Entry)
	if base.Version != 0 && base.Invalid == "" && len(changes) == 0 {
		return Result{Name: input.Name, Version: base.Version, Unchanged: true}, nil
	}
	edit := c.newEdit()
	if err := c.recordChange(ctx, input.Name, newChange(edit, base, &input.Entry)); err != nil {
		return Result{}, err
	}
	version, err := c.putEntry(ctx, base, input.Entry, edit)
	if err != nil {
		return Result{}, c.changeError(ctx, input.Name, base, &input.Entry, edit, err)
	}
	c.recordVersion(ctx, input.Name, edit.ID, version)
	return Result{Name: input.Name, Version: version, Changes: changes}, nil
}

// entry returns the item's entry, or nil if the item does not exist or is invalid.
func (i Item) entry() *catalogue.Entry {
	if i.Version == 0 || i.Invalid != "" {
		return nil
	}
	return &i.Entry
}

func (c *Client) newEdit() catalogue.Edit {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails
	return catalogue.Edit{ID: hex.EncodeToString(id), By: c.operatorName, At: c.now().UTC()}
}

// putEntry writes the entry and returns its version. After a lost response, it
// recognizes its own write by the edit ID, even if another operator has changed the
// entry since.
func (c *Client) putEntry(ctx context.Context, base Item, e catalogue.Entry, edit catalogue.Edit) (uint64, error) {
	value, err := json.Marshal(catalogue.Object{Entry: e, Edit: &edit})
	if err != nil {
		return 0, &platform.InvalidValueError{Kind: platform.KindCatalogue, Name: e.Name, Cause: err}
	}
	isOwnWrite := func(ctx context.Context, current platform.Object) (bool, error) {
		if item := newItem(current); item.Edit != nil && item.Edit.ID == edit.ID {
			return true, nil
		}
		return c.hasSuccessor(ctx, e.Name, edit.ID)
	}
	object, err := platform.PutWithRetry(ctx, c.store, platform.KindCatalogue, e.Name, base.Version, value, isOwnWrite)
	return object.Version, err
}

// Delete removes an entry if it is still at version; nil stands for the version
// in the store. Errors are as for Apply, and *NotFoundError.
func (c *Client) Delete(ctx context.Context, name string, version *uint64) (Result, error) {
	base, err := c.Get(ctx, name)
	if err != nil {
		return Result{}, err
	}
	if version != nil && *version != base.Version {
		return Result{}, c.conflictError(ctx, name, *version, nil, base)
	}
	edit := c.newEdit()
	if err := c.recordChange(ctx, name, newChange(edit, base, nil)); err != nil {
		return Result{}, err
	}
	object, err := platform.DeleteWithRetry(ctx, c.store, platform.KindCatalogue, name, base.Version)
	if err != nil {
		return Result{}, c.changeError(ctx, name, base, nil, edit, err)
	}
	c.recordVersion(ctx, name, edit.ID, object.Version)
	return Result{Name: name, Version: object.Version, Deleted: true, Changes: Diff(base.entry(), nil)}, nil
}

// changeError converts the store's error after a failed write to *ConflictError or
// *UnknownOutcomeError, and drops the change from the history after a conflict.
func (c *Client) changeError(ctx context.Context, name string, base Item, proposed *catalogue.Entry, edit catalogue.Edit, err error) error {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &conflict):
		c.removeChange(ctx, name, edit.ID)
		current := Item{}
		if conflict.Current.Version != 0 {
			current = newItem(conflict.Current)
		}
		return c.conflictError(ctx, name, base.Version, proposed, current)
	case errors.As(err, &missing):
		c.removeChange(ctx, name, edit.ID)
		return c.conflictError(ctx, name, base.Version, proposed, Item{})
	default:
		return &UnknownOutcomeError{Name: name, ChangeID: edit.ID, Cause: err}
	}
}

// conflictError returns a *ConflictError with the stored and the proposed changes,
// relative to the base version if the history still contains it.
func (c *Client) conflictError(ctx context.Context, name string, baseVersion uint64, proposed *catalogue.Entry, current Item) error {
	conflict := &ConflictError{Name: name, BaseVersion: baseVersion, Current: current}
	baseEntry, known := c.entryAt(ctx, name, baseVersion)
	if !known {
		conflict.ProposedChanges = Diff(current.entry(), proposed)
		return conflict
	}
	conflict.BaseKnown = true
	conflict.StoredChanges = Diff(baseEntry, current.entry())
	conflict.ProposedChanges = Diff(baseEntry, proposed)
	return conflict
}
