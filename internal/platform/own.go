package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Exponential back-off between attempts without a response.
const (
	retryInitial = 50 * time.Millisecond
	retryMax     = 2 * time.Second
)

// OwnWriteCheck reports whether the current object holds the caller's own write or
// was derived from it.
type OwnWriteCheck func(ctx context.Context, current Object) (bool, error)

// SameValue returns a check that accepts an object whose JSON value equals value,
// white space aside.
func SameValue(value []byte) OwnWriteCheck {
	return func(_ context.Context, current Object) (bool, error) {
		return !current.Deleted && equalJSON(current.Value, value), nil
	}
}

// PutOwn makes a conditional update and retries it when the response is lost. The
// retries are idempotent: the first attempt to take effect changes the version, so
// later ones conflict. A conflict after a lost response carries the current object;
// if isOwnWrite accepts it, PutOwn returns it as the result of this write. A
// *ConflictError means that this write did not take effect. When ctx ends, PutOwn
// returns *UnavailableError and the write may have taken effect.
func PutOwn(ctx context.Context, s Store, kind, name string, ifVersion uint64, value []byte, isOwnWrite OwnWriteCheck) (Object, error) {
	w := conditionalWrite{
		send:       func() (Object, error) { return s.Put(ctx, kind, name, ifVersion, value) },
		isOwnWrite: isOwnWrite,
	}
	return w.run(ctx)
}

// DeleteOwn makes a conditional deletion and retries it when the response is lost.
// An object that no longer exists after a lost response counts as deleted by this
// call.
func DeleteOwn(ctx context.Context, s Store, kind, name string, ifVersion uint64) (Object, error) {
	w := conditionalWrite{
		send: func() (Object, error) { return s.Delete(ctx, kind, name, ifVersion) },
		isOwnWrite: func(_ context.Context, current Object) (bool, error) {
			return current.Version == 0 || current.Deleted, nil
		},
	}
	return w.run(ctx)
}

// conditionalWrite retries a conditional change until its outcome is known.
type conditionalWrite struct {
	send         func() (Object, error)
	isOwnWrite   OwnWriteCheck
	responseLost bool // an earlier attempt was sent and got no response
}

func (w *conditionalWrite) run(ctx context.Context) (Object, error) {
	policy := backoff.NewExponentialBackOff()
	policy.InitialInterval = retryInitial
	policy.MaxInterval = retryMax
	o, err := backoff.Retry(ctx, func() (Object, error) { return w.attempt(ctx) },
		backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
	if err != nil && errors.Is(err, context.Cause(ctx)) {
		return Object{}, &UnavailableError{Call: "change", Cause: err}
	}
	return o, err
}

// attempt sends the change once. The version condition makes a retry harmless: if an
// earlier attempt took effect, this one conflicts.
func (w *conditionalWrite) attempt(ctx context.Context) (Object, error) {
	o, err := w.send()
	if err == nil {
		return o, nil
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		w.responseLost = w.responseLost || !isBudgetError(err)
		return Object{}, err
	}
	current, isConflict := conflictingObject(err)
	if !w.responseLost || !isConflict {
		return Object{}, backoff.Permanent(err)
	}
	isOwn, checkErr := w.isOwnWrite(ctx, current)
	if checkErr != nil {
		return Object{}, checkErr
	}
	if !isOwn {
		return Object{}, backoff.Permanent(err)
	}
	return current, nil
}

// conflictingObject returns the current object from a conflict error, or a zero object
// when it does not exist. It reports false for other errors.
func conflictingObject(err error) (Object, bool) {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	var missing *NotFoundError
	return Object{}, errors.As(err, &missing)
}

func isBudgetError(err error) bool {
	var budget *BudgetError
	return errors.As(err, &budget)
}

// equalJSON compares two JSON texts, ignoring white space. Invalid JSON is unequal.
func equalJSON(a, b []byte) bool {
	var compactA, compactB bytes.Buffer
	if json.Compact(&compactA, a) != nil || json.Compact(&compactB, b) != nil {
		return false
	}
	return bytes.Equal(compactA.Bytes(), compactB.Bytes())
}
