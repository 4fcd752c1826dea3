package gateway

import (
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"sort"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"egretroad/internal/catalogue"
	"egretroad/internal/mark"
)

// errCancelServed ends a connection that was opened for a cancel request.
var errCancelServed = &connectionError{Cause: io.EOF}

// startSession runs the startup phase of a connection: it negotiates encryption,
// authenticates the user and registers the session. Errors are *callerError or
// *connectionError.
func (g *Gateway) startSession(w *wireConn) (*session, error) {
	_ = w.netConn.SetReadDeadline(time.Now().Add(g.options.StartupTimeout))
	startup, err := g.negotiate(w)
	if err != nil {
		return nil, err
	}
	if g.draining.Load() {
		return nil, errNotAccepting
	}
	s, err := g.newSession(w, startup)
	if err != nil {
		return nil, err
	}
	// All messages after the startup message have a type byte.
	w.inStartup = false
	w.authenticating = true
	if err := g.auth.authenticate(w, s.user); err != nil {
		return nil, err
	}
	if err := s.checkWork(); err != nil {
		return nil, asFatal(err)
	}
	if err := g.register(s); err != nil {
		return nil, err
	}
	s.sendStartupResponse(startup.ProtocolVersion, startup.Parameters)
	if err := w.flush(); err != nil {
		g.unregister(s)
		return nil, err
	}
	w.authenticating = false
	w.backend = nil
	_ = w.netConn.SetReadDeadline(time.Time{})
	if g.draining.Load() {
		w.interruptRead()
	}
	return s, nil
}

// negotiate handles encryption and cancel requests and returns the startup message.
func (g *Gateway) negotiate(w *wireConn) (*pgproto3.StartupMessage, error) {
	tlsStarted := false
	for range 4 {
		w.acquireBackend()
		msg, err := w.backend.ReceiveStartupMessage()
		if err != nil {
			return nil, wrapStartupError(err)
		}
		switch m := msg.(type) {
		case *pgproto3.StartupMessage:
			return m, nil
		case *pgproto3.CancelRequest:
			if secret, ok := decodeSecret(m.SecretKey); ok {
				g.HandleCancel(m.ProcessID, secret)
			}
			return nil, errCancelServed
		case *pgproto3.GSSEncRequest:
			err = w.writeByte('N')
		case *pgproto3.SSLRequest:
			if g.options.TLS == nil || tlsStarted {
				err = w.writeByte('N')
				break
			}
			tlsStarted = true
			err = w.startTLS(g.options.TLS)
		}
		if err != nil {
			return nil, err
		}
	}
	return nil, protocolError(&unexpectedMessageError{Want: "a startup message"})
}

func wrapStartupError(err error) error {
	if isConnectionError(err) {
		return err
	}
	return protocolError(err)
}

func (w *wireConn) writeByte(b byte) error {
	_ = w.netConn.SetWriteDeadline(time.Now().Add(w.gateway.options.StartupTimeout))
	_, err := w.netConn.Write([]byte{b})
	return wrapConnectionError(err)
}

// startTLS accepts a TLS request. Plaintext bytes received before the handshake may
// have been injected by an attacker, so they end the connection.
func (w *wireConn) startTLS(config *tls.Config) error {
	if w.buffered() > 0 {
		return protocolError(&unexpectedMessageError{Want: "a TLS handshake after the TLS request"})
	}
	if err := w.writeByte('S'); err != nil {
		return err
	}
	conn := tls.Server(w.netConn, config)
	if err := conn.Handshake(); err != nil {
		return wrapConnectionError(err)
	}
	w.setConn(conn)
	return nil
}

// newSession creates a session from the startup parameters.
func (g *Gateway) newSession(w *wireConn, m *pgproto3.StartupMessage) (*session, error) {
	var secret [4]byte
	_, _ = rand.Read(secret[:])
	s := &session{gateway: g, conn: w, txStatus: txIdle, secret: binary.BigEndian.Uint32(secret[:])}
	s.user = strings.Clone(m.Parameters["user"])
	s.database = strings.Clone(m.Parameters["database"])
	if s.user == "" {
		return nil, &callerError{Code: codeInvalidAuth, Message: "no user name in the startup message", Fatal: true}
	}
	if s.database == "" {
		s.database = s.user
	}
	if _, ok := g.deps.Source.Snapshot().Groups[s.database]; !ok {
		return nil, &callerError{Code: codeUnknownDatabase, Message: fmt.Sprintf("database %q does not exist", s.database), Fatal: true}
	}
	names := make([]string, 0, len(m.Parameters))
	for name := range m.Parameters {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		if err := s.applyStartupParameter(name, m.Parameters[name]); err != nil {
			return nil, asFatal(err)
		}
	}
	return s, nil
}

// applyStartupParameter applies one parameter of the startup message.
func (s *session) applyStartupParameter(name, value string) error {
	lowerName := strings.ToLower(name)
	switch {
	case lowerName == "user", lowerName == "database", strings.HasPrefix(lowerName, "_pq_."):
		return nil
	case lowerName == "replication":
		if value == "" || value == "false" || value == "off" || value == "0" {
			return nil
		}
		return &callerError{Code: codeUnsupported, Message: "replication connections are not supported through egretroad", Hint: "Connect to the backend server."}
	case lowerName == "options":
		return s.applyStartupOptions(value)
	case isLocalSetting(lowerName):
		return s.setLocalSetting(lowerName, strings.Clone(value))
	case isDefaultValue(lowerName, value):
		return nil
	}
	name, ok := normalizeSettingName(name)
	if !ok {
		return &callerError{Code: codeUnknownSetting, Message: fmt.Sprintf("unrecognized configuration parameter %.80q", lowerName)}
	}
	if name == "client_encoding" {
		return unsupportedEncodingError(value)
	}
	s.settings = withSetting(s.settings, name, strings.Clone(value))
	return nil
}

func unsupportedEncodingError(value string) error {
	return &callerError{Code: codeUnsupported, Message: fmt.Sprintf("client_encoding %.40q is not supported through egretroad", value), Hint: "Use UTF8."}
}

// isDefaultValue reports whether a parameter that client libraries send at startup
// has the value that all server connections have by default.
func isDefaultValue(name, value string) bool {
	switch name {
	case "client_encoding":
		normalized := strings.ReplaceAll(strings.ToLower(value), "-", "")
		return normalized == "utf8" || normalized == "unicode" || normalized == "auto" || normalized == "" || normalized == "'utf8'"
	case "datestyle":
		normalized := strings.ReplaceAll(strings.ToLower(value), " ", "")
		return normalized == "iso" || normalized == "iso,mdy"
	case "extra_float_digits":
		// All values above zero select the shortest exact output format.
		return value == "1" || value == "2" || value == "3"
	}
	return false
}

// applyStartupOptions applies the "-c name=value" and "--name=value" arguments of
// the options parameter. A backslash escapes the next character.
func (s *session) applyStartupOptions(options string) error {
	words := splitOptions(options)
	for i := 0; i < len(words); i++ {
		word := words[i]
		switch {
		case word == "-c" && i+1 < len(words):
			i++
			word = words[i]
		case strings.HasPrefix(word, "-c"):
			word = word[2:]
		case strings.HasPrefix(word, "--"):
			word = word[2:]
		default:
			return &callerError{Code: codeInvalidValue, Message: fmt.Sprintf("unsupported word in options: %.80q", word), Hint: "Use options=-c name=value."}
		}
		name, value, ok := strings.Cut(word, "=")
		if !ok || strings.EqualFold(name, "options") {
			return &callerError{Code: codeInvalidValue, Message: fmt.Sprintf("invalid word in options: %.80q", word), Hint: "Use options=-c name=value."}
		}
		if err := s.applyStartupParameter(name, value); err != nil {
			return err
		}
	}
	return nil
}

func splitOptions(options string) []string {
	var words []string
	var word strings.Builder
	escaped, started := false, false
	for _, r := range options {
		switch {
		case escaped:
			word.WriteRune(r)
			escaped, started = false, true
		case r == '\\':
			escaped = true
		case r == ' ' || r == '\t' || r == '\n':
			if started {
				words = append(words, word.String())
				word.Reset()
				started = false
			}
		default:
			word.WriteRune(r)
			started = true
		}
	}
	if started {
		words = append(words, word.String())
	}
	return words
}

// sendStartupResponse completes the startup phase: it reports the authentication,
// the parameter values, the cancel key and ReadyForQuery.
func (s *session) sendStartupResponse(version uint32, parameters map[string]string) {
	s.negotiateVersion(version, parameters)
	s.conn.send(&pgproto3.AuthenticationOk{})
	for _, p := range [][2]string{
		{"server_version", s.gateway.options.ServerVersion},
		{"server_encoding", "UTF8"},
		{"client_encoding", "UTF8"},
		{"application_name", s.appName},
		{"DateStyle", "ISO, MDY"},
		{"IntervalStyle", "postgres"},
		{"TimeZone", "UTC"},
		{"integer_datetimes", "on"},
		{"standard_conforming_strings", "on"},
	} {
		s.conn.send(&pgproto3.ParameterStatus{Name: p[0], Value: s.reportedValue(p[0], p[1])})
	}
	s.conn.send(&pgproto3.BackendKeyData{ProcessID: s.pid, SecretKey: binary.BigEndian.AppendUint32(nil, s.secret)})
	s.conn.send(&pgproto3.ReadyForQuery{TxStatus: txIdle})
}

// negotiateVersion offers protocol 3.0 to callers that request a newer version or
// protocol options.
func (s *session) negotiateVersion(version uint32, parameters map[string]string) {
	var unknown []string
	for name := range parameters {
		if strings.HasPrefix(name, "_pq_.") {
			unknown = append(unknown, name)
		}
	}
	if version == pgproto3.ProtocolVersion30 && len(unknown) == 0 {
		return
	}
	sort.Strings(unknown)
	s.conn.send(&pgproto3.NegotiateProtocolVersion{UnrecognizedOptions: unknown})
}

// reportedValue returns the value that the caller set for a setting at startup, or
// else the given default.
func (s *session) reportedValue(name, value string) string {
	for _, set := range s.settings {
		if strings.EqualFold(set.Name, name) {
			return set.Value
		}
	}
	return value
}

// setLocalSetting changes a setting that the proxy manages itself.
func (s *session) setLocalSetting(name, value string) error {
	switch name {
	case settingApp:
		if len(value) > catalogue.MaxNameBytes {
			value = value[:catalogue.MaxNameBytes]
		}
		s.appName = value
		return nil
	case settingWork:
		s.work = value
		s.entryCatalogue = nil
		return nil
	case settingMark:
		m, err := mark.Decode(s.gateway.options.FleetKey, value, s.database)
		if err != nil {
			return &callerError{
				Code: codeInvalidValue, Message: err.Error(),
				Hint: "Pass a value that SHOW egretroad.mark returned on the same database, or leave it out.",
			}
		}
		s.advanceMark(m)
		return nil
	}
	return &callerError{
		Code: codeUnknownSetting, Message: fmt.Sprintf("unrecognized configuration parameter %.80q", name),
		Hint: "egretroad.work and egretroad.mark can be set.",
	}
}

// asFatal returns a copy of a *callerError that ends the connection. Other errors
// are returned unchanged.
func asFatal(err error) error {
	var callerErr *callerError
	if !errors.As(err, &callerErr) {
		return err
	}
	fatalErr := *callerErr
	fatalErr.Fatal = true
	return &fatalErr
}
