package platformfleet

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
)

// Links are the connections between the VMs and from them to the store. Each passes through
// a relay that can make it silent for good: both ends stay connected, and what they send is
// acknowledged and dropped.
type Links struct {
	mu      sync.Mutex // guards the fields below
	peers   []*connection
	stores  map[string][]*connection // by IP address of the VM
	relays  map[string]string        // address for other VMs, by name of the VM
	refused map[string]bool          // IP addresses of the VMs that the store refuses
}

// connection is one relayed connection.
type connection struct {
	in, out net.Conn
	silent  atomic.Bool
	ended   atomic.Bool
}

func newLinks() *Links {
	return &Links{stores: map[string][]*connection{}, relays: map[string]string{}, refused: map[string]bool{}}
}

// relay accepts connections and passes them on to target. With keepSource they go on from
// the address that they came from. add receives each connection and the IP address of its
// source. It returns the relay's address.
func (l *Links) relay(target string, keepSource bool, add func(c *connection, source string)) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			source := in.RemoteAddr().(*net.TCPAddr).IP
			dialer := net.Dialer{}
			if keepSource {
				dialer.LocalAddr = &net.TCPAddr{IP: source}
			}
			out, err := dialer.Dial("tcp", target)
			if err != nil {
				_ = in.Close() // refused, as the target refuses it
				continue
			}
			c := &connection{in: in, out: out}
			l.mu.Lock()
			add(c, source.String())
			l.mu.Unlock()
			go c.forward(in, out)
			go c.forward(out, in)
		}
	}()
	return listener.Addr().String(), nil
}

// forward copies bytes in one direction. The other end of a silent connection does not learn
// that this one has closed.
func (c *connection) forward(from, to net.Conn) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.silent.Load() {
			_, _ = to.Write(buffer[:n]) // the next read reports a closed connection
		}
		if err == nil {
			continue
		}
		c.ended.Store(true)
		_ = from.Close() // it has ended
		if !c.silent.Load() {
			_ = to.Close() // likewise
		}
		return
	}
}

// addPeer starts the relay of a VM for other VMs.
func (l *Links) addPeer(name, target string) error {
	addr, err := l.relay(target, false, func(c *connection, _ string) { l.peers = append(l.peers, c) })
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.relays[name] = addr
	return nil
}

// addStore starts the relay to the store.
func (l *Links) addStore(target string) (string, error) {
	return l.relay(target, true, func(c *connection, source string) { l.stores[source] = append(l.stores[source], c) })
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
	var n int
	l.peers, n = silenceSome(l.peers, random, share)
	return n
}

// silenceStore makes a VM's open connections to the store silent and returns their number.
func (l *Links) SilenceStore(ip string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	var n int
	l.stores[ip], n = silenceSome(l.stores[ip], nil, 1)
	return n
}

// silenceSome silences a share of the open connections. It returns those still open and the
// number of silenced ones.
func silenceSome(all []*connection, random *rand.Rand, share float64) (open []*connection, silenced int) {
	for _, c := range all {
		switch {
		case c.ended.Load() || c.silent.Load():
		case share >= 1 || random.Float64() < share:
			c.silent.Store(true)
			silenced++
		default:
			open = append(open, c)
		}
	}
	return open, silenced
}

// withRelays returns a handler that passes calls on to the store and replaces the addresses
// of the VMs in the list of VMs by those of their relays.
func (l *Links) withRelays(store string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if l.isRefused(r.RemoteAddr) {
			w.WriteHeader(http.StatusServiceUnavailable)
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
		if name, ok := item.Spec["id"].(string); ok && l.relays[name] != "" {
			item.Spec["peerAddr"] = l.relays[name]
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
