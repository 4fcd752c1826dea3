// Package tcp sets TCP socket options that package net does not offer.
package tcp

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnackedTimeout returns a function for net.Dialer.Control that sets TCP_USER_TIMEOUT:
// the kernel closes the connection when sent data stays unacknowledged for limit. The
// resolution is one millisecond.
func UnackedTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}
