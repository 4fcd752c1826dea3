package outcome_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/outcome"
)

// A write that committed, and whose replicas could not be asked, was once told
// to its caller as not run, because errors.As met the replicas' outcome.
func TestOnlyTheOutermostOutcomeIsFound(t *testing.T) {
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
