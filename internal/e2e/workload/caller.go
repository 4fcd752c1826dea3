package workload

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"

	"egretroad/internal/e2e/history"
)

const (
	closeTimeout   = time.Second
	reconnectPause = 20 * time.Millisecond
)

const (
	sqlRead   = "SELECT value FROM kv WHERE key = $1"
	sqlList   = "SELECT key, value FROM kv ORDER BY key"
	sqlInsert = "INSERT INTO kv (key, value) VALUES ($1, $2)"
	sqlUpsert = sqlInsert + " ON CONFLICT (key) DO UPDATE SET value = $2"
)

// Prefix and suffixes of the keys that a transaction of two rows writes.
const (
	pairPrefix = "pair-"
	firstPart  = "a"
	secondPart = "b"
)

// caller is a logical session that moves between proxies and must read its own
// writes on each of them.
type caller struct {
	workload       *Workload
	id             int
	rng            *rand.Rand
	session        *session
	operationCount int
}

func (c *caller) run(ctx context.Context) {
	defer c.disconnect()
	for ctx.Err() == nil {
		c.operationCount++
		if c.operationCount%c.workload.options.ReconnectEvery == 0 {
			c.disconnect()
		}
		if !c.ensureConnected(ctx) {
			continue
		}
		c.runOperation()
		if p := c.workload.options.ThinkTime; p > 0 {
			time.Sleep(p)
		}
	}
}

func (c *caller) disconnect() {
	if c.session != nil {
		c.session.close()
		c.session = nil
	}
}

// ensureConnected connects to a random proxy unless a connection is open. It reports
// whether one is open.
func (c *caller) ensureConnected(ctx context.Context) bool {
	if c.session != nil && !c.session.conn.IsClosed() {
		return true
	}
	s, err := c.workload.connect(ctx, c.randomProxy(), c.workload.options.ReadKind)
	if err != nil {
		time.Sleep(reconnectPause)
		return false
	}
	c.session = s
	return true
}

func (c *caller) randomProxy() string {
	addrs := c.workload.proxyAddrs()
	return addrs[c.rng.IntN(len(addrs))]
}

// runOperation runs one operation of a random type.
func (c *caller) runOperation() {
	o := c.workload.options
	ctx, cancel := context.WithTimeout(context.Background(), o.OpTimeout)
	defer cancel()
	n := c.rng.IntN(1 << 20)
	switch {
	case o.ListEvery > 0 && n%o.ListEvery == 0:
		c.listRows(ctx)
	case o.SharedEvery > 0 && n%o.SharedEvery == 1:
		c.accessSharedKey(ctx)
	case c.rng.IntN(o.WriteEvery) == 0:
		c.write(ctx)
	default:
		c.read(ctx, c.session, c.randomOwnKey(), c.workload.recorder.Now())
	}
}

func (c *caller) randomOwnKey() string {
	return fmt.Sprintf("own-%s-%d-%d", c.workload.options.Name, c.id, c.rng.IntN(c.workload.options.Keys))
}

// write inserts a row, inserts two rows in a transaction, or upserts one of the own
// keys of the caller.
func (c *caller) write(ctx context.Context) {
	switch c.rng.IntN(4) {
	case 0:
		c.insertRow(ctx)
	case 1:
		c.insertPair(ctx)
	default:
		c.upsert(ctx, c.session, c.randomOwnKey(), c.workload.recorder.Now())
	}
}

// startOperation returns the record of an operation whose call time is now.
func (c *caller) startOperation(s *session, kind history.Kind, key, value string) history.Operation {
	return history.Operation{
		Caller:   c.id,
		Database: c.workload.options.Database,
		Proxy:    s.proxy,
		Kind:     kind,
		Key:      key,
		Value:    value,
		Call:     c.workload.recorder.Now(),
	}
}

func (c *caller) recordResult(op history.Operation, err error) {
	op.Return = c.workload.recorder.Now()
	op.Outcome, op.Code = classify(err)
	c.workload.record(op)
}

func (c *caller) read(ctx context.Context, s *session, key string, call time.Duration) {
	op := c.startOperation(s, history.Read, key, "")
	op.Call = call
	err := s.setWork(ctx, c.workload.options.ReadKind)
	if err == nil {
		err = s.conn.QueryRow(ctx, sqlRead, key).Scan(&op.Value)
		op.Found = err == nil
	}
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	c.recordResult(op, err)
}

func (c *caller) newPayload(key, tag string) string {
	return history.Payload(key, history.Tag(tag), c.rng.IntN(c.workload.options.MaxPadding+1))
}

// upsert inserts or overwrites the value of a key in an implicit transaction.
func (c *caller) upsert(ctx context.Context, s *session, key string, call time.Duration) {
	value := c.newPayload(key, c.workload.newTag(c.id, 0))
	op := c.startOperation(s, history.Write, key, value)
	op.Call = call
	err := s.setWork(ctx, c.workload.options.WriteKind)
	if err == nil {
		_, err = s.conn.Exec(ctx, sqlUpsert, key, value)
	}
	c.recordResult(op, err)
}

// insertRow inserts a row with a new key, which must be committed at most once.
func (c *caller) insertRow(ctx context.Context) {
	tag := c.workload.newTag(c.id, 1)
	key := "order-" + history.Tag(tag)
	value := c.newPayload(key, tag)
	op := c.startOperation(c.session, history.Write, key, value)
	err := c.session.setWork(ctx, c.workload.options.WriteKind)
	if err == nil {
		_, err = c.session.conn.Exec(ctx, sqlInsert, key, value)
	}
	c.recordResult(op, err)
}

// insertPair inserts two new rows in one transaction, which must be committed
// atomically.
func (c *caller) insertPair(ctx context.Context) {
	tag := c.workload.newTag(c.id, 2)
	var ops []history.Operation
	for _, part := range []string{firstPart, secondPart} {
		key := pairPrefix + history.Tag(tag) + part
		ops = append(ops, c.startOperation(c.session, history.Write, key, c.newPayload(key, tag)))
	}
	err := c.runTransaction(ctx, ops)
	for _, op := range ops {
		c.recordResult(op, err)
	}
}

// notCommittedError wraps an error that occurred before COMMIT was sent: the
// transaction must not take effect.
type notCommittedError struct{ cause error }

func (e *notCommittedError) Error() string { return "before commit: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notCommittedError) Unwrap() error { return e.cause }

// commitError wraps an error of COMMIT. Unless it is an error of the server, the
// outcome is unknown, even if the client library reports a closed connection.
type commitError struct{ cause error }

func (e *commitError) Error() string { return "commit: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *commitError) Unwrap() error { return e.cause }

func (c *caller) runTransaction(ctx context.Context, ops []history.Operation) error {
	if err := c.session.setWork(ctx, c.workload.options.WriteKind); err != nil {
		return &notCommittedError{cause: err}
	}
	tx, err := c.session.conn.Begin(ctx)
	if err != nil {
		return &notCommittedError{cause: err}
	}
	for _, op := range ops {
		if _, err := tx.Exec(ctx, sqlInsert, op.Key, op.Value); err != nil {
			_ = tx.Rollback(ctx)
			return &notCommittedError{cause: err}
		}
	}
	if err := tx.Commit(ctx); err != nil {
		return &commitError{cause: err}
	}
	return nil
}

// accessSharedKey reads or writes a key shared by all callers over a new connection.
// A read must see every write acknowledged before the connection was opened.
func (c *caller) accessSharedKey(ctx context.Context) {
	key := fmt.Sprintf("shared-%s-%d", c.workload.options.Name, c.rng.IntN(sharedKeys))
	call := c.workload.recorder.Now()
	work := c.workload.options.ReadKind
	isWrite := c.rng.IntN(3) == 0
	if isWrite {
		work = c.workload.options.WriteKind
	}
	s, err := c.workload.connect(ctx, c.randomProxy(), work)
	if err != nil {
		return
	}
	defer s.close()
	if isWrite {
		c.upsert(ctx, s, key, call)
		return
	}
	c.read(ctx, s, key, call)
}

// listRows reads all rows and checks that the response is complete.
func (c *caller) listRows(ctx context.Context) {
	if err := c.session.setWork(ctx, c.workload.options.ReadKind); err != nil {
		return
	}
	rows, err := c.session.conn.Query(ctx, sqlList)
	if err != nil {
		return
	}
	list, err := pgx.CollectRows(rows, pgx.RowToStructByPos[history.Row])
	if err != nil {
		return
	}
	c.workload.addViolations(history.CheckListResponse(list, rows.CommandTag().RowsAffected(), c.workload.options.SeededKeys))
}

// IsSecondRow reports whether an operation writes the second row of a transaction of
// two rows. Counting the operations without these counts the transactions.
func IsSecondRow(op history.Operation) bool {
	return strings.HasPrefix(op.Key, pairPrefix) && strings.HasSuffix(op.Key, secondPart)
}
