// Package network models network partitions (cuts) between the data centres of a test
// deployment on loopback. Data centre number n has the addresses 127.0.<n>.0/24, and
// the platform a number of its own. The package filters no packets: the stand-ins call
// Network.Blocked and hold back traffic themselves.
package network

import (
	"fmt"
	"net/netip"
	"sync"
	"sync/atomic"
)

// PlatformNumber is the third octet of the platform's addresses.
const PlatformNumber = 250

// Network holds the current cuts between data centres. Safe for concurrent use.
type Network struct {
	anyCut   atomic.Bool // false while there are no cuts, to keep Blocked cheap
	mu       sync.Mutex
	numbers  map[string]int
	isolated map[int]bool
	cutPairs map[[2]int]bool
	changed  chan struct{}
}

// New returns a network of the given data centres, numbered from 1.
func New(dataCentres []string) *Network {
	n := &Network{numbers: map[string]int{}, isolated: map[int]bool{}, cutPairs: map[[2]int]bool{}, changed: make(chan struct{})}
	for i, dc := range dataCentres {
		n.numbers[dc] = i + 1
	}
	return n
}

// UnknownDataCentreError reports a data centre that does not exist in the deployment.
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

// Cut partitions a data centre from all others and from the platform.
func (n *Network) Cut(dc string) error {
	return n.applyCut(dc, func(number int) { n.isolated[number] = true })
}

// CutPair partitions two data centres from each other only.
func (n *Network) CutPair(a, b string) error {
	return n.applyCut(a, func(x int) {
		y := n.numbers[b]
		n.cutPairs[[2]int{x, y}], n.cutPairs[[2]int{y, x}] = true, true
	})
}

// CutPlatform partitions a data centre from the platform only.
func (n *Network) CutPlatform(dc string) error {
	return n.applyCut(dc, func(x int) {
		n.cutPairs[[2]int{x, PlatformNumber}], n.cutPairs[[2]int{PlatformNumber, x}] = true, true
	})
}

// Heal removes all cuts.
func (n *Network) Heal() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated, n.cutPairs = map[int]bool{}, map[[2]int]bool{}
	n.anyCut.Store(false)
	n.notify()
}

// Blocked reports whether a cut currently blocks traffic between two addresses.
// Addresses outside the deployment are never blocked.
func (n *Network) Blocked(a, b netip.Addr) bool {
	if !n.anyCut.Load() {
		return false
	}
	x, y := dcNumber(a), dcNumber(b)
	if x == 0 || y == 0 || x == y {
		return false
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.isolated[x] || n.isolated[y] || n.cutPairs[[2]int{x, y}]
}

// SameDataCentre reports whether two addresses belong to the same data centre.
func SameDataCentre(a, b netip.Addr) bool { return dcNumber(a) != 0 && dcNumber(a) == dcNumber(b) }

// Changed returns a channel that is closed by the next cut or Heal.
func (n *Network) Changed() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.changed
}

func (n *Network) applyCut(dc string, cut func(number int)) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	x, ok := n.numbers[dc]
	if !ok {
		return &UnknownDataCentreError{Name: dc}
	}
	cut(x)
	n.anyCut.Store(true)
	n.notify()
	return nil
}

func (n *Network) notify() {
	close(n.changed)
	n.changed = make(chan struct{})
}

// dcNumber returns the data centre number of an address, or 0 if the address
// is outside the deployment.
func dcNumber(a netip.Addr) int {
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
