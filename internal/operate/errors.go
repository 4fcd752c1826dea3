package operate

import (
	"fmt"
	"strings"

	"egretroad/internal/platform"
)

// ConflictError reports that the entry was modified concurrently: it is no longer
// at the version on which the proposed change is based.
type ConflictError struct {
	Name            string
	BaseVersion     uint64 // version on which the proposed change is based
	Current         Item   // entry in the store; Version 0: deleted
	StoredChanges   []FieldChange
	ProposedChanges []FieldChange
	// BaseKnown is false if the history no longer contains the base version.
	// StoredChanges is then empty, and ProposedChanges is relative to Current.
	BaseKnown bool
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %q is at version %d, your change is based on version %d", e.Name, e.Current.Version, e.BaseVersion)
	if e.Current.Edit != nil {
		fmt.Fprintf(&b, "; changed by %s at %s", e.Current.Edit.By, e.Current.Edit.At.Format("2006-01-02 15:04:05 MST"))
	}
	if e.BaseKnown {
		fmt.Fprintf(&b, "\n  in the store: %s", formatChanges(e.StoredChanges))
	}
	fmt.Fprintf(&b, "\n  yours: %s", formatChanges(e.ProposedChanges))
	fmt.Fprintf(&b, "\nNothing was changed. Run \"egretroad catalogue get %s\", make your change to it and apply again.", e.Name)
	return b.String()
}

// NotFoundError reports an entry, database or server that does not exist.
type NotFoundError struct {
	Resource, Name string
	Hint           string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist; %s", e.Resource, e.Name, e.Hint)
}

// Laggard is a VM or data centre that does not report the expected version as in
// force.
type Laggard struct {
	VM         string `json:"vm,omitempty"` // empty: the whole data centre
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"` // last reported revision; 0: none
	Refused    bool   `json:"refused,omitempty"`
}

func (l Laggard) String() string {
	switch {
	case l.VM == "":
		return fmt.Sprintf("data centre %s has not reported", l.DataCentre)
	case l.Refused:
		return fmt.Sprintf("%s (%s) rejected the object as invalid", l.VM, l.DataCentre)
	default:
		return fmt.Sprintf("%s (%s) reports revision %d", l.VM, l.DataCentre, l.Revision)
	}
}

// NotInForceError lists the proxies that did not report a version as in force
// before the deadline. The change itself is committed and still propagates.
type NotInForceError struct {
	Version uint64
	Lags    []Laggard
	Cause   error // last error of the platform, or nil
}

func (e *NotInForceError) Error() string {
	var names []string
	for _, l := range e.Lags {
		names = append(names, l.String())
	}
	text := fmt.Sprintf("version %d is accepted but not yet reported in force everywhere: %s", e.Version, strings.Join(names, "; "))
	if e.Cause != nil {
		text += fmt.Sprintf("; last platform error: %v", e.Cause)
	}
	return text + ". Do not apply it again; run \"egretroad status\" to check the proxies."
}

// Unwrap returns the cause.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// UnknownOutcomeError reports a change that may or may not have taken effect.
type UnknownOutcomeError struct {
	Name     string
	ChangeID string // ID of the change
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("it is unknown whether the change to %q took effect: %v. Before you apply it again, run \"egretroad catalogue history %s\" and look for change %s.", e.Name, e.Cause, e.Name, e.ChangeID)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// InvalidObjectError reports a stored object that this version of egretroad cannot
// decode, and so cannot rewrite without losing fields.
type InvalidObjectError struct {
	Object platform.Object
	Cause  error
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("object %s/%s at version %d is not valid for this version of egretroad: %v. Use a version of egretroad that supports it, or replace the object through the platform.", e.Object.Kind, e.Object.Name, e.Object.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// StateError reports an operation that is not allowed in the server's state.
type StateError struct {
	Server string
	Detail string
}

func (e *StateError) Error() string { return fmt.Sprintf("server %q: %s", e.Server, e.Detail) }
