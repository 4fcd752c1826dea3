package peer

import (
	"bufio"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"fmt"
	"net"
	"time"
)

const nonceBytes = 16

// hello is the first message of each side, sent as the body of a frame.
type hello struct {
	Version int
	VM      string
	Nonce   []byte
	Proof   []byte // HMAC of both nonces and names under the fleet key
}

// Roles in proofs, so that a proof of one side is not one of the other.
const (
	proofDialer   = "dialer"
	proofAcceptor = "acceptor"
)

// VersionError reports a peer that speaks another version of the protocol.
type VersionError struct{ Own, Peer int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this proxy speaks %d; replace the older proxy", e.Peer, e.Own)
}

// AuthError reports a peer that does not hold the fleet key.
type AuthError struct{ Remote string }

func (e *AuthError) Error() string {
	return fmt.Sprintf("peer at %s does not prove the fleet key; check peers.fleetKey on both VMs", e.Remote)
}

// proof computes the proof of one side.
func proof(key []byte, role string, dialer, acceptor hello) []byte {
	mac := hmac.New(sha256.New, key)
	for _, part := range [][]byte{[]byte(role), []byte(dialer.VM), dialer.Nonce, []byte(acceptor.VM), acceptor.Nonce} {
		_, _ = fmt.Fprintf(mac, "%d:", len(part))
		mac.Write(part)
	}
	return mac.Sum(nil)
}

func newHello(vm string) hello {
	h := hello{Version: ProtocolVersion, VM: vm, Nonce: make([]byte, nonceBytes)}
	_, _ = rand.Read(h.Nonce) // crypto/rand.Read never returns an error
	return h
}

func sendHello(conn net.Conn, h hello) error {
	body, err := encode(h)
	if err != nil {
		return err
	}
	buf, err := appendFrame(nil, frame{Type: frameCall, Body: body})
	if err != nil {
		return err
	}
	_, err = conn.Write(buf)
	return err
}

func receiveHello(r *bufio.Reader) (hello, error) {
	f, err := readFrame(r, maxHelloBytes)
	if err != nil {
		return hello{}, err
	}
	var h hello
	if err := decode(f.Body, &h); err != nil {
		return hello{}, err
	}
	if h.Version != ProtocolVersion {
		return hello{}, &VersionError{Own: ProtocolVersion, Peer: h.Version}
	}
	if len(h.Nonce) != nonceBytes {
		return hello{}, &FrameError{Detail: fmt.Sprintf("nonce of %d bytes, want %d", len(h.Nonce), nonceBytes)}
	}
	return h, nil
}

// dialHello proves the key to an acceptor and checks the acceptor's proof.
func dialHello(conn net.Conn, r *bufio.Reader, vm string, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	own := newHello(vm)
	if err := sendHello(conn, own); err != nil {
		return err
	}
	theirs, err := receiveHello(r)
	if err != nil {
		return err
	}
	if !hmac.Equal(theirs.Proof, proof(key, proofAcceptor, own, theirs)) {
		return &AuthError{Remote: conn.RemoteAddr().String()}
	}
	own.Proof = proof(key, proofDialer, own, theirs)
	if err := sendHello(conn, own); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// acceptHello checks a dialer's proof and returns the dialer's VM ID.
func acceptHello(conn net.Conn, r *bufio.Reader, vm string, key []byte, timeout time.Duration) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	theirs, err := receiveHello(r)
	if err != nil {
		return "", err
	}
	own := newHello(vm)
	own.Proof = proof(key, proofAcceptor, theirs, own)
	if err := sendHello(conn, own); err != nil {
		return "", err
	}
	second, err := receiveHello(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(second.Proof, proof(key, proofDialer, theirs, own)) {
		return "", &AuthError{Remote: conn.RemoteAddr().String()}
	}
	return theirs.VM, conn.SetDeadline(time.Time{})
}
