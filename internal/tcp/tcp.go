// Package tcp sets options of TCP connections that package net does not offer.
package tcp

import (
	"errors"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// UnackedTimeout returns a function for net.Dialer.Control that lets the kernel close
// a connection whose sent bytes stay unacknowledged for that long, in milliseconds at
// the finest.
func UnackedTimeout(limit time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		var setErr error
		err := c.Control(func(fd uintptr) {
			setErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(limit.Milliseconds()))
		})
		return errors.Join(err, setErr)
	}
}
