package broker

import (
	"context"
	"errors"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/coalesce"
	"egretroad/internal/statement"
)

// admin is the connection that a home keeps for proofs of leadership, which take
// no slot, and for the servers' accounts of themselves. Its users take turns.
type admin struct {
	s      *server
	turn   chan struct{} // holds one token; its holder owns conn
	conn   Conn
	proofs coalesce.Group[string, Proof]
}

func newAdmin(s *server) *admin {
	a := &admin{s: s, turn: make(chan struct{}, 1)}
	a.turn <- struct{}{}
	return a
}

// with runs f on the connection, once more on a new one when it breaks at once.
func (a *admin) with(ctx context.Context, f func(c Conn, deadline time.Time) error) error {
	select {
	case <-a.turn:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { a.turn <- struct{}{} }()
	asked := clock.Boottime()
	ctx, cancel := context.WithTimeout(ctx, a.s.options.ProbeTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	err := a.attempt(ctx, deadline, f)
	var broken *BrokenError
	if errors.As(err, &broken) && !broken.Timeout {
		err = a.attempt(ctx, deadline, f)
	}
	a.s.note(asked, err)
	return err
}

func (a *admin) attempt(ctx context.Context, deadline time.Time, f func(c Conn, deadline time.Time) error) error {
	if a.conn == nil {
		conn, err := a.s.connector.Connect(ctx, a.s.database, a.s.spec)
		if err != nil {
			return err
		}
		a.conn = conn
	}
	err := f(a.conn, deadline)
	var refused *RefusedError
	if err != nil && !errors.As(err, &refused) {
		a.conn.Close()
		a.conn = nil
	}
	return err
}

// prove asks the server to begin a transaction that may write, which only the
// leading server does, and rolls it back.
func (a *admin) prove(ctx context.Context) (Proof, error) {
	return a.proofs.Do(ctx, "", func() (Proof, error) {
		var asked time.Duration
		var proof Proof
		ctx, cancel := context.WithTimeout(a.s.ctx, 2*a.s.options.ProbeTimeout)
		defer cancel()
		err := a.with(ctx, func(c Conn, deadline time.Time) error {
			asked = clock.Boottime()
			replies, err := c.Run(deadline, own(statement.Begin))
			if err != nil {
				return err
			}
			if !replies[0].OK() {
				return &RefusedError{Code: replies[0].Code, Detail: replies[0].Detail}
			}
			proof.Mark = replies[0].Mark
			_, err = c.Run(deadline, own(statement.Rollback))
			return err
		})
		if err != nil {
			return Proof{}, err
		}
		a.s.health.prove(proof, asked)
		proof.Age = clock.Boottime() - asked
		return proof, nil
	})
}

// ping asks for an answer that takes no slot.
func (a *admin) ping(ctx context.Context) error {
	return a.with(ctx, func(c Conn, deadline time.Time) error {
		_, err := c.Run(deadline, own(statement.BeginRead))
		if err != nil {
			return err
		}
		_, err = c.Run(deadline, own(statement.Rollback))
		return err
	})
}

func (a *admin) standing(ctx context.Context) (Standing, error) {
	var st Standing
	err := a.with(ctx, func(c Conn, deadline time.Time) (err error) {
		st, err = c.Standing(deadline)
		return err
	})
	return st, err
}

// close closes the connection once its user is done.
func (a *admin) close() {
	go func() {
		<-a.turn
		if a.conn != nil {
			a.conn.Close()
			a.conn = nil
		}
		a.turn <- struct{}{}
	}()
}

// own returns a statement of the proxy's own.
func own(verb statement.Verb) statement.Command {
	return statement.Command{Statement: statement.Statement{Verb: verb}}
}
