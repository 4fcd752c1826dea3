package authority

import (
	"time"

	"egretroad/internal/topology"
)

// LeaseRequest is the body of peer method lease_ask: the leases that a home wants
// to acquire, renew or drop.
type LeaseRequest struct {
	Wanted  []Lease  `msgpack:"w"`
	Dropped []string `msgpack:"d"` // databases whose lease the home no longer holds
}

// LeaseReply is the response to a LeaseRequest.
type LeaseReply struct {
	Granted []Lease `msgpack:"g"`
}

// ReleaseRequest is the body of peer method release: it asks a holder to release
// a lease.
type ReleaseRequest struct {
	Lease Lease `msgpack:"l"`
}

// Evidence is a report of a server's home on the state of the server. It holds
// durations instead of timestamps, so that the clocks of two VMs are never
// compared.
type Evidence struct {
	Status topology.ServerStatus `msgpack:"s"`
	// Error is a stable error code such as "refused" or "timeout", or empty when
	// the last probe succeeded.
	Error string `msgpack:"e"`
	// FailingFor is the time since the last success, or since the first failure
	// if no probe has succeeded; zero after a success.
	FailingFor time.Duration `msgpack:"f"`
	// StalledFor is the time since the server last applied log records or proved
	// that it had applied all of them.
	StalledFor time.Duration `msgpack:"r"`
}

// EvidenceMessage is the body of peer method evidence.
type EvidenceMessage struct {
	Items []Evidence `msgpack:"i"`
}
