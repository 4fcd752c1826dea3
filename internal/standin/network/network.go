// Package network models cuts between the data centres of a test deployment on
// loopback. Each data centre has the addresses 127.0.<n>.0/24; the platform has
// its own number. Stand-ins ask it whether two addresses can reach each other.
package network

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
)

// PlatformNumber is the third octet of the platform's addresses.
const PlatformNumber = 250

// Network says which data centres are cut off. Safe for concurrent use.
type Network struct {
	anyCut  atomic.Bool // false while nothing is cut, to keep Blocked cheap
	mu      sync.Mutex
	numbers map[string]int
	cut     map[int]bool
	pairs   map[[2]int]bool
	changed chan struct{}
}

// New returns a network of the given data centres, numbered from 1.
func New(dataCentres []string) *Network {
	n := &Network{numbers: map[string]int{}, cut: map[int]bool{}, pairs: map[[2]int]bool{}, changed: make(chan struct{})}
	for i, dc := range dataCentres {
		n.numbers[dc] = i + 1
	}
	return n
}

// UnknownDataCentreError reports a data centre that the deployment lacks.
type UnknownDataCentreError struct{ Name string }

func (e *UnknownDataCentreError) Error() string { return fmt.Sprintf("unknown data centre %q", e.Name) }

// VMAddr returns the address of entry VM i (from 0) of a data centre.
func (n *Network) VMAddr(dc string, i int) string {
	return fmt.Sprintf("127.0.%d.%d", n.numbers[dc], 1+i)
}

// ServerAddr returns the address of backend server i (from 0) of a data centre.
func (n *Network) ServerAddr(dc string, i int) string {
	return fmt.Sprintf("127.0.%d.%d", n.numbers[dc], 100+i)
}

// PlatformAddr returns the address of the platform.
func (n *Network) PlatformAddr() string { return fmt.Sprintf("127.0.%d.1", PlatformNumber) }

// Cut separates a data centre from all others and from the platform.
func (n *Network) Cut(dc string) error {
	return n.change(dc, func(number int) { n.cut[number] = true })
}

// CutPair separates two data centres from each other only.
func (n *Network) CutPair(a, b string) error {
	return n.change(a, func(x int) {
		y := n.numbers[b]
		n.pairs[[2]int{x, y}], n.pairs[[2]int{y, x}] = true, true
	})
}

// CutPlatform separates a data centre from the platform only.
func (n *Network) CutPlatform(dc string) error {
	return n.change(dc, func(x int) {
		n.pairs[[2]int{x, PlatformNumber}], n.pairs[[2]int{PlatformNumber, x}] = true, true
	})
}

// Heal ends every cut.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut, n.pairs = map[int]bool{}, map[[2]int]bool{}
	n.anyCut.Store(false)
	n.wake()
}

// Blocked reports whether no packet passes between two addresses now.
// Addresses outside the deployment's data centres reach everything.
func (n *Network) Blocked(a, b netip.Addr) bool {
	if !n.anyCut.Load() {
		return false
	}
	x, y := number(a), number(b)
	if x == 0 || y == 0 || x == y {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.cut[x] || n.cut[y] || n.pairs[[2]int{x, y}]
}

// SameDataCentre reports whether two addresses are of one data centre.
func SameDataCentre(a, b netip.Addr) bool { return number(a) != 0 && number(a) == number(b) }

// Changed returns a channel that is closed at the next cut or heal.
func (n *Network) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Network) change(dc string, f func(number int)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, ok := n.numbers[dc]
	if !ok {
		return &UnknownDataCentreError{Name: dc}
	}
	f(x)
	n.anyCut.Store(true)
	n.wake()
	return nil
}

func (n *Network) wake() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// number returns the data centre number of an address, or 0.
func number(a netip.Addr) int {
	a = a.Unmap()
	if !a.Is4() {
		return 0
	}
	b := a.As4()
	if b[0] != 127 || b[1] != 0 {
		return 0
	}
	return int(b[2])
}
