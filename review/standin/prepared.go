package main

import (
	"errors"
	"fmt"
	"math/bits"
	"math/rand"
	"time"

	"github.com/cespare/xxhash/v2"
)

// The multipliers of XXH64.
const (
	prime1 uint64 = 11400714785074694791
	prime2 uint64 = 14029467366897019727
)

// collidingShapes returns two different printable shapes of 64 bytes with the same XXH64.
// The first word of each 32 bytes goes into the same lane: a change of the first one is
// undone by a change of the second.
func collidingShapes() (string, string, error) {
	const alphabet = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"
	random := rand.New(rand.NewSource(1))
	first := []byte("select-seat-of-family-where-id-is-given-and-status-is-accepted--")
	inverse := prime2 // by Newton's method, modulo 2^64
	for range 6 {
		inverse *= 2 - prime2*inverse
	}
	initial := prime1
	initial += prime2 // the sum overflows, as in XXH64
	lane := func(word uint64) uint64 { return bits.RotateLeft64(initial+word*prime2, 31) * prime1 }
	before := lane(readWord(first))
	for range 50_000_000 {
		second := append([]byte(nil), first...)
		for i := range 8 {
			second[i] = alphabet[random.Intn(len(alphabet))]
		}
		word := readWord(first[32:]) + (before-lane(readWord(second)))*inverse
		printable := true
		for i := range 8 {
			b := byte(word >> (8 * i))
			second[32+i] = b
			printable = printable && b > ' ' && b < 0x7f
		}
		if printable && string(second) != string(first) {
			if xxhash.Sum64(first) != xxhash.Sum64(second) {
				return "", "", errors.New("the shapes don't collide")
			}
			return string(first), string(second), nil
		}
	}
	return "", "", errors.New("no colliding shapes found")
}

// readWord reads a little-endian word.
func readWord(b []byte) uint64 {
	var word uint64
	for i := range 8 {
		word |= uint64(b[i]) << (8 * i)
	}
	return word
}

// playPrepared lets two clients prepare statements of different shapes under the same name
// and execute them in turn.
func playPrepared(c *cluster, trouble bool) ([]string, error) {
	first, second, err := collidingShapes()
	if err != nil {
		return nil, err
	}
	if !trouble {
		second = second[:len(second)-1] + "x"
	}
	shapes := map[string]string{}
	var sessions []*client
	for range 2 {
		s, err := connect(c.vms[0].front(), hostPrimary)
		if err != nil {
			return nil, err
		}
		defer s.close()
		sessions = append(sessions, s)
	}
	do := func(n int, id, text string) {
		a, err := sessions[n].do(id, text, 3*time.Second)
		note("client %d: %s %q sent, answer %s, error %v", n, id, text, a, err)
	}
	for n, shape := range []string{first, second} {
		do(n, fmt.Sprintf("prepare-%d", n), "PARSE s1 WRITE "+shape)
	}
	for i := range 10 {
		for n, shape := range []string{first, second} {
			id := fmt.Sprintf("execute-%d-%d", n, i)
			shapes[id] = "WRITE " + shape
			do(n, id, fmt.Sprintf("EXECUTE s1 item-%d data-%d", n, i))
		}
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	var violations []string
	for _, r := range c.group.runs {
		note("server %s ran %s %q with shape %q", r.server, r.id, r.text, r.shape)
		if r.shape != shapes[r.id] {
			violations = append(violations, fmt.Sprintf("server %s ran %s with shape %q, its client had prepared %q", r.server, r.id, r.shape, shapes[r.id]))
		}
	}
	return violations, nil
}
