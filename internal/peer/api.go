// Package peer connects the proxies: msgpack frames over TCP, many requests on
// one connection, flow control per lane, and a fleet key that each side proves
// in the hello.
package peer

import (
	"context"
	"fmt"
)

// Caller reaches other VMs by ID; the address comes from the snapshot in force.
// A call to the own VM runs the handler directly.
type Caller interface {
	// Call sends a request and waits for its answer until ctx ends. Errors are
	// *UnreachableError (no answer; the handler may have run) or *RemoteError.
	Call(ctx context.Context, vm, method string, body []byte) ([]byte, error)
	// Notify queues a one-way message; it is dropped when the peer cannot be
	// reached or its queue is full. It never blocks.
	Notify(vm, method string, body []byte)
}

// Handler serves a method. It runs in its own goroutine for calls, and on the
// connection's reader for one-way messages, where it must not block.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

// Registrar takes handlers before the node starts.
type Registrar interface {
	Handle(method string, h Handler)
}

// UnreachableError reports a peer that gave no answer.
type UnreachableError struct {
	VM     string
	Method string
	Unsent bool // the request has not left this VM
	Cause  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("VM %s did not answer %s: %v", e.VM, e.Method, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// RemoteError reports an error that a peer's handler returned.
type RemoteError struct {
	VM      string
	Method  string
	Message string
}

func (e *RemoteError) Error() string {
	return fmt.Sprintf("VM %s refused %s: %s", e.VM, e.Method, e.Message)
}
