// Package peer implements the protocol between proxies: msgpack frames over TCP that
// multiplex unary calls, one-way messages and lanes (streams that carry one transaction
// each) on one connection per direction. Lanes have credit-based flow control. Both
// sides authenticate with a shared fleet key in the handshake.
//
// A Node is the endpoint of one proxy. Message bodies are defined by the packages that
// register a Handler; package method lists the method names.
package peer

import (
	"context"
	"fmt"
)

// Caller sends requests to other VMs by ID, resolving addresses with the current
// topology snapshot. A call to the local VM runs the handler directly.
type Caller interface {
	// Call sends a request and waits for its response until ctx ends. Errors are
	// *UnreachableError (no response; the handler may have run) or *RemoteError.
	Call(ctx context.Context, vm, method string, body []byte) ([]byte, error)
	// Notify queues a one-way message. It never blocks; the message is dropped if the
	// peer cannot be reached or the link's send buffer is full. One that method.MayRepeat
	// names is sent once more if the link is lost before its receipt is proven.
	Notify(vm, method string, body []byte)
}

// Handler serves a method. Calls run in a goroutine of their own; one-way messages run
// on the goroutine that reads the link, where the handler must not block.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Registrar registers handlers. All must be registered before the node starts.
type Registrar interface {
	Handle(method string, h Handler)
}

// UnreachableError reports a call without a response.
type UnreachableError struct {
	VM     string
	Method string
	Unsent bool // the request was not sent
	Cause  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM %s did not answer %s: %v", e.VM, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RemoteError reports an error returned by the peer's handler.
type RemoteError struct {
	VM      string
	Method  string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("VM %s refused %s: %s", e.VM, e.Method, e.Message)
}
