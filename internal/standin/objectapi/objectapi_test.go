package objectapi_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/platform"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/objectapi"
	"egretroad/internal/topology"
)

const eventuallyTimeout = 10 * time.Second

func startServer(t *testing.T) (*objectapi.Server, *network.Network) {
	t.Helper()
	partitions := network.New([]string{"a", "b"})
	s, err := objectapi.Start(net.JoinHostPort(partitions.PlatformAddr(), "0"), partitions)
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(s.Close)
	return s, partitions
}

// call sends a request on a new connection and returns the HTTP status, or 0 if there
// was no response.
func call(s *objectapi.Server, method, path string, body, into any) int {
	return callFrom(s, "", method, path, body, into)
}

// callFrom is call from the given source IP address, if any.
func callFrom(s *objectapi.Server, source, method, path string, body, into any) int {
	transport := &http.Transport{DisableKeepAlives: true}
	if source != "" {
		local := net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.MustParseAddr(source), 0))
		transport.DialContext = (&net.Dialer{LocalAddr: local}).DialContext
	}
	encoded, _ := json.Marshal(body)
	request, _ := http.NewRequest(method, s.URL()+path, bytes.NewReader(encoded))
	response, err := (&http.Client{Transport: transport}).Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	if into != nil {
		_ = json.NewDecoder(response.Body).Decode(into)
	}
	return response.StatusCode
}

func put(ifVersion uint64, value string) platform.PutRequest {
	return platform.PutRequest{IfVersion: ifVersion, Value: json.RawMessage(value)}
}

func TestConditionalUpdates(t *testing.T) {
	g := NewWithT(t)
	s, _ := startServer(t)
	var a, b, o platform.Object
	g.Expect(call(s, "GET", "/v1/objects/x/a", nil, nil)).To(Equal(404))
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(7, "1"), &o)).To(Equal(409))
	g.Expect(o).To(Equal(platform.Object{}))
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(0, "1"), &a)).To(Equal(200))
	g.Expect(call(s, "PUT", "/v1/objects/y/b", put(0, "2"), &b)).To(Equal(200))
	g.Expect(b.Version).To(BeNumerically(">", a.Version))
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(0, "3"), &o)).To(Equal(409))
	g.Expect(o).To(Equal(a))
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(a.Version, "3"), &a)).To(Equal(200))
	g.Expect(string(a.Value)).To(Equal("3"))
	var list platform.ObjectList
	g.Expect(call(s, "GET", "/v1/objects/x", nil, &list)).To(Equal(200))
	g.Expect(list).To(Equal(platform.ObjectList{Revision: a.Version, Objects: []platform.Object{a}}))
	g.Expect(call(s, "DELETE", "/v1/objects/x/a?ifVersion=1", nil, &o)).To(Equal(409))
	g.Expect(call(s, "DELETE", "/v1/objects/x/a?ifVersion=3", nil, &o)).To(Equal(200))
	g.Expect(o.Deleted).To(BeTrue())
	g.Expect(call(s, "GET", "/v1/objects/x/a", nil, nil)).To(Equal(404))
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(0, "4"), nil)).To(Equal(200))
	g.Expect(s.Counts()).To(HaveKeyWithValue("put", int64(6)))
}

func TestInvalidRequestsAreRejected(t *testing.T) {
	g := NewWithT(t)
	s, _ := startServer(t)
	largest := `"` + string(bytes.Repeat([]byte("x"), platform.MaxValueBytes-2)) + `"`
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(0, largest), nil)).To(Equal(200))
	g.Expect(call(s, "PUT", "/v1/objects/x/b", put(0, largest[:1]+"x"+largest[1:]), nil)).To(Equal(413))
	g.Expect(call(s, "PUT", "/v1/objects/x/b", "text", nil)).To(Equal(400))
	g.Expect(call(s, "PUT", "/v1/objects/x/b", map[string]int{}, nil)).To(Equal(400))
	g.Expect(call(s, "DELETE", "/v1/objects/x/a", nil, nil)).To(Equal(400))
	g.Expect(call(s, "GET", "/v1/watch?since=x&waitMs=1", nil, nil)).To(Equal(400))
}

func TestWatch(t *testing.T) {
	g := NewWithT(t)
	s, _ := startServer(t)
	first, err := s.Put("x", "a", 1)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Put("x", "b", 1)
	g.Expect(err).NotTo(HaveOccurred())
	last, err := s.Put("x", "a", 2)
	g.Expect(err).NotTo(HaveOccurred())
	var reply platform.WatchReply
	g.Expect(call(s, "GET", "/v1/watch?since=0&waitMs=1000", nil, &reply)).To(Equal(200))
	g.Expect(reply.Objects).To(HaveLen(2), "only the latest state of each object")
	g.Expect(reply.Objects[1]).To(Equal(last))
	replies := make(chan platform.WatchReply, 1)
	go func() {
		var r platform.WatchReply
		call(s, "GET", "/v1/watch?since=3&waitMs=60000", nil, &r)
		replies <- r
	}()
	g.Eventually(s.Counts, eventuallyTimeout).Should(HaveKeyWithValue("watch", int64(2)))
	_, err = s.Put("x", "c", 1)
	g.Expect(err).NotTo(HaveOccurred())
	g.Eventually(replies, eventuallyTimeout).Should(Receive(&reply))
	g.Expect(reply.Revision).To(Equal(uint64(4)))
	g.Expect(call(s, "GET", "/v1/watch?since=0&waitMs=1&kinds=y,z", nil, &reply)).To(Equal(200))
	g.Expect(reply).To(Equal(platform.WatchReply{Revision: 4, Objects: []platform.Object{}}))
	s.Compact()
	g.Expect(call(s, "GET", "/v1/watch?since=1&waitMs=0", nil, nil)).To(Equal(410))
	g.Expect(call(s, "GET", "/v1/watch?since=4&waitMs=1", nil, &reply)).To(Equal(200))
	g.Expect(call(s, "GET", "/v1/watch?since=9&waitMs=1", nil, nil)).To(Equal(410))
	g.Expect(first.Version).To(Equal(uint64(1)))
}

func TestVMListChangesAreVisibleAfterLag(t *testing.T) {
	g := NewWithT(t)
	s, _ := startServer(t)
	s.SetVMLag(time.Hour)
	s.SetVMs([]topology.VM{{ID: "one"}})
	s.SetVMs([]topology.VM{{ID: "one"}, {ID: "two"}})
	var list platform.VMList
	g.Expect(call(s, "GET", "/v1/vms", nil, &list)).To(Equal(200))
	g.Expect(list.VMs).To(HaveLen(1))
	s.SetVMLag(0)
	s.SetVMs([]topology.VM{{ID: "three"}})
	g.Expect(call(s, "GET", "/v1/vms", nil, &list)).To(Equal(200))
	g.Expect(list.VMs).To(HaveLen(1))
}

func TestInjectedFaults(t *testing.T) {
	g := NewWithT(t)
	s, partitions := startServer(t)
	s.LoseAnswers(1, objectapi.CallPut)
	g.Expect(call(s, "PUT", "/v1/objects/x/a", put(0, "1"), nil)).To(Equal(0))
	g.Expect(call(s, "GET", "/v1/objects/x/a", nil, nil)).To(Equal(200), "the change took effect")
	s.Outage(true)
	g.Expect(call(s, "PUT", "/v1/objects/x/b", put(0, "1"), nil)).To(Equal(0))
	s.Outage(false)
	g.Expect(call(s, "GET", "/v1/objects/x/b", nil, nil)).To(Equal(404), "the change took no effect")
	s.OutageWith(objectapi.OutageHang)
	status := make(chan int, 1)
	go func() { status <- call(s, "GET", "/v1/objects/x/a", nil, nil) }()
	g.Consistently(status, 50*time.Millisecond).ShouldNot(Receive())
	s.Outage(false)
	g.Eventually(status, eventuallyTimeout).Should(Receive(Equal(0)))
	s.Slow(time.Millisecond)
	g.Expect(call(s, "GET", "/v1/objects/x/a", nil, nil)).To(Equal(200))

	g.Expect(partitions.Cut("a")).To(Succeed())
	g.Expect(callFrom(s, partitions.VMAddr("b", 0), "GET", "/v1/objects/x/a", nil, nil)).To(Equal(200))
	go func() { status <- callFrom(s, partitions.VMAddr("a", 0), "GET", "/v1/objects/x/a", nil, nil) }()
	g.Consistently(status, 50*time.Millisecond).ShouldNot(Receive())
	partitions.Heal()
	g.Eventually(status, eventuallyTimeout).Should(Receive(Equal(0)))
	g.Expect(callFrom(s, partitions.VMAddr("a", 0), "GET", "/v1/objects/x/a", nil, nil)).To(Equal(200))
}
