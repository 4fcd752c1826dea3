package gateway

import (
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

// extended serves a message of the extended protocol. Messages for a server are
// collected; a message that the proxy answers itself first sends those on, so
// that answers keep their order. An error skips messages until Sync.
func (s *session) extended(msg pgproto3.FrontendMessage) error {
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
		return s.flushRequest()
	}
	return &callerError{Code: codeProtocol, Message: fmt.Sprintf("protocol error: unexpected message %T", msg)}
}

func (s *session) parse(m *pgproto3.Parse) error {
	if old := s.named[m.Name]; m.Name != "" && old != nil && old.confirmed && old.SQL != m.Query {
		return &callerError{Code: codeDuplicate, Message: fmt.Sprintf("prepared statement %.80q already exists", m.Name)}
	}
	p := newPrepared(m.Query, m.ParameterOIDs)
	if err := s.checkAborted(p.statement); err != nil {
		return err
	}
	if p.Kind == kindRefused {
		return errUnsupported(p.Refuse)
	}
	if err := s.keepStatement(m.Name, p); err != nil {
		return err
	}
	if p.local() {
		return s.localStep(&pgproto3.ParseComplete{})
	}
	name := p.wire.Name
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

// keepStatement remembers a statement under the caller's name.
func (s *session) keepStatement(name string, p *prepared) error {
	if name == "" {
		s.unnamed = p
		return nil
	}
	if s.named == nil {
		s.named = map[string]*prepared{}
	}
	if _, exists := s.named[name]; !exists && len(s.named) >= s.gateway.options.MaxStatements {
		return &callerError{
			Code: codeLimit, Message: fmt.Sprintf("the session has %d prepared statements, as many as it may", len(s.named)),
			Hint: "Close statements that are not used, or lower the client library's statement cache.",
		}
	}
	s.named[strings.Clone(name)] = p
	return nil
}

func (s *session) lookup(name string) (*prepared, error) {
	p := s.unnamed
	if name != "" {
		p = s.named[name]
	}
	if p == nil {
		return nil, &callerError{Code: codeNoStatement, Message: fmt.Sprintf("prepared statement %.80q does not exist", name)}
	}
	return p, nil
}

func (s *session) bind(m *pgproto3.Bind) error {
	p, err := s.lookup(m.PreparedStatement)
	if err != nil {
		return err
	}
	if err := s.checkAborted(p.statement); err != nil {
		return err
	}
	s.setPortal(m.DestinationPortal, p)
	if p.local() {
		return s.localStep(&pgproto3.BindComplete{})
	}
	m.PreparedStatement = s.batch.use(p)
	return s.batch.add(m)
}

func (s *session) setPortal(name string, p *prepared) {
	if name == "" {
		s.portal = p
		return
	}
	if s.portals == nil {
		s.portals = map[string]*prepared{}
	}
	s.portals[strings.Clone(name)] = p
}

func (s *session) findPortal(name string) *prepared {
	if name == "" {
		return s.portal
	}
	return s.portals[name]
}

func (s *session) describeObject(m *pgproto3.Describe) error {
	if m.ObjectType == 'S' {
		p, err := s.lookup(m.Name)
		if err != nil {
			return err
		}
		if p.local() {
			return s.localStep(&pgproto3.ParameterDescription{}, p.localRows())
		}
		return s.batch.add(&pgproto3.Describe{ObjectType: 'S', Name: s.batch.use(p)})
	}
	if p := s.findPortal(m.Name); p != nil && p.local() {
		return s.localStep(p.localRows())
	}
	return s.batch.add(m)
}

func (s *session) executePortal(m *pgproto3.Execute) error {
	p := s.findPortal(m.Portal)
	if p == nil {
		// A cursor that SQL declared, or an error that the server reports.
		return s.batch.add(m)
	}
	if p.local() {
		if err := s.sendOn(); err != nil {
			return err
		}
		return s.runLocal(p.statement)
	}
	if err := s.checkPart(p.statement, false); err != nil {
		return err
	}
	s.batch.executed = append(s.batch.executed, p.statement)
	return s.batch.add(m)
}

func (s *session) closeObject(m *pgproto3.Close) error {
	if m.ObjectType == 'S' {
		if m.Name == "" {
			s.unnamed = nil
		}
		delete(s.named, m.Name)
		return s.localStep(&pgproto3.CloseComplete{})
	}
	p := s.findPortal(m.Name)
	if (p == nil || p.local()) && s.batch.empty() && s.lane == nil {
		return s.localStep(&pgproto3.CloseComplete{})
	}
	if m.Name != "" {
		delete(s.portals, m.Name)
	}
	return s.batch.add(m)
}

// localStep sends collected messages on, then answers with msgs.
func (s *session) localStep(msgs ...pgproto3.BackendMessage) error {
	if err := s.sendOn(); err != nil {
		return err
	}
	for _, m := range msgs {
		s.wire.send(m)
	}
	return nil
}

// sendOn sends collected messages to the server without ending the request.
func (s *session) sendOn() error {
	if s.batch.empty() {
		return nil
	}
	return s.runBatch(s.tx == txIdle)
}

// flushRequest serves Flush: the caller wants the answers so far.
func (s *session) flushRequest() error {
	if err := s.sendOn(); err != nil {
		return err
	}
	if err := s.wire.flush(); err != nil {
		return err
	}
	return nil
}

// sync ends a request of the extended protocol.
func (s *session) sync() error {
	if !s.skipping {
		if err := s.runSync(); err != nil {
			s.fail(err)
		}
	} else if s.lane != nil {
		s.syncFailed()
	}
	s.batch.reset()
	if s.tx == txIdle {
		s.forgetPortals()
	}
	return s.ready()
}

// runSync sends what is collected, or ends what an earlier Flush left open.
func (s *session) runSync() error {
	if s.batch.empty() && !s.laneOpen {
		return nil
	}
	return s.runBatch(false)
}

// syncFailed ends a request that a server failed before its Sync.
func (s *session) syncFailed() {
	if !s.laneOpen {
		return
	}
	if err := s.runBatch(false); err != nil {
		// The error of the request was sent already.
		s.closeLane()
		if s.tx == txOpen {
			s.tx = txFailed
		}
	}
}

func (s *session) forgetPortals() {
	s.portal = nil
	if len(s.portals) > 0 {
		s.portals = nil
	}
}
