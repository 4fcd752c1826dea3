// Package home serves the backend servers that this VM is home of: it keeps
// their connections, queues all work of the fleet for them, measures their
// status, and runs transactions on them.
package home

import (
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/admission"
	"egretroad/internal/metrics"
	"egretroad/internal/pool"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Options are the home's parameters.
type Options struct {
	Pool      pool.Options
	Admission admission.Options
	// StatusInterval is the time between two status queries, and StatusTimeout
	// the longest wait for an answer.
	StatusInterval time.Duration
	StatusTimeout  time.Duration
	// PollInterval is the time between two status queries while work waits for a
	// log position.
	PollInterval time.Duration
	// StatusFreshness bounds the age of a status that a decision may use.
	StatusFreshness time.Duration
	// AdminTimeout bounds an administrative step without a deadline of its own.
	AdminTimeout time.Duration
	// DefaultTimeout and DefaultIdleInTxn hold for requests that name none.
	DefaultTimeout   time.Duration
	DefaultIdleInTxn time.Duration
	// FirstBatchTimeout bounds the time from the grant of a slot to the first batch.
	FirstBatchTimeout time.Duration
	// CancelGrace is the time that a server has to answer a cancelled statement.
	CancelGrace time.Duration
	// RollbackTimeout bounds the rollback of a transaction that its caller left.
	RollbackTimeout time.Duration
	// HeldBytes bounds the part of a write's answer that waits for confirmation.
	HeldBytes int
	// ConfirmTimeout bounds the wait for a write's confirmation.
	ConfirmTimeout time.Duration
	// Settle has the outcome of broken commits of work that is not repeatable
	// looked up at the server, for at most SettleTimeout.
	Settle        bool
	SettleTimeout time.Duration
	// RetryShare is the number of retries earned by each request; RetryBurst
	// bounds those saved up.
	RetryShare float64
	RetryBurst float64
	// DrainTimeout bounds the drain of a server whose home has moved.
	DrainTimeout time.Duration
}

// DefaultOptions returns the defaults.
func DefaultOptions() Options {
	return Options{
		Pool:              pool.DefaultOptions(),
		Admission:         admission.DefaultOptions(),
		StatusInterval:    200 * time.Millisecond,
		StatusTimeout:     500 * time.Millisecond,
		PollInterval:      3 * time.Millisecond,
		StatusFreshness:   2 * time.Second,
		AdminTimeout:      5 * time.Second,
		DefaultTimeout:    30 * time.Second,
		DefaultIdleInTxn:  30 * time.Second,
		FirstBatchTimeout: 2 * time.Second,
		CancelGrace:       time.Second,
		RollbackTimeout:   time.Second,
		HeldBytes:         1 << 20,
		ConfirmTimeout:    5 * time.Second,
		Settle:            true,
		SettleTimeout:     3 * time.Second,
		RetryShare:        0.1,
		RetryBurst:        10,
		DrainTimeout:      30 * time.Second,
	}
}

// Deps are the home's dependencies.
type Deps struct {
	Self      string // ID of this VM
	Source    topology.Source
	Authority txn.Authority
	Observe   func(reducer.ServerObserved) // must not block for long; may be nil
	Log       hclog.Logger
	Metrics   *metrics.Registry // may be nil
}
