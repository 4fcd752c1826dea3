package peer

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// The bodies of a lane's first batch and of its result are encoded field by field,
// because they are on the hot path of every statement and reflection costs more than
// the rest of the frame. The field order is fixed; changing it requires a new
// ProtocolVersion.

// fieldEncoder encodes fields and retains the first error.
type fieldEncoder struct {
	enc *msgpack.Encoder
	err error
}

func (e *fieldEncoder) recordErr(err error) {
	if e.err == nil {
		e.err = err
	}
}

func (e *fieldEncoder) text(s string)            { e.recordErr(e.enc.EncodeString(s)) }
func (e *fieldEncoder) bytes(b []byte)           { e.recordErr(e.enc.EncodeBytes(b)) }
func (e *fieldEncoder) uint(n uint64)            { e.recordErr(e.enc.EncodeUint(n)) }
func (e *fieldEncoder) int(n int64)              { e.recordErr(e.enc.EncodeInt(n)) }
func (e *fieldEncoder) bool(b bool)              { e.recordErr(e.enc.EncodeBool(b)) }
func (e *fieldEncoder) duration(d time.Duration) { e.int(int64(d)) }
func (e *fieldEncoder) length(n int)             { e.recordErr(e.enc.EncodeArrayLen(n)) }

// fieldDecoder decodes fields and retains the first error.
type fieldDecoder struct {
	dec *msgpack.Decoder
	err error
}

func (d *fieldDecoder) recordErr(err error) {
	if d.err == nil {
		d.err = err
	}
}

func (d *fieldDecoder) text() string {
	s, err := d.dec.DecodeString()
	d.recordErr(err)
	return s
}

func (d *fieldDecoder) bytes() []byte {
	b, err := d.dec.DecodeBytes()
	d.recordErr(err)
	return b
}

func (d *fieldDecoder) uint() uint64 {
	n, err := d.dec.DecodeUint64()
	d.recordErr(err)
	return n
}

func (d *fieldDecoder) int() int64 {
	n, err := d.dec.DecodeInt64()
	d.recordErr(err)
	return n
}

func (d *fieldDecoder) bool() bool {
	b, err := d.dec.DecodeBool()
	d.recordErr(err)
	return b
}

func (d *fieldDecoder) duration() time.Duration { return time.Duration(d.int()) }

// maxListLength is the maximum length of a list in a frame, such as the settings or
// statements of a request.
const maxListLength = 10_000

func (d *fieldDecoder) length() int {
	n, err := d.dec.DecodeArrayLen()
	d.recordErr(err)
	if n > maxListLength {
		d.recordErr(&FrameError{Detail: "list too long"})
	}
	if d.err != nil {
		return 0
	}
	return max(n, 0)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b openBody) EncodeMsgpack(enc *msgpack.Encoder) error {
	e := &fieldEncoder{enc: enc}
	e.request(b.Request)
	e.batch(b.Batch)
	return e.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *openBody) DecodeMsgpack(dec *msgpack.Decoder) error {
	d := &fieldDecoder{dec: dec}
	b.Request = d.request()
	b.Batch = d.batch()
	return d.err
}

func (e *fieldEncoder) request(q txn.Request) {
	e.text(q.ID)
	e.text(q.Database)
	e.text(q.Server)
	e.uint(q.Term)
	e.text(q.Entry)
	e.text(q.Kind)
	e.text(q.Owner)
	e.text(q.Caller)
	e.int(int64(q.Rank))
	e.text(string(q.Access))
	e.text(string(q.Confirm))
	e.bool(q.Repeatable)
	e.mark(q.Mark)
	e.duration(q.MarkWait)
	e.duration(q.MaxAge)
	e.duration(q.Timeout)
	e.duration(q.IdleInTxn)
	e.length(len(q.Settings))
	for _, s := range q.Settings {
		e.text(s.Name)
		e.text(s.Value)
	}
}

func (d *fieldDecoder) request() txn.Request {
	q := txn.Request{
		ID: d.text(), Database: d.text(), Server: d.text(), Term: d.uint(),
		Entry: d.text(), Kind: d.text(), Owner: d.text(), Caller: d.text(),
		Rank: catalogue.Rank(d.int()), Access: catalogue.Access(d.text()), Confirm: catalogue.Confirm(d.text()),
		Repeatable: d.bool(), Mark: d.mark(), MarkWait: d.duration(), MaxAge: d.duration(),
		Timeout: d.duration(), IdleInTxn: d.duration(),
	}
	for n := d.length(); n > 0 && d.err == nil; n-- {
		q.Settings = append(q.Settings, txn.Setting{Name: d.text(), Value: d.text()})
	}
	return q
}

func (e *fieldEncoder) batch(b txn.Batch) {
	e.bytes(b.Messages)
	e.length(len(b.Statements))
	for _, s := range b.Statements {
		e.text(s.Name)
		e.text(s.SQL)
		e.length(len(s.ParamOIDs))
		for _, oid := range s.ParamOIDs {
			e.uint(uint64(oid))
		}
	}
	e.bool(b.Flush)
	e.bool(b.MayCommit)
	e.text(string(b.Begin))
}

func (d *fieldDecoder) batch() txn.Batch {
	b := txn.Batch{Messages: d.bytes()}
	for n := d.length(); n > 0 && d.err == nil; n-- {
		s := txn.Statement{Name: d.text(), SQL: d.text()}
		for m := d.length(); m > 0 && d.err == nil; m-- {
			s.ParamOIDs = append(s.ParamOIDs, uint32(d.uint()))
		}
		b.Statements = append(b.Statements, s)
	}
	b.Flush = d.bool()
	b.MayCommit = d.bool()
	b.Begin = txn.Begin(d.text())
	return b
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b doneBody) EncodeMsgpack(enc *msgpack.Encoder) error {
	e := &fieldEncoder{enc: enc}
	e.uint(uint64(b.Result.TxStatus))
	e.bool(b.Result.Failed)
	e.mark(b.Result.Mark)
	e.status(b.Result.Status)
	e.bytes(b.Data)
	return e.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *doneBody) DecodeMsgpack(dec *msgpack.Decoder) error {
	d := &fieldDecoder{dec: dec}
	b.Result = txn.Result{TxStatus: byte(d.uint()), Failed: d.bool(), Mark: d.mark(), Status: d.status()}
	b.Data = d.bytes()
	return d.err
}

func (e *fieldEncoder) mark(m topology.Mark) {
	e.text(m.Database)
	e.uint(m.Term)
	e.uint(m.Position)
}

func (d *fieldDecoder) mark() topology.Mark {
	return topology.Mark{Database: d.text(), Term: d.uint(), Position: d.uint()}
}

func (e *fieldEncoder) status(s topology.ServerStatus) {
	e.text(s.Server)
	e.uint(s.Term)
	e.uint(s.Fence)
	e.text(string(s.Role))
	e.uint(s.Position)
	e.duration(s.Lag)
	e.bool(s.Reachable)
	e.uint(s.Dropped)
	e.duration(s.ObservedAt)
}

func (d *fieldDecoder) status() topology.ServerStatus {
	return topology.ServerStatus{
		Server: d.text(), Term: d.uint(), Fence: d.uint(), Role: topology.Role(d.text()), Position: d.uint(),
		Lag: d.duration(), Reachable: d.bool(), Dropped: d.uint(), ObservedAt: d.duration(),
	}
}
