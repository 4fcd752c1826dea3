package platformfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"

	"egretroad/internal/standin/silence"
)

// Links are the connections between the VMs and from them to the store. Each passes through
// a relay.
type Links struct {
	store *silence.Relay

	mu      sync.Mutex                // guards the fields below
	peers   map[string]*silence.Relay // in front of a VM, by its name
	refused map[string]bool           // IP addresses of the VMs that the store refuses
	outage  *outage                   // nil: none
}

func newLinks() *Links {
	return &Links{peers: map[string]*silence.Relay{}, refused: map[string]bool{}}
}

// addPeer starts the relay of a VM for other VMs.
func (l *Links) addPeer(name, target string) error {
	r, err := silence.Start(target, false)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.peers[name] = r
	return nil
}

// Refuse starts or stops the refusal of the calls of a VM to the store.
func (l *Links) Refuse(ip string, refused bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[ip] = refused
}

// isRefused reports whether the store refuses a caller, given its IP address and port.
func (l *Links) isRefused(caller string) bool {
	ip, _, err := net.SplitHostPort(caller)
	l.mu.Lock()
	defer l.mu.Unlock()
	return err == nil && l.refused[ip]
}

// SilencePeers makes a share of the open connections between VMs silent and returns their
// number.
func (l *Links) SilencePeers(random *rand.Rand, share float64) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	silenced := 0
	for _, name := range slices.Sorted(maps.Keys(l.peers)) {
		silenced += l.peers[name].Silence(func(string) bool { return share >= 1 || random.Float64() < share })
	}
	return silenced
}

// SilenceStore makes a VM's open connections to the store silent and returns their number.
func (l *Links) SilenceStore(ip string) int {
	return l.store.Silence(func(source string) bool { return source == ip })
}

// withRelays returns a handler that passes calls on to the store and replaces the addresses
// of the VMs in the list of VMs by those of their relays.
func (l *Links) withRelays(store string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isRefused(r.RemoteAddr) {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		outage := l.outageOf(r)
		if failCall(w, r, outage) {
			return
		}
		forwarded, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+store+r.URL.RequestURI(), r.Body)
		if err != nil {
			panic(http.ErrAbortHandler) // ends the connection
		}
		forwarded.Header = r.Header.Clone()
		response, err := http.DefaultTransport.RoundTrip(forwarded)
		if err != nil {
			panic(http.ErrAbortHandler) // the caller has given up
		}
		defer func() { _ = response.Body.Close() }() // it was read, or its error ends the connection
		body, err := io.ReadAll(response.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if l.losesResponse(outage) {
			panic(http.ErrAbortHandler)
		}
		if outage == "" && failCall(w, r, l.outageOf(r)) {
			return // the outage began while a watch waited
		}
		if r.Method == http.MethodGet && r.URL.Path == "/objects/"+kindVMs {
			body = l.rewrite(body)
		}
		for _, name := range []string{"Content-Type", "Store-Era"} {
			w.Header().Set(name, response.Header.Get(name))
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(body) // the caller may have gone
	})
}

func (l *Links) rewrite(body []byte) []byte {
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
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, item := range list.Items {
		name, ok := item.Spec["id"].(string)
		if relay := l.peers[name]; ok && relay != nil {
			item.Spec["peerAddr"] = relay.Addr()
		}
	}
	rewritten, err := json.Marshal(list)
	if err != nil {
		return body
	}
	return rewritten
}

// countDirectLinks returns the number of connections to one of the given addresses that bypass
// the relays: those that come from an address of a VM.
func countDirectLinks(addresses map[netip.AddrPort]bool) (int, error) {
	file, err := os.Open("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	defer func() { _ = file.Close() }() // it was only read
	direct := 0
	lines := bufio.NewScanner(file)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		const established = "01"
		if len(fields) < 4 || fields[3] != established {
			continue
		}
		local, errLocal := parseProcAddr(fields[1])
		remote, errRemote := parseProcAddr(fields[2])
		if errLocal == nil && errRemote == nil && addresses[local] && remote.Addr().String() != "127.0.0.1" {
			direct++
		}
	}
	return direct, lines.Err()
}

// ProcAddrError reports an address of /proc/net/tcp that cannot be parsed.
type ProcAddrError struct{ Text string }

func (e *ProcAddrError) Error() string { return fmt.Sprintf("address %q of /proc/net/tcp", e.Text) }

// parseProcAddr parses an address of /proc/net/tcp: IP in little-endian, port, hexadecimal.
func parseProcAddr(text string) (netip.AddrPort, error) {
	ip, port, found := strings.Cut(text, ":")
	n, errIP := strconv.ParseUint(ip, 16, 32)
	p, errPort := strconv.ParseUint(port, 16, 16)
	if !found || errIP != nil || errPort != nil {
		return netip.AddrPort{}, &ProcAddrError{Text: text}
	}
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{byte(n), byte(n >> 8), byte(n >> 16), byte(n >> 24)}), uint16(p)), nil
}
