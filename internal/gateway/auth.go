package gateway

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/xdg-go/scram"
)

const (
	mechanism = "SCRAM-SHA-256"
	saltBytes = 16
)

// authenticator authenticates users by SCRAM-SHA-256. If no users are configured,
// it accepts any user without a password.
type authenticator struct {
	credentials map[string]scram.StoredCredentials
	decoyKey    []byte
	iterations  int
}

// UserError reports a user whose password is not valid for SCRAM.
type UserError struct {
	User  string
	Cause error
}

func (e *UserError) Error() string { return fmt.Sprintf("password of user %q: %v", e.User, e.Cause) }

// Unwrap returns the cause.
func (e *UserError) Unwrap() error { return e.Cause }

func newAuthenticator(o Options) *authenticator {
	a := &authenticator{
		credentials: make(map[string]scram.StoredCredentials, len(o.Users)),
		decoyKey:    make([]byte, saltBytes),
		iterations:  o.SCRAMIterations,
	}
	_, _ = rand.Read(a.decoyKey)
	for user, password := range o.Users {
		if c, err := a.newCredentials(user, password); err == nil {
			a.credentials[user] = c
		}
	}
	return a
}

// CheckUsers checks that all passwords are valid for SCRAM. Errors are *UserError.
func CheckUsers(users map[string]string) error {
	for user, password := range users {
		if _, err := scram.SHA256.NewClient(user, password, ""); err != nil {
			return &UserError{User: user, Cause: err}
		}
	}
	return nil
}

func (a *authenticator) newCredentials(user, password string) (scram.StoredCredentials, error) {
	salt := make([]byte, saltBytes)
	_, _ = rand.Read(salt)
	client, err := scram.SHA256.NewClient(user, password, "")
	if err != nil {
		return scram.StoredCredentials{}, &UserError{User: user, Cause: err}
	}
	return client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: a.iterations})
}

// credentialsFor returns a user's credentials. An unknown user gets credentials
// that match no password, so that the exchange does not reveal which users exist.
func (a *authenticator) credentialsFor(user string) scram.StoredCredentials {
	if c, ok := a.credentials[user]; ok {
		return c
	}
	derive := func(label string) []byte {
		h := hmac.New(sha256.New, a.decoyKey)
		h.Write([]byte(label + user))
		return h.Sum(nil)
	}
	return scram.StoredCredentials{
		KeyFactors: scram.KeyFactors{Salt: string(derive("salt")[:saltBytes]), Iters: a.iterations},
		StoredKey:  derive("stored"),
		ServerKey:  derive("server"),
	}
}

// authenticate runs the SCRAM exchange for a user. Errors are *callerError or
// *connectionError.
func (a *authenticator) authenticate(w *wireConn, user string) error {
	if len(a.credentials) == 0 {
		return nil
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) { return a.credentialsFor(user), nil })
	if err != nil {
		return authenticationFailedError(user)
	}
	conversation := server.NewConversation()
	clientFirst, err := a.receiveInitialResponse(w)
	if err != nil {
		return err
	}
	reply, err := conversation.Step(string(clientFirst))
	if err != nil {
		return authenticationFailedError(user)
	}
	clientFinal, err := a.receiveFinalResponse(w, reply)
	if err != nil {
		return err
	}
	reply, err = conversation.Step(string(clientFinal))
	if err != nil || !conversation.Valid() {
		return authenticationFailedError(user)
	}
	w.send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

func (a *authenticator) receiveInitialResponse(w *wireConn) ([]byte, error) {
	w.send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}})
	msg, err := w.receiveAuthResponse(pgproto3.AuthTypeSASL)
	if err != nil {
		return nil, err
	}
	initial, ok := msg.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return nil, protocolError(&unexpectedMessageError{Want: "a " + mechanism + " response"})
	}
	return initial.Data, nil
}

func (a *authenticator) receiveFinalResponse(w *wireConn, challenge string) ([]byte, error) {
	w.send(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)})
	msg, err := w.receiveAuthResponse(pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return nil, err
	}
	response, ok := msg.(*pgproto3.SASLResponse)
	if !ok {
		return nil, protocolError(&unexpectedMessageError{Want: "a SASL response"})
	}
	return response.Data, nil
}

// receiveAuthResponse flushes pending output and reads a response of the given
// authentication type.
func (w *wireConn) receiveAuthResponse(authType uint32) (pgproto3.FrontendMessage, error) {
	if err := w.flush(); err != nil {
		return nil, err
	}
	w.acquireBackend()
	if err := w.backend.SetAuthType(authType); err != nil {
		return nil, err
	}
	msg, err := w.backend.Receive()
	if err != nil && !isConnectionError(err) {
		return nil, protocolError(err)
	}
	return msg, err
}

// unexpectedMessageError reports a message that is invalid in the current state of
// the connection.
type unexpectedMessageError struct{ Want string }

func (e *unexpectedMessageError) Error() string { return "expected " + e.Want }

func authenticationFailedError(user string) error {
	return &callerError{
		Code:    codeBadPassword,
		Message: fmt.Sprintf("password authentication failed for user %q", user),
		Fatal:   true,
	}
}
