package objectclient_test

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
)

func newTestClient(t *testing.T, h http.HandlerFunc) *objectclient.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return objectclient.New(server.URL, objectclient.DefaultOptions())
}

func TestClientMapsStatusesToErrors(t *testing.T) {
	g := NewWithT(t)
	status := map[string]int{"missing": 404, "conflict": 409, "broken": 503, "busy": 429, "refused": 400}
	c := newTestClient(t, func(w http.ResponseWriter, r *http.Request) {
		name := r.URL.Path[strings.LastIndex(r.URL.Path, "/")+1:]
		w.WriteHeader(status[name])
		_ = json.NewEncoder(w).Encode(platform.Object{Kind: "group", Name: name, Version: 9})
	})
	call := func(name string) error {
		_, err := c.Put(context.Background(), "group", name, 3, []byte(`{}`))
		return err
	}
	var conflict *platform.ConflictError
	g.Expect(errors.As(call("conflict"), &conflict)).To(BeTrue())
	g.Expect(conflict.Current.Version).To(Equal(uint64(9)))
	var missing *platform.NotFoundError
	g.Expect(errors.As(call("missing"), &missing)).To(BeTrue())
	var unavailable *platform.UnavailableError
	g.Expect(errors.As(call("broken"), &unavailable)).To(BeTrue())
	g.Expect(errors.As(call("busy"), &unavailable)).To(BeTrue())
	var rejected *platform.RejectedError
	g.Expect(errors.As(call("refused"), &rejected)).To(BeTrue())
	g.Expect(c.Counts()[objectclient.CallPut].Calls).To(Equal(uint64(5)))
}

func TestClientLimitsResponseSize(t *testing.T) {
	g := NewWithT(t)
	o := objectclient.DefaultOptions()
	o.MaxResponseBytes = 100
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 101))
	}))
	defer server.Close()
	_, err := objectclient.New(server.URL, o).List(context.Background(), "group")
	var large *platform.ResponseTooLargeError
	g.Expect(errors.As(err, &large)).To(BeTrue())
}

func TestClientRejectsCallsOverRateLimit(t *testing.T) {
	g := NewWithT(t)
	o := objectclient.DefaultOptions()
	o.ReadsPerSecond, o.ReadBurst, o.CallTimeout = 0.001, 2, 100*time.Millisecond
	var calls atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		calls.Add(1)
		_, _ = w.Write([]byte(`{}`))
	}))
	defer server.Close()
	c := objectclient.New(server.URL, o)
	var last error
	for range 3 {
		_, last = c.VMs(context.Background())
	}
	var budget *platform.BudgetError
	g.Expect(errors.As(last, &budget)).To(BeTrue())
	g.Expect(calls.Load()).To(Equal(int32(2)))
}

// lossyStore is a fake store of one object that can lose requests and responses.
type lossyStore struct {
	platform.Store
	current       platform.Object
	loseResponses int    // responses to lose after the write took effect
	dropRequests  int    // requests to lose before the write takes effect
	overwrite     []byte // value that another writer stores right after each write
	writes        int
}

func (s *lossyStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	if s.dropRequests > 0 {
		s.dropRequests--
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	if s.current.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: s.current}
	}
	s.writes++
	s.current = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Value: value}
	done := s.current
	if s.overwrite != nil {
		s.current = platform.Object{Kind: kind, Name: name, Version: ifVersion + 2, Value: s.overwrite}
	}
	if s.loseResponses > 0 {
		s.loseResponses--
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return done, nil
}

func TestPutOwnRecognizesItsOwnWrite(t *testing.T) {
	g := NewWithT(t)
	value := []byte(`{"a": 1}`)
	s := &lossyStore{current: platform.Object{Version: 4}, loseResponses: 1}
	o, err := platform.PutOwn(context.Background(), s, "group", "x", 4, value, platform.SameValue([]byte(`{"a":1}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Version).To(Equal(uint64(5)))
	g.Expect(s.writes).To(Equal(1))
}

func TestPutOwnRetriesLostRequests(t *testing.T) {
	g := NewWithT(t)
	s := &lossyStore{current: platform.Object{Version: 4}, dropRequests: 2}
	_, err := platform.PutOwn(context.Background(), s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.writes).To(Equal(1))
}

func TestPutOwnReportsOtherWritersAsConflict(t *testing.T) {
	g := NewWithT(t)
	s := &lossyStore{current: platform.Object{Version: 5, Value: []byte(`{"b":2}`)}, dropRequests: 1}
	_, err := platform.PutOwn(context.Background(), s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	var conflict *platform.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(s.writes).To(Equal(0))
}

func TestPutOwnStopsWhenContextEnds(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s := &lossyStore{dropRequests: 1 << 30}
	_, err := platform.PutOwn(ctx, s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	var unavailable *platform.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
}
