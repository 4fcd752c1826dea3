package proxy

import (
	"context"
	"encoding/binary"

	"egretroad/internal/gateway"
	"egretroad/internal/peer"
)

// cancelBodyBytes is the size of a forwarded cancel request: pid and secret.
const cancelBodyBytes = 8

// cancels carries cancel requests between gateways.
type cancels struct{ node *peer.Node }

func newCancels(n *peer.Node) *cancels { return &cancels{node: n} }

// forward passes a cancel request on to the gateway that issued its key.
func (c *cancels) forward(_ context.Context, vm string, pid, secret uint32) {
	body := binary.BigEndian.AppendUint32(nil, pid)
	c.node.Notify(vm, peer.MethodCancel, binary.BigEndian.AppendUint32(body, secret))
}

// serve hands forwarded requests to this VM's gateway.
func (c *cancels) serve(g *gateway.Gateway) {
	c.node.Handle(peer.MethodCancel, func(_ context.Context, _ string, body []byte) ([]byte, error) {
		if len(body) == cancelBodyBytes {
			go g.HandleCancel(binary.BigEndian.Uint32(body), binary.BigEndian.Uint32(body[4:]))
		}
		return nil, nil
	})
}
