// Package home serves the backend servers whose home is this VM. A server's home
// is the one VM that holds the connection pool and the admission queue for that
// server; all proxies of the fleet send their work for the server to it.
//
// Manager implements txn.Home. It starts and drains a server as topology snapshots
// assign and withdraw it. Each server polls its status, admits requests, and runs
// each transaction in a lane (one transaction on one connection). The package does
// not choose which server a request goes to, and it does not elect primaries.
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

// Options configures a Manager.
type Options struct {
	Pool      pool.Options
	Admission admission.Options
	// StatusInterval is the time between two status queries, and StatusTimeout
	// the time-out of one query.
	StatusInterval time.Duration
	StatusTimeout  time.Duration
	// PollInterval is the time between two status queries while requests wait for
	// a log position.
	PollInterval time.Duration
	// StatusFreshness is the maximum age of a status that a decision may use.
	StatusFreshness time.Duration
	// AdminTimeout bounds an administrative step whose context has no deadline.
	AdminTimeout time.Duration
	// DefaultTimeout and DefaultIdleInTxn apply to requests that set none.
	DefaultTimeout   time.Duration
	DefaultIdleInTxn time.Duration
	// FirstBatchTimeout is the maximum time from the grant of a slot to the first
	// batch.
	FirstBatchTimeout time.Duration
	// CancelGrace is the time that a server gets to end a cancelled statement.
	CancelGrace time.Duration
	// RollbackTimeout bounds the rollback of a transaction abandoned by its caller.
	RollbackTimeout time.Duration
	// MaxHeldBytes limits how much of a write's response is held back until the
	// write is confirmed.
	MaxHeldBytes int
	// ConfirmTimeout bounds the wait for the confirmation of a write.
	ConfirmTimeout time.Duration
	// ResolveCommits enables transaction status queries: when the connection breaks
	// during the commit of a non-repeatable request, the home asks the server for
	// the outcome, for at most ResolveTimeout.
	ResolveCommits bool
	ResolveTimeout time.Duration
	// RetryRatio is the number of retry tokens that each request adds to the retry
	// budget; RetryBurst is the budget's capacity.
	RetryRatio float64
	RetryBurst float64
	// DrainTimeout bounds the drain of a server whose home moves to another VM.
	DrainTimeout time.Duration
}

// DefaultOptions returns options for production use. The caller must still set the
// source address and the credentials in Pool.Backend.
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
		MaxHeldBytes:      1 << 20,
		ConfirmTimeout:    5 * time.Second,
		ResolveCommits:    true,
		ResolveTimeout:    3 * time.Second,
		RetryRatio:        0.1,
		RetryBurst:        10,
		DrainTimeout:      30 * time.Second,
	}
}

// Deps holds the dependencies of a Manager.
type Deps struct {
	Self      string // ID of this VM
	Source    topology.Source
	Authority txn.Authority
	Observe   func(reducer.ServerObserved) // receives each status result; must not block; may be nil
	Log       hclog.Logger
	Metrics   *metrics.Registry // may be nil
}
