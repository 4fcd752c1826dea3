package gateway

import (
	"bytes"
	"context"
	"fmt"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// fakeHome is a fake txn.Home. All its servers share one table in memory.
type fakeHome struct {
	mu             sync.Mutex
	rows           map[string]string
	position       uint64
	term           uint64
	openedRequests []txn.Request
	batches        []txn.Batch
	openError      func(r txn.Request) error // a nil error opens the lane
	runError       func(r txn.Request, b txn.Batch) error
	lag            map[string]time.Duration
	openLanes      atomic.Int64 // number of open lanes
	runGate        chan struct{}
	// positionError is the error that Position returns.
	positionError error
}

func newFakeHome() *fakeHome {
	return &fakeHome{rows: map[string]string{}, position: 100, term: 1, lag: map[string]time.Duration{}}
}

func (h *fakeHome) Open(ctx context.Context, r txn.Request) (txn.Lane, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openError != nil {
		if err := h.openError(r); err != nil {
			return nil, err
		}
	}
	h.openedRequests = append(h.openedRequests, r)
	h.openLanes.Add(1)
	return &fakeLane{home: h, request: r, status: txIdle, statements: map[string]string{}, cancelled: make(chan struct{}, 1)}, nil
}

func (h *fakeHome) Position(context.Context, string) (topology.Mark, error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return topology.Mark{Database: "orders1", Term: h.term, Position: h.position}, h.positionError
}

func (h *fakeHome) WaitApplied(context.Context, string, topology.Mark) (topology.ServerStatus, error) {
	return topology.ServerStatus{}, &outcome.NotRunError{Reason: outcome.ReasonUnavailable}
}

func (h *fakeHome) Admin(context.Context, txn.AdminRequest) (topology.ServerStatus, error) {
	return topology.ServerStatus{}, &outcome.NotRunError{Reason: outcome.ReasonUnavailable}
}

// requests returns the requests of the lanes opened so far.
func (h *fakeHome) requests() []txn.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	return append([]txn.Request(nil), h.openedRequests...)
}

// fakeLane executes the messages of one transaction.
type fakeLane struct {
	home          *fakeHome
	request       txn.Request
	status        byte
	statements    map[string]string
	portals       map[string]string
	inserted      map[string]string
	wrote         bool
	skipUntilSync bool
	ended         bool
	cancelled     chan struct{}
}

func (l *fakeLane) Cancel() {
	select {
	case l.cancelled <- struct{}{}:
	default:
	}
}

func (l *fakeLane) Close() {
	if !l.ended {
		l.ended = true
		l.rollback()
		l.home.openLanes.Add(-1)
	}
}

func (l *fakeLane) Run(ctx context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	if l.ended {
		return txn.Result{}, &outcome.NotRunError{Reason: outcome.ReasonConnLost, Detail: "the lane has ended"}
	}
	h := l.home
	h.mu.Lock()
	h.batches = append(h.batches, txn.Batch{Messages: bytes.Clone(b.Messages), Statements: b.Statements, Begin: b.Begin, Flush: b.Flush, MayCommit: b.MayCommit})
	gate, runError := h.runGate, h.runError
	h.mu.Unlock()
	if runError != nil {
		if err := runError(l.request, b); err != nil {
			l.Close()
			return txn.Result{}, err
		}
	}
	if gate != nil {
		select {
		case <-gate:
		case <-ctx.Done():
			l.Close()
			return txn.Result{}, &outcome.NotRunError{Reason: outcome.ReasonDeadline}
		}
	}
	for _, s := range b.Statements {
		l.statements[s.Name] = s.SQL
	}
	a := &batchAnswer{lane: l}
	if b.Begin != txn.BeginNone {
		a.execute(string(b.Begin), nil, true)
		a.out = nil
	}
	a.processMessages(b.Messages)
	if err := sink(a.out); err != nil {
		l.Close()
		return txn.Result{}, &outcome.UnknownError{Reason: outcome.ReasonConnLost}
	}
	r := txn.Result{TxStatus: l.status, Failed: a.failed}
	if b.Flush {
		r.TxStatus = 0
	}
	if r.TxStatus == txIdle {
		defer l.Close()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.status == txIdle && l.wrote {
		h.position++
		l.wrote = false
		r.Mark = topology.Mark{Database: l.request.Database, Term: h.term, Position: h.position}
	}
	role := topology.RoleReplica
	if strings.HasSuffix(l.request.Server, "-a") {
		role = topology.RolePrimary
	}
	r.Status = topology.ServerStatus{Server: l.request.Server, Term: h.term, Role: role, Position: h.position, Lag: h.lag[l.request.Server], Reachable: true}
	return r, nil
}

// batchAnswer builds the response to one batch.
type batchAnswer struct {
	lane   *fakeLane
	out    []byte
	failed bool
}

func (a *batchAnswer) send(m pgproto3.BackendMessage) { a.out, _ = m.Encode(a.out) }

func (a *batchAnswer) processMessages(messages []byte) {
	backend := pgproto3.NewBackend(bytes.NewReader(messages), nil)
	for {
		m, err := backend.Receive()
		if err != nil {
			return
		}
		if _, ok := m.(*pgproto3.Sync); ok {
			a.lane.skipUntilSync = false
			continue
		}
		if !a.lane.skipUntilSync {
			a.handleMessage(m)
		}
	}
}

func (a *batchAnswer) handleMessage(m pgproto3.FrontendMessage) {
	l := a.lane
	switch m := m.(type) {
	case *pgproto3.Query:
		for _, part := range splitStatements(m.String) {
			if a.failed {
				return
			}
			a.execute(part, nil, true)
		}
	case *pgproto3.Parse:
		if k := classify(m.Query).Kind; l.status == txFailed && k != kindCommit && k != kindRollback {
			a.sendError("25P02", "current transaction is aborted")
			l.skipUntilSync = true
			return
		}
		if strings.Contains(m.Query, "bogus") {
			a.sendError("42601", "syntax error")
			l.skipUntilSync = true
			return
		}
		l.statements[m.Name] = m.Query
		a.send(&pgproto3.ParseComplete{})
	case *pgproto3.Bind:
		sql, ok := l.statements[m.PreparedStatement]
		if !ok {
			a.sendError("26000", "prepared statement does not exist: "+m.PreparedStatement)
			l.skipUntilSync = true
			return
		}
		if l.portals == nil {
			l.portals = map[string]string{}
		}
		for i, p := range m.Parameters {
			sql = strings.ReplaceAll(sql, fmt.Sprintf("$%d", i+1), "'"+string(p)+"'")
		}
		l.portals[m.DestinationPortal] = sql
		a.send(&pgproto3.BindComplete{})
	case *pgproto3.Describe:
		sql := l.portals[m.Name]
		if m.ObjectType == 'S' {
			sql = l.statements[m.Name]
			a.send(&pgproto3.ParameterDescription{ParameterOIDs: parameterOIDs(sql)})
		}
		a.describe(sql)
	case *pgproto3.Execute:
		a.execute(l.portals[m.Portal], nil, false)
		l.skipUntilSync = a.failed
	}
}

func parameterOIDs(sql string) []uint32 {
	var oids []uint32
	for i := 1; strings.Contains(sql, fmt.Sprintf("$%d", i)); i++ {
		oids = append(oids, textOID)
	}
	return oids
}

func (a *batchAnswer) describe(sql string) {
	if k := classify(sql).Kind; k != kindRead && k != kindShow {
		a.send(&pgproto3.NoData{})
		return
	}
	a.send(&pgproto3.RowDescription{Fields: []pgproto3.FieldDescription{{Name: []byte("value"), DataTypeOID: textOID, DataTypeSize: -1}}})
}

func (a *batchAnswer) sendError(code, message string) {
	a.failed = true
	if a.lane.status == txOpen {
		a.lane.status = txFailed
	}
	a.send(&pgproto3.ErrorResponse{Severity: "ERROR", Code: code, Message: message})
}

var (
	insertPattern = regexp.MustCompile(`(?i)^INSERT INTO kv .*VALUES \('([^']*)', '([^']*)'\)`)
	selectPattern = regexp.MustCompile(`(?i)^SELECT value FROM kv WHERE key = '([^']*)'`)
)

func (a *batchAnswer) execute(sql string, _ [][]byte, simple bool) {
	l, h := a.lane, a.lane.home
	sql = trimStatement(sql)
	st := classify(sql)
	if l.status == txFailed && st.Kind != kindRollback && st.Kind != kindCommit {
		a.sendError("25P02", "current transaction is aborted")
		return
	}
	switch {
	case st.Kind == kindBegin:
		l.status, l.inserted = txOpen, map[string]string{}
		a.sendTag("BEGIN")
	case st.Kind == kindCommit && l.status == txOpen:
		l.status, l.inserted = txIdle, nil
		a.sendTag("COMMIT")
	case st.Kind == kindRollback || st.Kind == kindCommit:
		l.rollback()
		a.sendTag("ROLLBACK")
	case st.Kind == kindSet || st.Kind == kindReset:
		a.sendTag("SET")
	case sql == "SELECT pg_sleep(60)":
		<-l.cancelled
		a.sendError("57014", "canceling statement due to user request")
	case insertPattern.MatchString(sql):
		match := insertPattern.FindStringSubmatch(sql)
		h.mu.Lock()
		defer h.mu.Unlock()
		if _, exists := h.rows[match[1]]; exists {
			a.sendError("23505", "duplicate key")
			return
		}
		h.rows[match[1]] = match[2]
		if l.inserted != nil {
			l.inserted[match[1]] = match[2]
		}
		l.wrote = true
		a.sendTag("INSERT 0 1")
	case selectPattern.MatchString(sql):
		if simple {
			a.describe(sql)
		}
		h.mu.Lock()
		defer h.mu.Unlock()
		if v, ok := h.rows[selectPattern.FindStringSubmatch(sql)[1]]; ok {
			a.send(&pgproto3.DataRow{Values: [][]byte{[]byte(v)}})
			a.sendTag("SELECT 1")
			return
		}
		a.sendTag("SELECT 0")
	default:
		a.sendError("42601", "syntax error at "+sql)
	}
}

func (a *batchAnswer) sendTag(t string) { a.send(&pgproto3.CommandComplete{CommandTag: []byte(t)}) }

func (l *fakeLane) rollback() {
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	for key := range l.inserted {
		delete(l.home.rows, key)
	}
	l.status, l.wrote, l.inserted = txIdle, false, nil
}
