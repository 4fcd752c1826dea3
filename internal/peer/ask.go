package peer

import (
	"context"

	"github.com/vmihailenco/msgpack/v5"
)

// Ask makes a call with msgpack bodies. Errors are those of Caller.Call, and
// *FrameError for a query or an answer that cannot be converted.
func Ask(ctx context.Context, c Caller, vm, method string, query, answer any) error {
	body, err := msgpack.Marshal(query)
	if err != nil {
		return &FrameError{Detail: "encoding " + method, Cause: err}
	}
	raw, err := c.Call(ctx, vm, method, body)
	if err != nil {
		return err
	}
	return DecodeBody(raw, answer)
}

// DecodeBody reads the msgpack body of a call or an answer. Errors are *FrameError.
func DecodeBody(body []byte, v any) error { return decode(body, v) }
