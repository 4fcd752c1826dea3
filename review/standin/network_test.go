//go:build review

package standin

import (
	"encoding/json"
	"io"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"egretroad/internal/standin/network"
	"egretroad/internal/standin/relay"
)

// fleetNetwork is the network between the VMs, and from them to the store, so that a case
// can cut it. Each VM has a relay in front of its address for other VMs. They get the
// relays' addresses with the list of VMs; the entries of the store are otherwise passed on
// as they were written.
type fleetNetwork struct {
	store    string // address of the store behind the network
	listener net.Listener
	cuts     *network.Network

	mu     sync.Mutex        // guards the fields below
	relays map[string]string // address of the relay, by VM
}

// platformAddr is the store's address in the model of the network.
var platformAddr = netip.MustParseAddr("127.0.250.1")

func newFleetNetwork(store string, dataCentres []string) (*fleetNetwork, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n := &fleetNetwork{store: store, listener: listener, cuts: network.New(dataCentres), relays: map[string]string{}}
	go func() { _ = http.Serve(listener, n) }()
	return n, nil
}

// add starts the relay of a VM.
func (n *fleetNetwork) add(vm, peerAddr string) error {
	target, err := netip.ParseAddrPort(peerAddr)
	if err != nil {
		return err
	}
	r, err := relay.Start("127.0.0.1:0", target, n.cuts, nil)
	if err != nil {
		return err
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.relays[vm] = r.Addr()
	return nil
}

// relayOf returns the address of a VM for other VMs.
func (n *fleetNetwork) relayOf(vm string) string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.relays[vm]
}

// ServeHTTP passes a call of a VM on to the store.
func (n *fleetNetwork) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	source, err := netip.ParseAddrPort(r.RemoteAddr)
	if err != nil || !n.awaitReachable(r, source.Addr()) {
		panic(http.ErrAbortHandler) // the connection ends without a response
	}
	forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+n.store+r.URL.RequestURI(), r.Body)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	forwarded.Header.Set("Content-Type", r.Header.Get("Content-Type"))
	response, err := http.DefaultClient.Do(forwarded)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil || !n.awaitReachable(r, source.Addr()) {
		panic(http.ErrAbortHandler)
	}
	if r.Method == http.MethodGet && r.URL.Path == "/objects/egretroad-vms" {
		body = n.withRelays(body)
	}
	maps.Copy(w.Header(), http.Header{"Content-Type": response.Header["Content-Type"]})
	w.WriteHeader(response.StatusCode)
	_, _ = w.Write(body)
}

// awaitReachable waits until no cut separates a VM from the store. It reports false if the
// VM gives up first.
func (n *fleetNetwork) awaitReachable(r *http.Request, source netip.Addr) bool {
	for n.cuts.Blocked(source, platformAddr) {
		select {
		case <-r.Context().Done():
			return false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return true
}

// withRelays replaces the addresses of the VMs in a list by those of their relays. A VM gets
// its own one as well: VMs pass the list on to each other.
func (n *fleetNetwork) withRelays(body []byte) []byte {
	var list struct {
		Items []struct {
			Meta json.RawMessage `json:"meta"`
			Spec map[string]any  `json:"spec"`
		} `json:"items"`
		More     bool   `json:"has-more"`
		Revision uint64 `json:"store-revision"`
	}
	if json.Unmarshal(body, &list) != nil {
		return body
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, item := range list.Items {
		var meta struct {
			Name string `json:"name"`
		}
		if json.Unmarshal(item.Meta, &meta) == nil && n.relays[meta.Name] != "" {
			item.Spec["peerAddr"] = n.relays[meta.Name]
		}
	}
	changed, err := json.Marshal(list)
	if err != nil {
		return body
	}
	return changed
}
