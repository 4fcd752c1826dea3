package gateway

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// handleExtended processes a message of the extended query protocol. Messages for a
// server are collected in the batch. Before the proxy responds to a message itself,
// it sends the batch, so that responses keep their order. After an error, messages are
// ignored until Sync.
func (s *session) handleExtended(msg pgproto3.FrontendMessage) error {
	switch m := msg.(type) {
	case *pgproto3.Parse:
		return s.parse(m)
	case *pgproto3.Bind:
		return s.bind(m)
	case *pgproto3.Describe:
		return s.describeObject(m)
	case *pgproto3.Execute:
		return s.executePortal(m)
	case *pgproto3.Close:
		return s.closeObject(m)
	case *pgproto3.Flush:
		return s.handleFlush()
	}
	return &callerError{Code: codeProtocol, Message: fmt.Sprintf("protocol error: unexpected message %T", msg)}
}

func (s *session) parse(m *pgproto3.Parse) error {
	if old := s.namedStatements[m.Name]; m.Name != "" && old != nil && old.accepted && old.SQL != m.Query {
		return &callerError{Code: codeDuplicateStatement, Message: fmt.Sprintf("prepared statement %.80q already exists", m.Name)}
	}
	p := newPreparedStatement(m.Query, m.ParameterOIDs)
	if err := s.checkAborted(p.statement); err != nil {
		return err
	}
	if p.Kind == kindUnsupported {
		return unsupportedError(p.Unsupported)
	}
	if err := s.storeStatement(m.Name, p); err != nil {
		return err
	}
	if p.isLocal() {
		return s.respondLocally(&pgproto3.ParseComplete{})
	}
	name := p.serverStatement.Name
	if m.Name == "" {
		name = ""
	}
	if err := s.batch.add(&pgproto3.Parse{Name: name, Query: p.SQL, ParameterOIDs: m.ParameterOIDs}); err != nil {
		return err
	}
	s.batch.parsed = append(s.batch.parsed, p)
	if name == "" {
		s.batch.unnamed = p
	}
	return nil
}

// storeStatement stores a prepared statement under the caller's name for it.
func (s *session) storeStatement(name string, p *preparedStatement) error {
	if name == "" {
		s.unnamedStatement = p
		return nil
	}
	if s.namedStatements == nil {
		s.namedStatements = map[string]*preparedStatement{}
	}
	if _, exists := s.namedStatements[name]; !exists && len(s.namedStatements) >= s.gateway.options.MaxStatements {
		return &callerError{
			Code: codeLimitExceeded, Message: fmt.Sprintf("the session has %d prepared statements, as many as it may", len(s.namedStatements)),
			Hint: "Close statements that are not used, or lower the client library's statement cache.",
		}
	}
	s.namedStatements[strings.Clone(name)] = p
	return nil
}

func (s *session) findStatement(name string) (*preparedStatement, error) {
	p := s.unnamedStatement
	if name != "" {
		p = s.namedStatements[name]
	}
	if p == nil {
		return nil, &callerError{Code: codeUnknownStatement, Message: fmt.Sprintf("prepared statement %.80q does not exist", name)}
	}
	return p, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, err := s.findStatement(m.PreparedStatement)
	if err != nil {
		return err
	}
	if err := s.checkAborted(p.statement); err != nil {
		return err
	}
	s.setPortal(m.DestinationPortal, p)
	if p.isLocal() {
		return s.respondLocally(&pgproto3.BindComplete{})
	}
	m.PreparedStatement = s.batch.statementName(p)
	return s.batch.add(m)
}

func (s *session) setPortal(name string, p *preparedStatement) {
	if name == "" {
		s.unnamedPortal = p
		return
	}
	if s.namedPortals == nil {
		s.namedPortals = map[string]*preparedStatement{}
	}
	s.namedPortals[strings.Clone(name)] = p
}

func (s *session) findPortal(name string) *preparedStatement {
	if name == "" {
		return s.unnamedPortal
	}
	return s.namedPortals[name]
}

func (s *session) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, err := s.findStatement(m.Name)
		if err != nil {
			return err
		}
		if p.isLocal() {
			return s.respondLocally(&pgproto3.ParameterDescription{}, p.localRowDescription())
		}
		return s.batch.add(&pgproto3.Describe{ObjectType: 'S', Name: s.batch.statementName(p)})
	}
	if p := s.findPortal(m.Name); p != nil && p.isLocal() {
		return s.respondLocally(p.localRowDescription())
	}
	return s.batch.add(m)
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.findPortal(m.Portal)
	if p == nil {
		// Either a cursor declared by SQL, or a name that the server will reject.
		return s.batch.add(m)
	}
	if p.isLocal() {
		if err := s.flushBatch(); err != nil {
			return err
		}
		return s.runLocal(p.statement)
	}
	if err := s.checkStatement(p.statement, false); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, p.statement)
	return s.batch.add(m)
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		if m.Name == "" {
			s.unnamedStatement = nil
		}
		delete(s.namedStatements, m.Name)
		return s.respondLocally(&pgproto3.CloseComplete{})
	}
	p := s.findPortal(m.Name)
	if (p == nil || p.isLocal()) && s.batch.empty() && s.lane == nil {
		return s.respondLocally(&pgproto3.CloseComplete{})
	}
	if m.Name != "" {
		delete(s.namedPortals, m.Name)
	}
	return s.batch.add(m)
}

// respondLocally sends the collected messages to the server, then msgs to the caller.
func (s *session) respondLocally(msgs ...pgproto3.BackendMessage) error {
	if err := s.flushBatch(); err != nil {
		return err
	}
	for _, m := range msgs {
		s.conn.send(m)
	}
	return nil
}

// flushBatch sends the collected messages to the server without ending the request.
func (s *session) flushBatch() error {
	if s.batch.empty() {
		return nil
	}
	return s.runExtendedBatch(s.txStatus == txIdle)
}

// handleFlush sends the responses so far to the caller.
func (s *session) handleFlush() error {
	if err := s.flushBatch(); err != nil {
		return err
	}
	if err := s.conn.flush(); err != nil {
		return err
	}
	return nil
}

// handleSync ends a request of the extended query protocol.
func (s *session) handleSync() error {
	if !s.skipUntilSync {
		if err := s.endExtendedRequest(); err != nil {
			s.failRequest(err)
		}
	} else if s.lane != nil {
		s.syncAfterError()
	}
	s.batch.reset()
	if s.txStatus == txIdle {
		s.clearPortals()
	}
	return s.sendReady()
}

// endExtendedRequest sends the collected messages with a Sync. It also sends a Sync
// if the lane still awaits one after an earlier Flush.
func (s *session) endExtendedRequest() error {
	if s.batch.empty() && !s.awaitingSync {
		return nil
	}
	return s.runExtendedBatch(false)
}

// syncAfterError sends the Sync of a request that failed on the server after a Flush.
func (s *session) syncAfterError() {
	if !s.awaitingSync {
		return
	}
	if err := s.runExtendedBatch(false); err != nil {
		// The caller has already received the error of the request.
		s.closeLane()
		if s.txStatus == txOpen {
			s.txStatus = txFailed
		}
	}
}

func (s *session) clearPortals() {
	s.unnamedPortal = nil
	if len(s.namedPortals) > 0 {
		s.namedPortals = nil
	}
}
