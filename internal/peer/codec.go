package peer

import (
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/catalogue"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// The bodies of a lane's first batch and of its answer are coded field by field:
// they are on the path of every statement, and reflection costs more than the
// rest of the frame. Fields are in a fixed order; ProtocolVersion covers changes.

// writer encodes fields and keeps the first error.
type writer struct {
	enc *msgpack.Encoder
	err error
}

func (w *writer) do(err error) {
	if w.err == nil {
		w.err = err
	}
}

func (w *writer) text(s string)            { w.do(w.enc.EncodeString(s)) }
func (w *writer) bytes(b []byte)           { w.do(w.enc.EncodeBytes(b)) }
func (w *writer) uint(n uint64)            { w.do(w.enc.EncodeUint(n)) }
func (w *writer) int(n int64)              { w.do(w.enc.EncodeInt(n)) }
func (w *writer) bool(b bool)              { w.do(w.enc.EncodeBool(b)) }
func (w *writer) duration(d time.Duration) { w.int(int64(d)) }
func (w *writer) length(n int)             { w.do(w.enc.EncodeArrayLen(n)) }

// reader decodes fields and keeps the first error.
type reader struct {
	dec *msgpack.Decoder
	err error
}

func (r *reader) keep(err error) {
	if r.err == nil {
		r.err = err
	}
}

func (r *reader) text() string {
	s, err := r.dec.DecodeString()
	r.keep(err)
	return s
}

func (r *reader) bytes() []byte {
	b, err := r.dec.DecodeBytes()
	r.keep(err)
	return b
}

func (r *reader) uint() uint64 {
	n, err := r.dec.DecodeUint64()
	r.keep(err)
	return n
}

func (r *reader) int() int64 {
	n, err := r.dec.DecodeInt64()
	r.keep(err)
	return n
}

func (r *reader) bool() bool {
	b, err := r.dec.DecodeBool()
	r.keep(err)
	return b
}

func (r *reader) duration() time.Duration { return time.Duration(r.int()) }

// maxListLength bounds the settings and statements of one frame.
const maxListLength = 10_000

func (r *reader) length() int {
	n, err := r.dec.DecodeArrayLen()
	r.keep(err)
	if n > maxListLength {
		r.keep(&FrameError{Detail: "list too long"})
	}
	if r.err != nil {
		return 0
	}
	return max(n, 0)
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b openBody) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := &writer{enc: enc}
	w.request(b.Request)
	w.batch(b.Batch)
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *openBody) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := &reader{dec: dec}
	b.Request = r.request()
	b.Batch = r.batch()
	return r.err
}

func (w *writer) request(q txn.Request) {
	w.text(q.ID)
	w.text(q.Database)
	w.text(q.Server)
	w.uint(q.Term)
	w.text(q.Entry)
	w.text(q.Kind)
	w.text(q.Owner)
	w.text(q.Caller)
	w.int(int64(q.Rank))
	w.text(string(q.Access))
	w.text(string(q.Confirm))
	w.bool(q.Repeatable)
	w.mark(q.Mark)
	w.duration(q.MarkWait)
	w.duration(q.MaxAge)
	w.duration(q.Timeout)
	w.duration(q.IdleInTxn)
	w.length(len(q.Settings))
	for _, s := range q.Settings {
		w.text(s.Name)
		w.text(s.Value)
	}
}

func (r *reader) request() txn.Request {
	q := txn.Request{
		ID: r.text(), Database: r.text(), Server: r.text(), Term: r.uint(),
		Entry: r.text(), Kind: r.text(), Owner: r.text(), Caller: r.text(),
		Rank: catalogue.Rank(r.int()), Access: catalogue.Access(r.text()), Confirm: catalogue.Confirm(r.text()),
		Repeatable: r.bool(), Mark: r.mark(), MarkWait: r.duration(), MaxAge: r.duration(),
		Timeout: r.duration(), IdleInTxn: r.duration(),
	}
	for n := r.length(); n > 0 && r.err == nil; n-- {
		q.Settings = append(q.Settings, txn.Setting{Name: r.text(), Value: r.text()})
	}
	return q
}

func (w *writer) batch(b txn.Batch) {
	w.bytes(b.Messages)
	w.length(len(b.Statements))
	for _, s := range b.Statements {
		w.text(s.Name)
		w.text(s.SQL)
		w.length(len(s.ParamOIDs))
		for _, oid := range s.ParamOIDs {
			w.uint(uint64(oid))
		}
	}
	w.bool(b.Flush)
	w.bool(b.MayCommit)
	w.text(string(b.Begin))
}

func (r *reader) batch() txn.Batch {
	b := txn.Batch{Messages: r.bytes()}
	for n := r.length(); n > 0 && r.err == nil; n-- {
		s := txn.Statement{Name: r.text(), SQL: r.text()}
		for m := r.length(); m > 0 && r.err == nil; m-- {
			s.ParamOIDs = append(s.ParamOIDs, uint32(r.uint()))
		}
		b.Statements = append(b.Statements, s)
	}
	b.Flush = r.bool()
	b.MayCommit = r.bool()
	b.Begin = txn.Begin(r.text())
	return b
}

// EncodeMsgpack implements msgpack.CustomEncoder.
func (b doneBody) EncodeMsgpack(enc *msgpack.Encoder) error {
	w := &writer{enc: enc}
	w.uint(uint64(b.Result.TxStatus))
	w.bool(b.Result.Failed)
	w.mark(b.Result.Mark)
	w.status(b.Result.Status)
	w.bytes(b.Data)
	return w.err
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (b *doneBody) DecodeMsgpack(dec *msgpack.Decoder) error {
	r := &reader{dec: dec}
	b.Result = txn.Result{TxStatus: byte(r.uint()), Failed: r.bool(), Mark: r.mark(), Status: r.status()}
	b.Data = r.bytes()
	return r.err
}

func (w *writer) mark(m topology.Mark) {
	w.text(m.Database)
	w.uint(m.Term)
	w.uint(m.Position)
}

func (r *reader) mark() topology.Mark {
	return topology.Mark{Database: r.text(), Term: r.uint(), Position: r.uint()}
}

func (w *writer) status(s topology.ServerStatus) {
	w.text(s.Server)
	w.uint(s.Term)
	w.uint(s.Fence)
	w.text(string(s.Role))
	w.uint(s.Position)
	w.duration(s.Lag)
	w.bool(s.Reachable)
	w.uint(s.Dropped)
	w.duration(s.ObservedAt)
}

func (r *reader) status() topology.ServerStatus {
	return topology.ServerStatus{
		Server: r.text(), Term: r.uint(), Fence: r.uint(), Role: topology.Role(r.text()), Position: r.uint(),
		Lag: r.duration(), Reachable: r.bool(), Dropped: r.uint(), ObservedAt: r.duration(),
	}
}
