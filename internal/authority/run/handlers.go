package run

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/authority"
)

// handleLeaseAsk serves a home that asks this VM as delegate.
func (s *Service) handleLeaseAsk(ctx context.Context, from string, body []byte) ([]byte, error) {
	var request authority.LeaseRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	call, reply := s.calls.open()
	defer s.calls.close(call)
	s.emit(authority.LeaseAsked{Call: call, From: from, Request: request, Now: s.deps.Now()})
	select {
	case r := <-reply:
		return encode(r), nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleRelease serves a promoter; its answer means that the lease is gone.
func (s *Service) handleRelease(ctx context.Context, from string, body []byte) ([]byte, error) {
	var request authority.ReleaseRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	call, reply := s.calls.open()
	defer s.calls.close(call)
	s.emit(authority.ReleaseAsked{Call: call, From: from, Lease: request.Lease, Now: s.deps.Now()})
	select {
	case <-reply:
		return nil, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// handleEvidence takes in the reports of another home.
func (s *Service) handleEvidence(_ context.Context, from string, body []byte) ([]byte, error) {
	var message authority.EvidenceBody
	if err := msgpack.Unmarshal(body, &message); err != nil {
		return nil, &DecodeError{From: from, Cause: err}
	}
	s.emit(authority.EvidenceReceived{From: from, Items: message.Items, Now: s.deps.Now()})
	return nil, nil
}
