// Package mark encodes and decodes marks, the session consistency tokens that callers
// carry between sessions. A topology.Mark holds a database, a term and a log position;
// its text form is authenticated with the fleet's key (HMAC-SHA256), so that a caller
// can neither forge nor alter it. The package does not compare marks with servers.
package mark

import (
	"crypto/hmac"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"

	"egretroad/internal/topology"
)

// Limits and layout of the text form.
const (
	// MaxTextBytes is the longest text that Decode accepts.
	MaxTextBytes = 256

	version     = "1"
	macBytes    = 16
	headerBytes = 16 // term and position, 8 bytes each
)

// InvalidError reports a text that is not a valid mark of this fleet and database.
type InvalidError struct{ Reason string }

func (e *InvalidError) Error() string { return fmt.Sprintf("invalid mark: %s", e.Reason) }

// Encode returns the text form of m: a version, the encoded mark, and its authentication
// code under key. The zero mark is encoded as the empty string.
func Encode(key []byte, m topology.Mark) string {
	if m.IsZero() {
		return ""
	}
	body := make([]byte, 0, headerBytes+len(m.Database))
	body = binary.BigEndian.AppendUint64(body, m.Term)
	body = binary.BigEndian.AppendUint64(body, m.Position)
	body = append(body, m.Database...)
	encoding := base64.RawURLEncoding
	return version + "." + encoding.EncodeToString(body) + "." + encoding.EncodeToString(authCode(key, body))
}

// Decode verifies the text form and returns its mark, which must belong to the given
// database. The empty string is the zero mark. Errors are *InvalidError.
func Decode(key []byte, text, database string) (topology.Mark, error) {
	if text == "" {
		return topology.Mark{}, nil
	}
	if len(text) > MaxTextBytes {
		return topology.Mark{}, &InvalidError{Reason: fmt.Sprintf("longer than %d bytes", MaxTextBytes)}
	}
	parts := strings.Split(text, ".")
	if len(parts) != 3 || parts[0] != version {
		return topology.Mark{}, &InvalidError{Reason: "not of the form 1.POSITION.CODE"}
	}
	body, errBody := base64.RawURLEncoding.Strict().DecodeString(parts[1])
	mac, errMAC := base64.RawURLEncoding.Strict().DecodeString(parts[2])
	if errBody != nil || errMAC != nil || len(body) <= headerBytes {
		return topology.Mark{}, &InvalidError{Reason: "not base64 of the right length"}
	}
	if subtle.ConstantTimeCompare(mac, authCode(key, body)) != 1 {
		return topology.Mark{}, &InvalidError{Reason: "not issued by this fleet"}
	}
	m := topology.Mark{
		Term:     binary.BigEndian.Uint64(body),
		Position: binary.BigEndian.Uint64(body[8:]),
		Database: string(body[headerBytes:]),
	}
	if m.Database != database {
		return topology.Mark{}, &InvalidError{Reason: fmt.Sprintf("of database %q, not %q", m.Database, database)}
	}
	return m, nil
}

// authCode returns the truncated HMAC-SHA256 of body under key.
func authCode(key, body []byte) []byte {
	h := hmac.New(sha256.New, key)
	h.Write([]byte("egretroad.mark\x00"))
	h.Write(body)
	return h.Sum(nil)[:macBytes]
}
