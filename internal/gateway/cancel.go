package gateway

import (
	"context"
	"crypto/subtle"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
)

// A process ID holds the proxy's number in its high bits and the session's number
// in its low bits.
const (
	sessionBits = 19
	sessionMask = 1<<sessionBits - 1
	proxyBits   = 12
	proxyMask   = 1<<proxyBits - 1
)

// cancelForwardTimeout limits the time to forward a cancel request to other VMs.
const cancelForwardTimeout = 2 * time.Second

// ProxyNumber returns the number of a VM in the process IDs of its sessions, a
// hash of its ID. Two VMs may share a number; the secret key then distinguishes
// their sessions.
func ProxyNumber(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) & proxyMask }

// cancelMessage is the body of method.Cancel.
type cancelMessage struct {
	PID    uint32 `msgpack:"p"`
	Secret uint32 `msgpack:"s"`
}

// ForwardByPeer returns a Deps.ForwardCancel that uses the peer protocol of the proxies.
func ForwardByPeer(c peer.Caller) func(ctx context.Context, vm string, pid, secret uint32) {
	return func(ctx context.Context, vm string, pid, secret uint32) {
		body, err := msgpack.Marshal(cancelMessage{PID: pid, Secret: secret})
		if err != nil {
			return
		}
		// Cancel requests have no response, so there is nobody to report an error to.
		_, _ = c.Call(ctx, vm, method.Cancel, body)
	}
}

// RegisterPeer registers the handler for cancel requests that other proxies forward.
func (g *Gateway) RegisterPeer(r peer.Registrar) {
	r.Handle(method.Cancel, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		var m cancelMessage
		if err := msgpack.Unmarshal(body, &m); err != nil {
			return nil, err
		}
		g.cancelLocal(m.PID, m.Secret)
		return nil, nil
	})
}

// HandleCancel cancels the request in progress of a session on this proxy, or
// forwards the cancel request to the VMs whose number is in the process ID.
func (g *Gateway) HandleCancel(pid, secret uint32) {
	if g.cancelLocal(pid, secret) || g.deps.ForwardCancel == nil {
		return
	}
	snap := g.deps.Source.Snapshot()
	ctx, cancel := context.WithTimeout(g.context, cancelForwardTimeout)
	defer cancel()
	for id := range snap.VMs {
		if id != snap.Self && ProxyNumber(id) == pid>>sessionBits {
			g.deps.ForwardCancel(ctx, id, pid, secret)
		}
	}
}

// cancelLocal cancels the request of a session on this proxy. It returns false if
// there is no such session or the secret does not match.
func (g *Gateway) cancelLocal(pid, secret uint32) bool {
	g.mu.Lock()
	s := g.sessions[pid]
	g.mu.Unlock()
	if s == nil || subtle.ConstantTimeEq(int32(s.secret), int32(secret)) != 1 {
		return false
	}
	s.cancel()
	return true
}

// decodeSecret decodes the secret key of a cancel request. It returns false if the
// key has the wrong length.
func decodeSecret(key []byte) (uint32, bool) {
	if len(key) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(key), true
}
