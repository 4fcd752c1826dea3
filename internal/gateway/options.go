// Package gateway terminates the PostgreSQL connections of callers. A Gateway
// authenticates them, keeps a session for each one, and runs every transaction on a
// lane: a stream to the home of a backend server, the proxy that owns the server's
// connection pool. It chooses the server through package routing, retries requests
// that did not run, and drains for shutdown. It opens no connections to backend
// servers itself. One goroutine serves one connection.
//
// Terms: a mark is the session consistency token (database, term, log position);
// a kind of work names the catalogue entry that sets a request's rank (priority),
// deadline and access.
package gateway

import (
	"context"
	"crypto/tls"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/metrics"
	"egretroad/internal/routing"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// Options are the settings of a gateway.
type Options struct {
	FleetKey []byte            // authenticates the marks that callers pass in; shared by the fleet
	Users    map[string]string // password by user name; empty: any user may connect
	TLS      *tls.Config       // nil: TLS requests are rejected

	MaxConnections    int           // caller connections
	MaxMessageBytes   int           // size of one frontend message
	MaxBatchBytes     int           // total size of the messages up to a Sync
	MaxStatements     int           // named prepared statements per session
	MaxBufferedBytes  int64         // messages buffered for all sessions
	MaxWaiting        int           // requests waiting for a primary or a retry
	RetriesPerSecond  float64       // refill rate of the retry budget, a token bucket
	RetryBurst        int           // capacity of the retry budget
	StartupTimeout    time.Duration // from accept to the end of authentication
	MessageTimeout    time.Duration // from the first byte of a message to its last
	WriteTimeout      time.Duration // for a caller to accept bytes of a response
	CloseLinger       time.Duration // for a caller to read the final error before the close
	DefaultDeadline   time.Duration // for catalogue entries without a deadline
	HomeGrace         time.Duration // after a deadline, for the home to report how the request ended
	DefaultIdleInTxn  time.Duration // during a drain, for catalogue entries without a limit
	ServerVersion     string        // reported to callers at startup
	SCRAMIterations   int
	MinRetryBackoff   time.Duration
	MaxRetryBackoff   time.Duration
	RetryAfterDefault time.Duration // retry hint of rejections without one

	Routing routing.Options
}

// DefaultOptions returns the default options. They authenticate no users and
// decline TLS.
func DefaultOptions() Options {
	return Options{
		MaxConnections:    20_000,
		MaxMessageBytes:   16 << 20,
		MaxBatchBytes:     32 << 20,
		MaxStatements:     2000,
		MaxBufferedBytes:  512 << 20,
		MaxWaiting:        4096,
		RetriesPerSecond:  200,
		RetryBurst:        2000,
		StartupTimeout:    10 * time.Second,
		MessageTimeout:    30 * time.Second,
		WriteTimeout:      60 * time.Second,
		CloseLinger:       time.Second,
		DefaultDeadline:   30 * time.Second,
		HomeGrace:         2 * time.Second,
		DefaultIdleInTxn:  10 * time.Second,
		ServerVersion:     "16.4",
		SCRAMIterations:   4096,
		MinRetryBackoff:   5 * time.Millisecond,
		MaxRetryBackoff:   250 * time.Millisecond,
		RetryAfterDefault: 500 * time.Millisecond,
		Routing:           routing.DefaultOptions(),
	}
}

// Deps are the dependencies of a gateway.
type Deps struct {
	Source  topology.Source
	Home    txn.Home // opens lanes to the home of any server in the fleet
	Log     hclog.Logger
	Metrics *metrics.Registry
	Now     func() time.Duration // CLOCK_BOOTTIME
	// ForwardCancel forwards a cancel request to another VM. If it is nil,
	// cancel requests for other VMs are dropped.
	ForwardCancel func(ctx context.Context, vm string, pid, secret uint32)
}
