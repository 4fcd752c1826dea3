// Package gateway serves callers: it ends their PostgreSQL connections, keeps
// their sessions, and sends each transaction as a lane to the home of a backend
// server. One goroutine serves one connection.
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
	FleetKey []byte            // authenticates carried marks; shared by the fleet
	Users    map[string]string // password by user name; empty: any user may connect
	TLS      *tls.Config       // nil: TLS requests are declined

	MaxConnections    int           // caller connections
	MaxMessageBytes   int           // one frontend message
	MaxBatchBytes     int           // messages up to a Sync
	MaxStatements     int           // named prepared statements of a session
	MaxBufferedBytes  int64         // messages held for all sessions
	MaxWaiting        int           // requests that wait for a primary or another try
	RetriesPerSecond  float64       // refill of the retry budget
	RetryBurst        int           // size of the retry budget
	StartupTimeout    time.Duration // from accept to the end of authentication
	MessageTimeout    time.Duration // from the first byte of a message to its last
	WriteTimeout      time.Duration // for a caller to take bytes of its answer
	CloseLinger       time.Duration // for a caller to read a last error
	DefaultDeadline   time.Duration // of entries that name none
	HomeGrace         time.Duration // past a deadline, for the home to say how the request ended
	DefaultIdleInTxn  time.Duration // in a drain, of entries that name none
	ServerVersion     string        // told to callers at startup
	SCRAMIterations   int
	MinRetryBackoff   time.Duration
	MaxRetryBackoff   time.Duration
	RetryAfterDefault time.Duration // hint of refusals that name none

	Routing routing.Options
}

// DefaultOptions returns the options used unless set otherwise.
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

// Deps are what a gateway works with.
type Deps struct {
	Source  topology.Source
	Home    txn.Home // reaches the home of every server of the fleet
	Log     hclog.Logger
	Metrics *metrics.Registry
	Now     func() time.Duration // CLOCK_BOOTTIME
	// ForwardCancel passes a cancel request on to another VM; nil: cancel
	// requests for other VMs are dropped.
	ForwardCancel func(ctx context.Context, vm string, pid, secret uint32)
}
