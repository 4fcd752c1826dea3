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

func serve(t *testing.T, h http.HandlerFunc) *objectclient.Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return objectclient.New(server.URL, objectclient.DefaultOptions())
}

func TestClientMapsAnswersToErrors(t *testing.T) {
	g := NewWithT(t)
	status := map[string]int{"missing": 404, "conflict": 409, "broken": 503, "busy": 429, "refused": 400}
	c := serve(t, func(w http.ResponseWriter, r *http.Request) {
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

func TestClientBoundsAnswers(t *testing.T) {
	g := NewWithT(t)
	o := objectclient.DefaultOptions()
	o.MaxAnswerBytes = 100
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 101))
	}))
	defer server.Close()
	_, err := objectclient.New(server.URL, o).List(context.Background(), "group")
	var large *platform.AnswerTooLargeError
	g.Expect(errors.As(err, &large)).To(BeTrue())
}

func TestClientRefusesCallsBeyondItsBudget(t *testing.T) {
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

// lossyStore is a store of one object whose answers can be lost.
type lossyStore struct {
	platform.Store
	current   platform.Object
	loseNext  int    // answers lost after taking effect
	dropNext  int    // requests lost before taking effect
	overwrite []byte // written by another right after the next effect
	effects   int
}

func (s *lossyStore) Put(_ context.Context, kind, name string, ifVersion uint64, value []byte) (platform.Object, error) {
	if s.dropNext > 0 {
		s.dropNext--
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	if s.current.Version != ifVersion {
		return platform.Object{}, &platform.ConflictError{Kind: kind, Name: name, IfVersion: ifVersion, Current: s.current}
	}
	s.effects++
	s.current = platform.Object{Kind: kind, Name: name, Version: ifVersion + 1, Value: value}
	done := s.current
	if s.overwrite != nil {
		s.current = platform.Object{Kind: kind, Name: name, Version: ifVersion + 2, Value: s.overwrite}
	}
	if s.loseNext > 0 {
		s.loseNext--
		return platform.Object{}, &platform.UnavailableError{Call: "put", Cause: context.DeadlineExceeded}
	}
	return done, nil
}

func TestPutOwnRecognizesItsOwnWrite(t *testing.T) {
	g := NewWithT(t)
	value := []byte(`{"a": 1}`)
	s := &lossyStore{current: platform.Object{Version: 4}, loseNext: 1}
	o, err := platform.PutOwn(context.Background(), s, "group", "x", 4, value, platform.SameValue([]byte(`{"a":1}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(o.Version).To(Equal(uint64(5)))
	g.Expect(s.effects).To(Equal(1))
}

func TestPutOwnSendsLostRequestsAgain(t *testing.T) {
	g := NewWithT(t)
	s := &lossyStore{current: platform.Object{Version: 4}, dropNext: 2}
	_, err := platform.PutOwn(context.Background(), s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(s.effects).To(Equal(1))
}

func TestPutOwnReportsOthersWritesAsConflict(t *testing.T) {
	g := NewWithT(t)
	s := &lossyStore{current: platform.Object{Version: 5, Value: []byte(`{"b":2}`)}, dropNext: 1}
	_, err := platform.PutOwn(context.Background(), s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	var conflict *platform.ConflictError
	g.Expect(errors.As(err, &conflict)).To(BeTrue())
	g.Expect(s.effects).To(Equal(0))
}

func TestPutOwnEndsWithItsContext(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	s := &lossyStore{dropNext: 1 << 30}
	_, err := platform.PutOwn(ctx, s, "group", "x", 4, []byte(`{}`), platform.SameValue([]byte(`{}`)))
	var unavailable *platform.UnavailableError
	g.Expect(errors.As(err, &unavailable)).To(BeTrue())
}
