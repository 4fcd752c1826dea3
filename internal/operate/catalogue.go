// Package operate is the operators' operations on the platform's objects: the
// catalogue, its history, the marks on backend servers, and the fleet's status.
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

// Operator carries out the operations of one operator.
type Operator struct {
	store platform.Store
	by    string
	now   func() time.Time
}

// New returns the operations on a store; by names the operator in the history.
func New(store platform.Store, by string) *Operator {
	return &Operator{store: store, by: by, now: time.Now}
}

// Item is one catalogue entry with its version.
type Item struct {
	catalogue.Entry
	Version uint64          `json:"version"`
	Edit    *catalogue.Edit `json:"edit,omitempty"`
	Invalid string          `json:"invalid,omitempty"` // why proxies refuse the object
}

// Result says what a change did.
type Result struct {
	Name      string        `json:"name"`
	Version   uint64        `json:"version"` // at which the change is in the store
	Unchanged bool          `json:"unchanged,omitempty"`
	Deleted   bool          `json:"deleted,omitempty"`
	Changes   []FieldChange `json:"changes,omitempty"`
}

// List returns every entry, sorted by name.
func (o *Operator) List(ctx context.Context) ([]Item, error) {
	l, err := o.store.List(ctx, platform.KindCatalogue)
	if err != nil {
		return nil, err
	}
	items := make([]Item, 0, len(l.Objects))
	for _, object := range l.Objects {
		items = append(items, itemOf(object))
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Name < items[j].Name })
	return items, nil
}

// Get returns an entry, or *NotFoundError.
func (o *Operator) Get(ctx context.Context, name string) (Item, error) {
	item, err := o.current(ctx, name)
	if err == nil && item.Version == 0 {
		return Item{}, &NotFoundError{What: "entry", Name: name, Hint: `"egretroad catalogue list" shows all`}
	}
	return item, err
}

// current returns an entry; Version 0 when it does not exist.
func (o *Operator) current(ctx context.Context, name string) (Item, error) {
	object, err := o.store.Get(ctx, platform.KindCatalogue, name)
	var missing *platform.NotFoundError
	if errors.As(err, &missing) {
		return Item{}, nil
	}
	if err != nil {
		return Item{}, err
	}
	return itemOf(object), nil
}

func itemOf(object platform.Object) Item {
	parsed, err := catalogue.DecodeObject(object.Name, object.Value)
	item := Item{Entry: parsed.Entry, Version: object.Version, Edit: parsed.Edit}
	if err != nil {
		item.Name = object.Name
		item.Invalid = err.Error()
	}
	return item
}

// Apply creates or replaces one entry. Errors are *ConflictError,
// *UncertainError and those of the store before anything was changed.
func (o *Operator) Apply(ctx context.Context, in Input) (Result, error) {
	if err := in.Check(); err != nil {
		return Result{}, err
	}
	base, err := o.current(ctx, in.Name)
	if err != nil {
		return Result{}, err
	}
	if in.Version != nil && *in.Version != base.Version {
		return Result{}, o.conflict(ctx, in.Name, *in.Version, &in.Entry, base)
	}
	changes := Diff(base.entry(), &in.Entry)
	if base.Version != 0 && base.Invalid == "" && len(changes) == 0 {
		return Result{Name: in.Name, Version: base.Version, Unchanged: true}, nil
	}
	edit := o.newEdit()
	if err := o.recordChange(ctx, in.Name, newChange(edit, base, &in.Entry)); err != nil {
		return Result{}, err
	}
	version, err := o.putEntry(ctx, base, in.Entry, edit)
	if err != nil {
		return Result{}, o.failed(ctx, in.Name, base, &in.Entry, edit, err)
	}
	o.settleChange(ctx, in.Name, edit.ID, version)
	return Result{Name: in.Name, Version: version, Changes: changes}, nil
}

// entry returns the item's entry, or nil when there is none.
func (i Item) entry() *catalogue.Entry {
	if i.Version == 0 || i.Invalid != "" {
		return nil
	}
	return &i.Entry
}

func (o *Operator) newEdit() catalogue.Edit {
	id := make([]byte, 8)
	_, _ = rand.Read(id) // never fails
	return catalogue.Edit{ID: hex.EncodeToString(id), By: o.by, At: o.now().UTC()}
}

// putEntry writes the entry and recognizes its own write after a lost answer,
// also when somebody has changed the entry since.
func (o *Operator) putEntry(ctx context.Context, base Item, e catalogue.Entry, edit catalogue.Edit) (uint64, error) {
	value, err := json.Marshal(catalogue.Object{Entry: e, Edit: &edit})
	if err != nil {
		return 0, &platform.InvalidValueError{Kind: platform.KindCatalogue, Name: e.Name, Cause: err}
	}
	own := func(ctx context.Context, current platform.Object) (bool, error) {
		if item := itemOf(current); item.Edit != nil && item.Edit.ID == edit.ID {
			return true, nil
		}
		return o.wasBase(ctx, e.Name, edit.ID)
	}
	object, err := platform.PutOwn(ctx, o.store, platform.KindCatalogue, e.Name, base.Version, value, own)
	return object.Version, err
}

// Delete removes an entry. version is the version that the operator saw; nil:
// the one in the store now.
func (o *Operator) Delete(ctx context.Context, name string, version *uint64) (Result, error) {
	base, err := o.Get(ctx, name)
	if err != nil {
		return Result{}, err
	}
	if version != nil && *version != base.Version {
		return Result{}, o.conflict(ctx, name, *version, nil, base)
	}
	edit := o.newEdit()
	if err := o.recordChange(ctx, name, newChange(edit, base, nil)); err != nil {
		return Result{}, err
	}
	object, err := platform.DeleteOwn(ctx, o.store, platform.KindCatalogue, name, base.Version)
	if err != nil {
		return Result{}, o.failed(ctx, name, base, nil, edit, err)
	}
	o.settleChange(ctx, name, edit.ID, object.Version)
	return Result{Name: name, Version: object.Version, Deleted: true, Changes: Diff(base.entry(), nil)}, nil
}

// failed turns the error of a change into one that says what to do next.
func (o *Operator) failed(ctx context.Context, name string, base Item, mine *catalogue.Entry, edit catalogue.Edit, err error) error {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case errors.As(err, &conflict):
		o.dropChange(ctx, name, edit.ID)
		current := Item{}
		if conflict.Current.Version != 0 {
			current = itemOf(conflict.Current)
		}
		return o.conflict(ctx, name, base.Version, mine, current)
	case errors.As(err, &missing):
		o.dropChange(ctx, name, edit.ID)
		return o.conflict(ctx, name, base.Version, mine, Item{})
	default:
		return &UncertainError{Name: name, Edit: edit.ID, Cause: err}
	}
}

// conflict describes both changes, as far as the history still holds the base.
func (o *Operator) conflict(ctx context.Context, name string, base uint64, mine *catalogue.Entry, current Item) error {
	c := &ConflictError{Name: name, Base: base, Current: current}
	from, known := o.entryAt(ctx, name, base)
	if !known {
		c.Mine = Diff(current.entry(), mine)
		return c
	}
	c.BaseKnown = true
	c.Theirs = Diff(from, current.entry())
	c.Mine = Diff(from, mine)
	return c
}
