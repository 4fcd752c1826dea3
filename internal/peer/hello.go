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

// hello is the handshake message, sent as the body of a frame. The dialer sends one
// with its nonce, the acceptor replies with its nonce and proof, and the dialer sends a
// second one with its own proof.
type hello struct {
	Version int
	VM      string
	Nonce   []byte
	Proof   []byte // HMAC of both nonces and VM IDs, keyed with the fleet key
}

// Roles are part of the proof, so that one side's proof cannot be reflected as the other's.
const (
	roleDialer   = "dialer"
	roleAcceptor = "acceptor"
)

// VersionError reports a peer with a different version of the protocol.
type VersionError struct{ Own, Peer int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("peer speaks protocol version %d, this proxy speaks %d; replace the older proxy", e.Peer, e.Own)
}

// AuthError reports a peer whose proof does not match the fleet key.
type AuthError struct{ Remote string }

func (e *AuthError) Error() string {
	return fmt.Sprintf("peer at %s does not prove the fleet key; check peers.fleetKey on both VMs", e.Remote)
}

// computeProof returns the proof of the side with the given role. Each part is prefixed
// with its length, so that the input of the HMAC is unambiguous.
func computeProof(key []byte, role string, dialer, acceptor hello) []byte {
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

// dialHello runs the dialer's side of the handshake: it verifies the acceptor's proof
// and sends its own.
func dialHello(conn net.Conn, r *bufio.Reader, vm string, key []byte, timeout time.Duration) error {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return err
	}
	local := newHello(vm)
	if err := sendHello(conn, local); err != nil {
		return err
	}
	remote, err := receiveHello(r)
	if err != nil {
		return err
	}
	if !hmac.Equal(remote.Proof, computeProof(key, roleAcceptor, local, remote)) {
		return &AuthError{Remote: conn.RemoteAddr().String()}
	}
	local.Proof = computeProof(key, roleDialer, local, remote)
	if err := sendHello(conn, local); err != nil {
		return err
	}
	return conn.SetDeadline(time.Time{})
}

// acceptHello runs the acceptor's side of the handshake and returns the dialer's VM ID
// once the dialer's proof is verified.
func acceptHello(conn net.Conn, r *bufio.Reader, vm string, key []byte, timeout time.Duration) (string, error) {
	if err := conn.SetDeadline(time.Now().Add(timeout)); err != nil {
		return "", err
	}
	remote, err := receiveHello(r)
	if err != nil {
		return "", err
	}
	local := newHello(vm)
	local.Proof = computeProof(key, roleAcceptor, remote, local)
	if err := sendHello(conn, local); err != nil {
		return "", err
	}
	confirmation, err := receiveHello(r)
	if err != nil {
		return "", err
	}
	if !hmac.Equal(confirmation.Proof, computeProof(key, roleDialer, remote, local)) {
		return "", &AuthError{Remote: conn.RemoteAddr().String()}
	}
	return remote.VM, conn.SetDeadline(time.Time{})
}
