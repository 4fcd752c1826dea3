package peer

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"
)

// Ask makes a call with a msgpack-encoded request and decodes the response into reply.
// Errors are those of Caller.Call, and *FrameError if encoding or decoding fails.
func Ask(ctx context.Context, c Caller, vm, method string, request, reply any) error {
	body, err := msgpack.Marshal(request)
	if err != nil {
		return &FrameError{Detail: "encoding " + method, Cause: err}
	}
	raw, err := c.Call(ctx, vm, method, body)
	if err != nil {
		return err
	}
	return DecodeBody(raw, reply)
}

// DecodeBody decodes the msgpack body of a request or response into v. Errors are
// *FrameError.
func DecodeBody(body []byte, v any) error { return decode(body, v) }
