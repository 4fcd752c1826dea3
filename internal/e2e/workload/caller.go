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

// Parts of the keys that transactions of two rows write.
const (
	pairPrefix = "pair-"
	firstPart  = "a"
	secondPart = "b"
)

// caller is one logical session: one person's work, which moves between
// proxies and expects its own writes on each of them.
type caller struct {
	workload *Workload
	id       int
	rng      *rand.Rand
	session  *session
	ops      int
}

func (c *caller) run(ctx context.Context) {
	defer c.leave()
	for ctx.Err() == nil {
		c.ops++
		if c.ops%c.workload.options.RoamEvery == 0 {
			c.leave()
		}
		if !c.arrive(ctx) {
			continue
		}
		c.step()
		if p := c.workload.options.Pause; p > 0 {
			time.Sleep(p)
		}
	}
}

func (c *caller) leave() {
	if c.session != nil {
		c.session.close()
		c.session = nil
	}
}

// arrive makes sure of a usable connection to some proxy.
func (c *caller) arrive(ctx context.Context) bool {
	if c.session != nil && !c.session.conn.IsClosed() {
		return true
	}
	s, err := c.workload.open(ctx, c.anyProxy(), c.workload.options.ReadKind)
	if err != nil {
		time.Sleep(reconnectPause)
		return false
	}
	c.session = s
	return true
}

func (c *caller) anyProxy() string {
	all := c.workload.proxies()
	return all[c.rng.IntN(len(all))]
}

// step runs one operation.
func (c *caller) step() {
	o := c.workload.options
	ctx, cancel := context.WithTimeout(context.Background(), o.OpTimeout)
	defer cancel()
	n := c.rng.IntN(1 << 20)
	switch {
	case o.ListEvery > 0 && n%o.ListEvery == 0:
		c.list(ctx)
	case o.SharedEvery > 0 && n%o.SharedEvery == 1:
		c.shared(ctx)
	case c.rng.IntN(o.WriteEvery) == 0:
		c.write(ctx)
	default:
		c.read(ctx, c.session, c.ownKey(), c.workload.recorder.Now())
	}
}

func (c *caller) ownKey() string {
	return fmt.Sprintf("own-%s-%d-%d", c.workload.options.Name, c.id, c.rng.IntN(c.workload.options.Keys))
}

// write runs one of the forms in which callers write.
func (c *caller) write(ctx context.Context) {
	switch c.rng.IntN(4) {
	case 0:
		c.order(ctx)
	case 1:
		c.transaction(ctx)
	default:
		c.upsert(ctx, c.session, c.ownKey(), c.workload.recorder.Now())
	}
}

// begin starts the record of an operation that is called now.
func (c *caller) begin(s *session, kind history.Kind, key, value string) history.Operation {
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

func (c *caller) finish(op history.Operation, err error) {
	op.Return = c.workload.recorder.Now()
	op.Outcome, op.Code = classify(err)
	c.workload.add(op)
}

func (c *caller) read(ctx context.Context, s *session, key string, call time.Duration) {
	op := c.begin(s, history.Read, key, "")
	op.Call = call
	err := s.use(ctx, c.workload.options.ReadKind)
	if err == nil {
		err = s.conn.QueryRow(ctx, sqlRead, key).Scan(&op.Value)
		op.Found = err == nil
	}
	if errors.Is(err, pgx.ErrNoRows) {
		err = nil
	}
	c.finish(op, err)
}

func (c *caller) payload(key, tag string) string {
	return history.Payload(key, history.Tag(tag), c.rng.IntN(c.workload.options.Padding+1))
}

// upsert writes a register in a transaction of its own.
func (c *caller) upsert(ctx context.Context, s *session, key string, call time.Duration) {
	value := c.payload(key, c.workload.newTag(c.id, 0))
	op := c.begin(s, history.Write, key, value)
	op.Call = call
	err := s.use(ctx, c.workload.options.WriteKind)
	if err == nil {
		_, err = s.conn.Exec(ctx, sqlUpsert, key, value)
	}
	c.finish(op, err)
}

// order inserts a row of a new key, which must land at most once.
func (c *caller) order(ctx context.Context) {
	tag := c.workload.newTag(c.id, 1)
	key := "order-" + history.Tag(tag)
	value := c.payload(key, tag)
	op := c.begin(c.session, history.Write, key, value)
	err := c.session.use(ctx, c.workload.options.WriteKind)
	if err == nil {
		_, err = c.session.conn.Exec(ctx, sqlInsert, key, value)
	}
	c.finish(op, err)
}

// transaction writes two new rows, which land together or not at all.
func (c *caller) transaction(ctx context.Context) {
	tag := c.workload.newTag(c.id, 2)
	var ops []history.Operation
	for _, part := range []string{firstPart, secondPart} {
		key := pairPrefix + history.Tag(tag) + part
		ops = append(ops, c.begin(c.session, history.Write, key, c.payload(key, tag)))
	}
	err := c.runTransaction(ctx, ops)
	for _, op := range ops {
		c.finish(op, err)
	}
}

// notCommittedError marks a failure before COMMIT was sent: nothing may land.
type notCommittedError struct{ cause error }

func (e *notCommittedError) Error() string { return "before commit: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *notCommittedError) Unwrap() error { return e.cause }

// commitError marks a failure of COMMIT: without the server's own error, the
// outcome is unknown, also where the client library reports a closed connection.
type commitError struct{ cause error }

func (e *commitError) Error() string { return "commit: " + e.cause.Error() }

// Unwrap returns the cause.
func (e *commitError) Unwrap() error { return e.cause }

func (c *caller) runTransaction(ctx context.Context, ops []history.Operation) error {
	if err := c.session.use(ctx, c.workload.options.WriteKind); err != nil {
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

// shared reads or writes a key of all callers over a new connection, so that
// its read must see everything acknowledged before it connected.
func (c *caller) shared(ctx context.Context) {
	key := fmt.Sprintf("shared-%s-%d", c.workload.options.Name, c.rng.IntN(sharedKeys))
	call := c.workload.recorder.Now()
	work := c.workload.options.ReadKind
	writes := c.rng.IntN(3) == 0
	if writes {
		work = c.workload.options.WriteKind
	}
	s, err := c.workload.open(ctx, c.anyProxy(), work)
	if err != nil {
		return
	}
	defer s.close()
	if writes {
		c.upsert(ctx, s, key, call)
		return
	}
	c.read(ctx, s, key, call)
}

// list reads all rows and checks that the answer is whole.
func (c *caller) list(ctx context.Context) {
	if err := c.session.use(ctx, c.workload.options.ReadKind); err != nil {
		return
	}
	rows, err := c.session.conn.Query(ctx, sqlList)
	if err != nil {
		return
	}
	all, err := pgx.CollectRows(rows, pgx.RowToStructByPos[history.Row])
	if err != nil {
		return
	}
	c.workload.found(history.CheckList(all, rows.CommandTag().RowsAffected(), c.workload.options.SeededKeys))
}

// SecondRow reports whether an operation is the second row of a transaction of
// two, so that transactions can be counted.
func SecondRow(op history.Operation) bool {
	return strings.HasPrefix(op.Key, pairPrefix) && strings.HasSuffix(op.Key, secondPart)
}
