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

// A process ID holds the proxy's number above the session's.
const (
	sessionBits = 19
	sessionMask = 1<<sessionBits - 1
	proxyBits   = 12
	proxyMask   = 1<<proxyBits - 1
)

// forwardTimeout bounds the time to pass a cancel request on.
const forwardTimeout = 2 * time.Second

// ProxyNumber returns the number of a VM in the process IDs of its sessions.
// Two VMs may share a number; the secret then tells their sessions apart.
func ProxyNumber(vm string) uint32 { return uint32(xxhash.Sum64String(vm)) & proxyMask }

// cancelMessage is the body of method.Cancel.
type cancelMessage struct {
	PID    uint32 `msgpack:"p"`
	Secret uint32 `msgpack:"s"`
}

// ForwardByPeer returns a Deps.ForwardCancel that uses the proxies' own protocol.
func ForwardByPeer(c peer.Caller) func(ctx context.Context, vm string, pid, secret uint32) {
	return func(ctx context.Context, vm string, pid, secret uint32) {
		body, err := msgpack.Marshal(cancelMessage{PID: pid, Secret: secret})
		if err != nil {
			return
		}
		// A cancel request has no answer, so its failure has no reader.
		_, _ = c.Call(ctx, vm, method.Cancel, body)
	}
}

// RegisterPeer takes cancel requests that landed on other proxies.
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

// HandleCancel cancels the request in progress of a session, here or on the VMs
// that the process ID may belong to.
func (g *Gateway) HandleCancel(pid, secret uint32) {
	if g.cancelLocal(pid, secret) || g.deps.ForwardCancel == nil {
		return
	}
	snap := g.deps.Source.Snapshot()
	ctx, cancel := context.WithTimeout(g.context, forwardTimeout)
	defer cancel()
	for id := range snap.VMs {
		if id != snap.Self && ProxyNumber(id) == pid>>sessionBits {
			g.deps.ForwardCancel(ctx, id, pid, secret)
		}
	}
}

// cancelLocal reports whether the session is here and the secret is right.
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

// secretOf reads the secret of a cancel request; it is false for one of another length.
func secretOf(key []byte) (uint32, bool) {
	if len(key) != 4 {
		return 0, false
	}
	return binary.BigEndian.Uint32(key), true
}
