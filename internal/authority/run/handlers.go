package run

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/authority"
)

// handleLeaseAsk serves a home's lease request to this VM as delegate.
func (s *Service) handleLeaseAsk(ctx context.Context, from string, body []byte) ([]byte, error) {
	var request authority.LeaseRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	call, reply := s.calls.open()
	defer s.calls.close(call)
	s.post(authority.LeaseRequestReceived{Call: call, From: from, Request: request, Now: s.deps.Now()})
	select {
	case r := <-reply:
		return mustEncode(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleRelease serves a release request from the coordinator of a promotion. A
// successful reply means that this VM no longer holds the lease.
func (s *Service) handleRelease(ctx context.Context, from string, body []byte) ([]byte, error) {
	var request authority.ReleaseRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	call, reply := s.calls.open()
	defer s.calls.close(call)
	s.post(authority.ReleaseRequestReceived{Call: call, From: from, Lease: request.Lease, Now: s.deps.Now()})
	select {
	case <-reply:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleEvidence processes reports from another home. It sends no reply.
func (s *Service) handleEvidence(_ context.Context, from string, body []byte) ([]byte, error) {
	var message authority.EvidenceMessage
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	s.post(authority.EvidenceReceived{From: from, Items: message.Items, Now: s.deps.Now()})
	return nil, nil
}
