package outcome_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/outcome"
)

// Regression test: a committed write whose replicas could not be queried for confirmation
// was reported to its caller as not run, because errors.As found the inner outcome of the
// replica query.
func TestErrorsAsFindsOnlyOutermostOutcome(t *testing.T) {
	g := NewWithT(t)
	inner := &outcome.NotRunError{Reason: outcome.ReasonHomeLost}
	outer := &outcome.UnknownError{Reason: outcome.ReasonUnconfirmed, Cause: errors.Join(context.Canceled, inner)}
	var notRun *outcome.NotRunError
	var unknown *outcome.UnknownError
	g.Expect(errors.As(outer, &notRun)).To(BeFalse())
	g.Expect(errors.As(outer, &unknown)).To(BeTrue())
	g.Expect(errors.As(&outcome.NotRunError{Cause: outer}, &unknown)).To(BeFalse())
	g.Expect(errors.Is(&outcome.UnknownError{Cause: context.Canceled}, context.Canceled)).To(BeTrue())
}
