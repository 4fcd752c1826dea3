package authority

import (
	"time"

	"egretroad/internal/topology"
)

// LeaseRequest is the body of peer method lease_ask: a home's wishes.
type LeaseRequest struct {
	Wanted  []Lease  `msgpack:"w"`
	Dropped []string `msgpack:"d"` // databases whose lease the home gave up
}

// LeaseReply answers a LeaseRequest.
type LeaseReply struct {
	Granted []Lease `msgpack:"g"`
}

// ReleaseRequest is the body of peer method release.
type ReleaseRequest struct {
	Lease Lease `msgpack:"l"`
}

// Evidence is what the home of a server knows of it. Durations are spans, so
// that the clocks of two VMs are never compared.
type Evidence struct {
	Status topology.ServerStatus `msgpack:"s"`
	// Error is a stable word such as "refused" or "timeout"; empty: the last
	// probe succeeded.
	Error string `msgpack:"e"`
	// FailingFor is the time since the last success, or since the first failure
	// when there was none; zero after a success.
	FailingFor time.Duration `msgpack:"f"`
	// StalledFor is the time since the server last applied log or proved that
	// it had applied all of it.
	StalledFor time.Duration `msgpack:"r"`
}

// EvidenceBody is the body of peer method evidence.
type EvidenceBody struct {
	Items []Evidence `msgpack:"i"`
}
