package platform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
)

// Back-off between attempts whose answer was lost.
const (
	retryFirst = 50 * time.Millisecond
	retryMax   = 2 * time.Second
)

// Recognizer reports whether the current object holds the caller's own write,
// or descends from it.
type Recognizer func(ctx context.Context, current Object) (bool, error)

// SameValue recognizes an object whose value is JSON-equal to value.
func SameValue(value []byte) Recognizer {
	return func(_ context.Context, current Object) (bool, error) {
		return !current.Deleted && equalJSON(current.Value, value), nil
	}
}

// PutOwn is a conditional update that survives lost answers: after a call
// without an answer it sends the same update again, which takes effect at most
// once, because the first to take effect changes the version. A conflict after
// a lost answer shows the current object; when own recognizes it, the write has
// taken effect. A *ConflictError means that this write did not take effect. It
// tries until ctx ends and then returns *UnavailableError: the write may have
// taken effect.
func PutOwn(ctx context.Context, s Store, kind, name string, ifVersion uint64, value []byte, own Recognizer) (Object, error) {
	w := ownWrite{
		change: func() (Object, error) { return s.Put(ctx, kind, name, ifVersion, value) },
		own:    own,
	}
	return w.run(ctx)
}

// DeleteOwn is a conditional deletion that survives lost answers. An object
// that is gone after a lost answer counts as deleted by this call.
func DeleteOwn(ctx context.Context, s Store, kind, name string, ifVersion uint64) (Object, error) {
	w := ownWrite{
		change: func() (Object, error) { return s.Delete(ctx, kind, name, ifVersion) },
		own: func(_ context.Context, current Object) (bool, error) {
			return current.Version == 0 || current.Deleted, nil
		},
	}
	return w.run(ctx)
}

// ownWrite repeats one conditional change until its outcome is known.
type ownWrite struct {
	change func() (Object, error)
	own    Recognizer
	lost   bool // an earlier attempt had no answer
}

func (w *ownWrite) run(ctx context.Context) (Object, error) {
	pause := backoff.NewExponentialBackOff()
	pause.InitialInterval = retryFirst
	pause.MaxInterval = retryMax
	o, err := backoff.Retry(ctx, func() (Object, error) { return w.attempt(ctx) },
		backoff.WithBackOff(pause), backoff.WithMaxElapsedTime(0))
	if err != nil && errors.Is(err, context.Cause(ctx)) {
		return Object{}, &UnavailableError{Call: "change", Cause: err}
	}
	return o, err
}

// attempt sends the change once. The condition on the version makes a second
// sending harmless: if the first took effect, the second meets a conflict.
func (w *ownWrite) attempt(ctx context.Context) (Object, error) {
	o, err := w.change()
	if err == nil {
		return o, nil
	}
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		w.lost = w.lost || !isBudget(err)
		return Object{}, err
	}
	current, settled := conflictingObject(err)
	if !w.lost || !settled {
		return Object{}, backoff.Permanent(err)
	}
	mine, checkErr := w.own(ctx, current)
	if checkErr != nil {
		return Object{}, checkErr
	}
	if !mine {
		return Object{}, backoff.Permanent(err)
	}
	return current, nil
}

// conflictingObject returns the object that a change met instead of the
// expected version; a zero object when it does not exist.
func conflictingObject(err error) (Object, bool) {
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current, true
	}
	var missing *NotFoundError
	return Object{}, errors.As(err, &missing)
}

func isBudget(err error) bool {
	var budget *BudgetError
	return errors.As(err, &budget)
}

// equalJSON compares two JSON texts without regard to white space.
func equalJSON(a, b []byte) bool {
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
