package operate

import (
	"fmt"
	"strings"

	"egretroad/internal/platform"
)

// ConflictError reports that an entry was changed by somebody else between the
// version that a change was based on and the change.
type ConflictError struct {
	Name    string
	Base    uint64 // version that the change was based on
	Current Item   // in the store now; Version 0: deleted
	Theirs  []FieldChange
	Mine    []FieldChange
	// BaseKnown is false when the history no longer holds the base; both lists of
	// changes then are empty and Mine is the difference from Current.
	BaseKnown bool
}

func (e *ConflictError) Error() string {
	var b strings.Builder
	fmt.Fprintf(&b, "entry %q is at version %d, your change was made to version %d", e.Name, e.Current.Version, e.Base)
	if e.Current.Edit != nil {
		fmt.Fprintf(&b, "; changed by %s at %s", e.Current.Edit.By, e.Current.Edit.At.Format("2006-01-02 15:04:05 MST"))
	}
	if e.BaseKnown {
		fmt.Fprintf(&b, "\n  in the store: %s", describeChanges(e.Theirs))
	}
	fmt.Fprintf(&b, "\n  yours: %s", describeChanges(e.Mine))
	fmt.Fprintf(&b, "\nNothing was changed. Run \"egretroad catalogue get %s\", make your change to it and apply again.", e.Name)
	return b.String()
}

// NotFoundError reports an entry, database or server that does not exist.
type NotFoundError struct {
	What, Name string
	Hint       string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q does not exist; %s", e.What, e.Name, e.Hint)
}

// Lag is a VM or data centre that does not report a version in force.
type Lag struct {
	VM         string `json:"vm,omitempty"` // empty: the whole data centre
	DataCentre string `json:"dataCentre"`
	Revision   uint64 `json:"revision"` // last reported; 0: none
	Refused    bool   `json:"refused,omitempty"`
}

func (l Lag) String() string {
	switch {
	case l.VM == "":
		return fmt.Sprintf("data centre %s has not reported", l.DataCentre)
	case l.Refused:
		return fmt.Sprintf("%s (%s) refuses the object as not valid", l.VM, l.DataCentre)
	default:
		return fmt.Sprintf("%s (%s) reports revision %d", l.VM, l.DataCentre, l.Revision)
	}
}

// NotInForceError reports proxies that did not report a version in time. The
// change itself is accepted and goes on spreading.
type NotInForceError struct {
	Version uint64
	Lags    []Lag
	Cause   error // last error of the platform, or nil
}

func (e *NotInForceError) Error() string {
	var names []string
	for _, l := range e.Lags {
		names = append(names, l.String())
	}
	text := fmt.Sprintf("version %d is accepted but not yet reported in force everywhere: %s", e.Version, strings.Join(names, "; "))
	if e.Cause != nil {
		text += fmt.Sprintf("; the platform answers: %v", e.Cause)
	}
	return text + ". Do not apply it again; run \"egretroad status\" to see the proxies."
}

// Unwrap returns the cause.
func (e *NotInForceError) Unwrap() error { return e.Cause }

// UncertainError reports a change whose outcome could not be learned in time.
type UncertainError struct {
	Name  string
	Edit  string // ID of the change
	Cause error
}

func (e *UncertainError) Error() string {
	return fmt.Sprintf("the platform did not say whether the change of %q took effect: %v. Run \"egretroad catalogue history %s\" and look for change %s before you apply it again.", e.Name, e.Cause, e.Name, e.Edit)
}

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// InvalidObjectError reports an object in the store that this version cannot
// change without losing part of it.
type InvalidObjectError struct {
	Object platform.Object
	Cause  error
}

func (e *InvalidObjectError) Error() string {
	return fmt.Sprintf("object %s/%s at version %d is not valid for this version of egretroad: %v. Use a version that knows it, or replace it through the platform.", e.Object.Kind, e.Object.Name, e.Object.Version, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidObjectError) Unwrap() error { return e.Cause }

// StateError reports an operation that a server's state does not allow.
type StateError struct {
	Server string
	Detail string
}

func (e *StateError) Error() string { return fmt.Sprintf("server %q: %s", e.Server, e.Detail) }
