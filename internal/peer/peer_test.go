package peer

import (
	"bufio"
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"reflect"
	"sync"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// echoHome is a txn.Home whose lanes respond to each batch with the batch's bytes,
// repeated Request.Term times.
type echoHome struct {
	txn.Home
	mu      sync.Mutex
	closed  int
	openErr error
}

func (h *echoHome) Open(_ context.Context, r txn.Request) (txn.Lane, error) {
	if h.openErr != nil {
		return nil, h.openErr
	}
	return &echoLane{home: h, request: r}, nil
}

type echoLane struct {
	home    *echoHome
	request txn.Request
}

func (l *echoLane) Run(_ context.Context, b txn.Batch, sink txn.Sink) (txn.Result, error) {
	for range l.request.Term {
		if err := sink(b.Messages); err != nil {
			return txn.Result{}, err
		}
	}
	status := byte('T')
	if b.MayCommit {
		status = 'I'
	}
	return txn.Result{TxStatus: status, Mark: topology.Mark{Database: l.request.Database, Term: 1, Position: 7}}, nil
}

func (l *echoLane) Cancel() {}

func (l *echoLane) Close() {
	l.home.mu.Lock()
	defer l.home.mu.Unlock()
	l.home.closed++
}

func (h *echoHome) closedLanes() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.closed
}

// startPair returns two nodes with the given fleet keys; a can dial b, which is started.
func startPair(t *testing.T, home txn.Home, keyA, keyB string) (a, b *Node) {
	t.Helper()
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	g.Expect(err).NotTo(gomega.HaveOccurred())
	snapshot := &topology.Snapshot{VMs: map[string]topology.VM{"b": {ID: "b", PeerAddr: listener.Addr().String()}}}
	newNode := func(self, key string) *Node {
		return NewNode(DefaultOptions(self, "127.0.0.1", []byte(key)), topology.NewPublisher(snapshot), eventlog.Discard(), metrics.NewRegistry())
	}
	a, b = newNode("a", keyA), newNode("b", keyB)
	b.ServeLanes(home)
	b.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	b.Start(listener)
	t.Cleanup(func() { a.Stop(); b.Stop() })
	return a, b
}

func TestCallAndErrors(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, nil, "key", "key")
	ctx := context.Background()
	response, err := a.Call(ctx, "b", "echo", []byte("hi"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(response)).To(gomega.Equal("a:hi"))
	_, err = a.Call(ctx, "b", "missing", nil)
	var remote *RemoteError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(remote))
	_, err = a.Call(ctx, "c", "echo", nil)
	var unreachable *UnreachableError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(unreachable))
}

func TestPeerWithOtherFleetKeyIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, nil, "key", "other key")
	_, err := a.Call(context.Background(), "b", "echo", nil)
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("does not prove the fleet key")))
}

func TestOtherProtocolVersionIsRefused(t *testing.T) {
	g := gomega.NewWithT(t)
	_, b := startPair(t, nil, "key", "key")
	conn, err := net.Dial("tcp", b.listener.Addr().String())
	g.Expect(err).NotTo(gomega.HaveOccurred())
	h := newHello("old")
	h.Version = ProtocolVersion + 1
	g.Expect(sendHello(conn, h)).To(gomega.Succeed())
	_, err = conn.Read(make([]byte, 1))
	g.Expect(err).To(gomega.HaveOccurred(), "the acceptor closes the connection")
}

func TestLaneRunsTransaction(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, &echoHome{}, "key", "key")
	lane := a.OpenLane("b", txn.Request{Database: "db", Term: 1, Access: catalogue.AccessWrite})
	var got bytes.Buffer
	sink := func(m []byte) error { got.Write(m); return nil }
	r, err := lane.Run(context.Background(), txn.Batch{Messages: []byte("one")}, sink)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.TxStatus).To(gomega.Equal(byte('T')))
	r, err = lane.Run(context.Background(), txn.Batch{Messages: []byte("two"), MayCommit: true}, sink)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(r.TxStatus).To(gomega.Equal(byte('I')))
	g.Expect(r.Mark.Position).To(gomega.Equal(uint64(7)))
	g.Expect(got.String()).To(gomega.Equal("onetwo"))
}

func TestAdmissionErrorsKeepTheirType(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, &echoHome{openErr: &outcome.NotRunError{Reason: outcome.ReasonQueueFull, RetryAfter: time.Second}}, "key", "key")
	_, err := a.OpenLane("b", txn.Request{}).Run(context.Background(), txn.Batch{}, nil)
	var notRun *outcome.NotRunError
	g.Expect(err).To(gomega.BeAssignableToTypeOf(notRun))
	g.Expect(err.(*outcome.NotRunError).RetryAfter).To(gomega.Equal(time.Second))
}

// A caller that does not consume its data must not block other lanes of the same link.
func TestSlowLaneDoesNotBlockOthers(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, &echoHome{}, "key", "key")
	release := make(chan struct{})
	slowDone := make(chan int)
	go func() {
		total := 0
		_, _ = a.OpenLane("b", txn.Request{Term: 1000}).Run(context.Background(), txn.Batch{Messages: make([]byte, 8192), MayCommit: true},
			func(m []byte) error { <-release; total += len(m); return nil })
		slowDone <- total
	}()
	for i := range 20 {
		_, err := a.OpenLane("b", txn.Request{Term: 1}).Run(context.Background(), txn.Batch{Messages: []byte("x"), MayCommit: true}, func([]byte) error { return nil })
		g.Expect(err).NotTo(gomega.HaveOccurred(), fmt.Sprint("lane ", i))
	}
	close(release)
	g.Expect(<-slowDone).To(gomega.Equal(1000 * 8192))
}

func TestLostLinkIsUnknownOnlyAfterCommitWasSent(t *testing.T) {
	for _, commit := range []bool{false, true} {
		g := gomega.NewWithT(t)
		home := &echoHome{}
		a, b := startPair(t, home, "key", "key")
		lane := a.OpenLane("b", txn.Request{Term: 1, Access: catalogue.AccessWrite})
		_, err := lane.Run(context.Background(), txn.Batch{Messages: []byte("x")}, func([]byte) error { return nil })
		g.Expect(err).NotTo(gomega.HaveOccurred())
		b.Stop()
		_, err = lane.Run(context.Background(), txn.Batch{Messages: []byte("y"), MayCommit: commit}, func([]byte) error { return nil })
		if commit {
			var unknown *outcome.UnknownError
			g.Expect(err).To(gomega.BeAssignableToTypeOf(unknown))
		} else {
			var notRun *outcome.NotRunError
			g.Expect(err).To(gomega.BeAssignableToTypeOf(notRun))
		}
		g.Expect(home.closedLanes()).To(gomega.Equal(1), "the home closed the transaction")
	}
}

func TestInvalidFramesAreRejected(t *testing.T) {
	huge := make([]byte, 4)
	binary.BigEndian.PutUint32(huge, maxFrameBytes+1)
	for name, raw := range map[string][]byte{
		"too large": huge,
		"empty":     {0, 0, 0, 0},
		"not array": {0, 0, 0, 1, 0xc0},
		"bad type":  {0, 0, 0, 4, 0x93, 0x7f, 0x01, 0xc0},
		"bad body":  {0, 0, 0, 5, 0x93, 0x01, 0x01, 0xc4, 0x09},
	} {
		_, err := readFrame(bufio.NewReader(bytes.NewReader(raw)), maxFrameBytes)
		var frameErr *FrameError
		gomega.NewWithT(t).Expect(err).To(gomega.BeAssignableToTypeOf(frameErr), name)
	}
}

// A link whose peer does not respond to a ping is closed, and the next call dials a new one.
func TestUnresponsiveLinkIsReplaced(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startPair(t, nil, "key", "key")
	_, err := a.Call(context.Background(), "b", "echo", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	a.mu.Lock()
	first := a.outgoingLinks["b"].client.link
	a.mu.Unlock()
	first.addOutstanding()
	now := a.opts.Now()
	first.conn.lastRead.Store(int64(now))
	first.pingSent = true
	first.checkLiveness(now + a.opts.SilenceTimeout + time.Millisecond)
	g.Expect(first.closeErr()).To(gomega.MatchError(gomega.ContainSubstring("no answer to a ping")))
	_, err = a.Call(context.Background(), "b", "echo", nil)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	_ = b
}

// fillFields sets every field of v to a non-zero value, so that a field missing from the
// codec is detected.
func fillFields(v reflect.Value, n *int) {
	*n++
	switch v.Kind() {
	case reflect.Struct:
		for i := range v.NumField() {
			fillFields(v.Field(i), n)
		}
	case reflect.Slice:
		v.Set(reflect.MakeSlice(v.Type(), 2, 2))
		for i := range 2 {
			fillFields(v.Index(i), n)
		}
	case reflect.String:
		v.SetString(fmt.Sprint("s", *n))
	case reflect.Bool:
		v.SetBool(true)
	case reflect.Int, reflect.Int64:
		v.SetInt(int64(*n))
	default:
		v.SetUint(uint64(*n % 200))
	}
}

func TestCodecRoundTripsEveryField(t *testing.T) {
	for _, body := range []any{&openBody{}, &doneBody{}} {
		g := gomega.NewWithT(t)
		n := 0
		fillFields(reflect.ValueOf(body).Elem(), &n)
		raw, err := encode(body)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		got := reflect.New(reflect.TypeOf(body).Elem()).Interface()
		g.Expect(decode(raw, got)).To(gomega.Succeed())
		g.Expect(got).To(gomega.Equal(body))
		for cut := range raw {
			g.Expect(decode(raw[:cut], reflect.New(reflect.TypeOf(body).Elem()).Interface())).NotTo(gomega.Succeed(), "cut at %d", cut)
		}
	}
}

// While a ping has no response, writes wait without being sent and reads fail at once. Both
// are reported as not run if they fail.
func TestNoNewWorkIsSentToUnresponsiveHome(t *testing.T) {
	g := gomega.NewWithT(t)
	a, _ := startPair(t, &echoHome{}, "key", "key")
	run := func(ctx context.Context, access catalogue.Access) error {
		_, err := a.OpenLane("b", txn.Request{Term: 1, Access: access}).Run(ctx, txn.Batch{Messages: []byte("x"), MayCommit: true}, func([]byte) error { return nil })
		return err
	}
	ctx := context.Background()
	g.Expect(run(ctx, catalogue.AccessWrite)).To(gomega.Succeed())
	a.mu.Lock()
	l := a.outgoingLinks["b"].client.link
	a.mu.Unlock()
	l.markUnresponsive()
	var notRun *outcome.NotRunError
	g.Expect(run(ctx, catalogue.AccessRead)).To(gomega.BeAssignableToTypeOf(notRun))
	cancelled, cancel := context.WithCancel(ctx)
	cancel()
	g.Expect(run(cancelled, catalogue.AccessWrite)).To(gomega.BeAssignableToTypeOf(notRun))
	waiting := make(chan error)
	go func() { waiting <- run(ctx, catalogue.AccessWrite) }()
	g.Expect(l.trySend(frame{Type: framePing})).To(gomega.BeTrue())
	g.Expect(<-waiting).To(gomega.Succeed(), "the pong ends the wait")
	g.Expect(run(ctx, catalogue.AccessRead)).To(gomega.Succeed())
}

// A handler that panics on one message fails that call only.
func TestPanicOfHandlerFailsOneCall(t *testing.T) {
	g := gomega.NewWithT(t)
	a, b := startPair(t, &echoHome{}, "key", "key")
	b.handlers["fault"] = func(context.Context, string, []byte) ([]byte, error) { panic("unexpected") }
	_, err := a.Call(context.Background(), "b", "fault", nil)
	var remote *RemoteError
	g.Expect(errors.As(err, &remote)).To(gomega.BeTrue())
	g.Expect(remote.Message).To(gomega.ContainSubstring("panicked"))
	a.Notify("b", "fault", nil)
	response, err := a.Call(context.Background(), "b", "echo", []byte("x"))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(string(response)).To(gomega.Equal("a:x"))
}

// After a start of all VMs, a VM that is not up yet accepts no connection. A request that
// another VM can take must not wait until the dial fails.
func TestSubstitutableRequestDoesNotWaitForDial(t *testing.T) {
	g := gomega.NewWithT(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0") // accepts, but never says hello
	g.Expect(err).NotTo(gomega.HaveOccurred())
	t.Cleanup(func() { _ = listener.Close() }) // the test has ended
	snapshot := &topology.Snapshot{VMs: map[string]topology.VM{"b": {ID: "b", PeerAddr: listener.Addr().String()}}}
	o := DefaultOptions("a", "127.0.0.1", []byte("key"))
	o.DialTimeout, o.UnresponsiveAfter = time.Minute, 20*time.Millisecond
	a := NewNode(o, topology.NewPublisher(snapshot), eventlog.Discard(), metrics.NewRegistry())
	for range 2 {
		_, err := a.CallIfResponsive(context.Background(), "b", "echo", nil)
		var unreachable *UnreachableError
		g.Expect(errors.As(err, &unreachable)).To(gomega.BeTrue())
		g.Expect(unreachable.Unsent).To(gomega.BeTrue())
		a.mu.Lock()
		g.Expect(a.outgoingLinks["b"].dialing).NotTo(gomega.BeNil(), "the dial goes on")
		a.mu.Unlock()
	}
}

func FuzzDecodeFrame(f *testing.F) {
	good, _ := appendFrame(nil, frame{Type: frameCall, Number: 3, Body: []byte("x")})
	f.Add(good[frameHeaderBytes:])
	f.Fuzz(func(t *testing.T, raw []byte) {
		fr, err := decodeFrame(raw)
		if err == nil && (fr.Type == 0 || fr.Type > frameTypeCount) {
			t.Fatalf("accepted type %d", fr.Type)
		}
	})
}

func BenchmarkLane(b *testing.B) {
	listener, _ := net.Listen("tcp", "127.0.0.1:0")
	snapshot := &topology.Snapshot{VMs: map[string]topology.VM{"b": {ID: "b", PeerAddr: listener.Addr().String()}}}
	newNode := func(self string) *Node {
		return NewNode(DefaultOptions(self, "127.0.0.1", []byte("k")), topology.NewPublisher(snapshot), eventlog.Discard(), metrics.NewRegistry())
	}
	x, y := newNode("a"), newNode("b")
	y.ServeLanes(&echoHome{})
	y.Start(listener)
	defer x.Stop()
	defer y.Stop()
	batch := txn.Batch{Messages: make([]byte, 100), MayCommit: true}
	for b.Loop() {
		if _, err := x.OpenLane("b", txn.Request{Term: 1}).Run(context.Background(), batch, func([]byte) error { return nil }); err != nil {
			b.Fatal(err)
		}
	}
}
