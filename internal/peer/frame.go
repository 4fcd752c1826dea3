package peer

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"fmt"
	"io"
	"sync"

	"github.com/vmihailenco/msgpack/v5"
)

// ProtocolVersion is the version of the peer protocol. The handshake rejects any other.
const ProtocolVersion = 1

// Sizes and limits of the protocol, in bytes.
const (
	frameHeaderBytes = 4
	maxFrameBytes    = 8 << 20
	maxHelloBytes    = 1 << 10
	laneWindowBytes  = 256 << 10
	laneChunkBytes   = 16 << 10
)

// frameType identifies the kind of a frame and the type of its body.
type frameType uint8

const (
	frameCall       frameType = iota + 1 // body: callBody
	frameResponse                        // body: responseBody
	frameNotify                          // body: callBody
	frameLaneOpen                        // body: openBody, with the first batch
	frameLaneBatch                       // body: txn.Batch
	frameLaneData                        // body: backend messages
	frameLaneDone                        // body: doneBody
	frameLaneError                       // body: WireError
	frameLaneCancel                      // no body
	frameLaneClose                       // no body
	frameLaneCredit                      // body: creditBody
	framePing                            // no body; number: of the last one-way message before it
	framePong                            // no body; number: that of the ping
	frameTypeCount  = framePong
)

// frame is the unit of the protocol. It is encoded as a 4-byte big-endian length and a
// msgpack array of type, call or lane number, and body.
type frame struct {
	Type   frameType
	Number uint64
	Body   []byte
}

// FrameError reports a frame or body that is invalid or cannot be encoded.
type FrameError struct {
	Detail string
	Cause  error
}

func (e *FrameError) Error() string {
	if e.Cause != nil {
		return fmt.Sprintf("invalid peer frame: %s: %v", e.Detail, e.Cause)
	}
	return "invalid peer frame: " + e.Detail
}

// Unwrap returns the cause.
func (e *FrameError) Unwrap() error { return e.Cause }

// appendFrame appends an encoded frame to buf.
func appendFrame(buf []byte, f frame) ([]byte, error) {
	start := len(buf)
	w := appendWriter{buf: append(buf, 0, 0, 0, 0)}
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(&w)
	if err := encodeFrame(enc, f); err != nil {
		return buf, &FrameError{Detail: "encoding", Cause: err}
	}
	size := len(w.buf) - start - frameHeaderBytes
	if size > maxFrameBytes {
		return buf, &FrameError{Detail: fmt.Sprintf("%d bytes, at most %d", size, maxFrameBytes)}
	}
	binary.BigEndian.PutUint32(w.buf[start:], uint32(size))
	return w.buf, nil
}

func encodeFrame(enc *msgpack.Encoder, f frame) error {
	if err := enc.EncodeArrayLen(3); err != nil {
		return err
	}
	if err := enc.EncodeUint(uint64(f.Type)); err != nil {
		return err
	}
	if err := enc.EncodeUint(f.Number); err != nil {
		return err
	}
	return enc.EncodeBytes(f.Body)
}

// appendWriter is an io.Writer that appends to a slice.
type appendWriter struct{ buf []byte }

func (w *appendWriter) Write(p []byte) (int, error) {
	w.buf = append(w.buf, p...)
	return len(p), nil
}

// WriteByte implements io.ByteWriter, which the msgpack encoder uses if available.
func (w *appendWriter) WriteByte(b byte) error {
	w.buf = append(w.buf, b)
	return nil
}

// readFrame reads one frame of at most limit bytes. The body is newly allocated.
func readFrame(r *bufio.Reader, limit int) (frame, error) {
	header, err := r.Peek(frameHeaderBytes)
	if err != nil {
		return frame{}, err
	}
	size := int(binary.BigEndian.Uint32(header))
	if size > limit {
		return frame{}, &FrameError{Detail: fmt.Sprintf("%d bytes, at most %d", size, limit)}
	}
	if _, err := r.Discard(frameHeaderBytes); err != nil {
		return frame{}, err
	}
	raw := make([]byte, size)
	if _, err := io.ReadFull(r, raw); err != nil {
		return frame{}, err
	}
	return decodeFrame(raw)
}

// decodeFrame decodes a frame without its length prefix. The body aliases raw.
func decodeFrame(raw []byte) (frame, error) {
	rd := bytes.NewReader(raw)
	dec := msgpack.GetDecoder()
	defer msgpack.PutDecoder(dec)
	dec.Reset(rd)
	n, err := dec.DecodeArrayLen()
	if err != nil || n != 3 {
		return frame{}, &FrameError{Detail: "not an array of 3", Cause: err}
	}
	kind, err := dec.DecodeUint8()
	if err != nil || kind == 0 || frameType(kind) > frameTypeCount {
		return frame{}, &FrameError{Detail: fmt.Sprintf("type %d", kind), Cause: err}
	}
	number, err := dec.DecodeUint64()
	if err != nil {
		return frame{}, &FrameError{Detail: "number", Cause: err}
	}
	size, err := dec.DecodeBytesLen()
	if err != nil {
		return frame{}, &FrameError{Detail: "body", Cause: err}
	}
	if size < 0 {
		size = 0
	}
	if size != rd.Len() {
		return frame{}, &FrameError{Detail: fmt.Sprintf("body of %d bytes with %d bytes left", size, rd.Len())}
	}
	return frame{Type: frameType(kind), Number: number, Body: raw[len(raw)-size:]}, nil
}

// encodeBuffers pools the buffers used by encode.
var encodeBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// encode returns the msgpack encoding of v, with structs as arrays.
func encode(v any) ([]byte, error) {
	buf := encodeBuffers.Get().(*bytes.Buffer)
	defer encodeBuffers.Put(buf)
	buf.Reset()
	enc := msgpack.GetEncoder()
	defer msgpack.PutEncoder(enc)
	enc.Reset(buf)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(v); err != nil {
		return nil, &FrameError{Detail: fmt.Sprintf("encoding %T", v), Cause: err}
	}
	return bytes.Clone(buf.Bytes()), nil
}

// decode decodes the msgpack encoding in body into v.
func decode(body []byte, v any) error {
	if err := msgpack.Unmarshal(body, v); err != nil {
		return &FrameError{Detail: fmt.Sprintf("decoding %T", v), Cause: err}
	}
	return nil
}
