// Package run executes the effects of the state machine in package authority: calls
// to the platform, to other VMs and to servers, and updates of the lease table that
// request goroutines read. Its main types are Service, which connects the machine to
// peers and storage, and WriteConfirmer, which decides whether a write may be
// acknowledged.
package run

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/authority"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// metricGroup is the metric group of this package's counters.
const metricGroup = "authority"

// Options holds the timings of leases, detection and promotion.
type Options = authority.Options

// DefaultOptions returns the production timings.
func DefaultOptions() Options { return authority.DefaultOptions() }

// Deps holds the dependencies of a Service.
type Deps struct {
	Self      topology.VM
	Store     platform.Store
	Peers     peer.Caller
	Registrar peer.Registrar
	Fleet     txn.Home             // routes calls to the home of a server
	Now       func() time.Duration // CLOCK_BOOTTIME
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Service combines the state machine of one VM, the executor of its effects and the
// confirmation of writes.
type Service struct {
	opts      Options
	deps      Deps
	machine   *authority.Machine
	confirmer *WriteConfirmer
	postEvent atomic.Pointer[func(reducer.Event)]
	calls     pendingCalls
	counters  map[string]*expvar.Int // by event name; used by the control goroutine only
}

// New returns the service and registers its peer handlers. Events are discarded
// until Bind is called.
func New(opts Options, deps Deps) *Service {
	s := &Service{
		opts: opts, deps: deps,
		machine:   authority.NewMachine(opts, deps.Self, newIncarnation()),
		confirmer: newWriteConfirmer(deps),
		calls:     pendingCalls{replies: map[uint64]chan authority.LeaseReply{}},
		counters:  map[string]*expvar.Int{},
	}
	deps.Registrar.Handle(method.LeaseAsk, s.handleLeaseAsk)
	deps.Registrar.Handle(method.Release, s.handleRelease)
	deps.Registrar.Handle(method.Evidence, s.handleEvidence)
	return s
}

// Bind sets the function that queues events for the control goroutine.
func (s *Service) Bind(post func(reducer.Event)) { s.postEvent.Store(&post) }

// Machine returns the reducer of write authority.
func (s *Service) Machine() reducer.Machine { return s.machine }

// Executor returns the executor of the machine's effects.
func (s *Service) Executor() reducer.Executor { return s }

// Authority returns the confirmation of writes. It is safe for concurrent use.
func (s *Service) Authority() txn.Authority { return s.confirmer }

// Dump returns a snapshot of leases, evidence and promotions. It may only be called
// on the control goroutine; see reducer.Runtime.Inspect.
func (s *Service) Dump() authority.State { return s.machine.Dump() }

// Stop drops all leases of this VM and notifies the delegate, unless ctx ends
// first. Call it once no request is in progress and the runtime has stopped.
func (s *Service) Stop(ctx context.Context) {
	databases := s.confirmer.dropLeases()
	if len(databases) == 0 {
		return
	}
	body := mustEncode(authority.LeaseRequest{Dropped: databases})
	delegate := s.machine.Dump().Delegate.VM
	if delegate == s.deps.Self.ID {
		return
	}
	if _, err := s.deps.Peers.Call(ctx, delegate, method.LeaseAsk, body); err != nil {
		s.deps.Log.Warn("lease_drop_unanswered", "delegate", delegate, "error", err)
	}
}

// Execute implements reducer.Executor.
func (s *Service) Execute(ctx context.Context, e reducer.Effect, _ func(reducer.Event)) bool {
	switch e := e.(type) {
	case authority.StoreCall:
		go s.callStore(ctx, e)
	case authority.RequestLeases:
		go s.requestLeases(ctx, e)
	case authority.ReplyLeases:
		s.calls.reply(e.Call, e.Reply)
	case authority.RequestRelease:
		go s.requestRelease(ctx, e)
	case authority.ReplyReleased:
		s.calls.reply(e.Call, authority.LeaseReply{})
	case authority.SendEvidence:
		s.deps.Peers.Notify(e.To, method.Evidence, mustEncode(authority.EvidenceMessage{Items: e.Items}))
	case authority.RunAdmin:
		go s.runAdmin(ctx, e)
	case authority.PublishTable:
		s.confirmer.publish(e.Table)
	case authority.LogEvent:
		s.logEvent(e)
	default:
		return false
	}
	return true
}

func (s *Service) post(e reducer.Event) {
	if post := s.postEvent.Load(); post != nil {
		(*post)(e)
	}
}

func (s *Service) callStore(ctx context.Context, e authority.StoreCall) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	var object platform.Object
	var err error
	if e.Write {
		object, err = s.deps.Store.Put(ctx, e.Kind, e.Name, e.IfVersion, e.Value)
		object.Kind, object.Name, object.Value = e.Kind, e.Name, e.Value
	} else {
		object, err = s.deps.Store.Get(ctx, e.Kind, e.Name)
	}
	result := storeResult(object, err)
	result.Op, result.Now = e.Op, s.deps.Now()
	s.post(result)
	if err == nil && e.Kind == platform.KindGroup {
		s.post(reducer.ObjectChanged{
			Kind: object.Kind, Name: object.Name, Version: object.Version, Deleted: object.Deleted, Value: object.Value, From: "store",
		})
	}
}

// storeResult converts the result of a platform call into an event.
func storeResult(object platform.Object, err error) authority.StoreResult {
	var conflict *platform.ConflictError
	var notFound *platform.NotFoundError
	switch {
	case err == nil && object.Deleted:
		return authority.StoreResult{Outcome: authority.StoreNotFound}
	case err == nil:
		return authority.StoreResult{Outcome: authority.StoreOK, Object: object}
	case errors.As(err, &conflict):
		return authority.StoreResult{Outcome: authority.StoreConflict, Object: conflict.Current, Error: err.Error()}
	case errors.As(err, &notFound):
		return authority.StoreResult{Outcome: authority.StoreNotFound, Error: err.Error()}
	}
	return authority.StoreResult{Outcome: authority.StoreUnknown, Error: err.Error()}
}

func (s *Service) requestLeases(ctx context.Context, e authority.RequestLeases) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	result := authority.LeaseRequestDone{Op: e.Op, RequestedAt: s.deps.Now()}
	body, err := s.deps.Peers.Call(ctx, e.Delegate, method.LeaseAsk, mustEncode(e.Request))
	var reply authority.LeaseReply
	if err == nil {
		err = msgpack.Unmarshal(body, &reply)
	}
	if err != nil {
		result.Error = err.Error()
	}
	result.Granted = reply.Granted
	result.Now = s.deps.Now()
	s.post(result)
}

func (s *Service) requestRelease(ctx context.Context, e authority.RequestRelease) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	_, err := s.deps.Peers.Call(ctx, e.Holder, method.Release, mustEncode(authority.ReleaseRequest{Lease: e.Lease}))
	s.post(authority.ReleaseRequestDone{Op: e.Op, Released: err == nil, Now: s.deps.Now()})
}

func (s *Service) runAdmin(ctx context.Context, e authority.RunAdmin) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	status, err := s.deps.Fleet.Admin(ctx, e.Request)
	done := authority.AdminDone{Op: e.Op, Request: e.Request, Status: status, Now: s.deps.Now()}
	if err != nil {
		done.Error = err.Error()
	}
	s.post(done)
}

// logEvent writes one event to the log and increments its counter.
func (s *Service) logEvent(e authority.LogEvent) {
	counter := s.counters[e.Name]
	if counter == nil {
		counter = s.deps.Metrics.Int(metricGroup, e.Name)
		s.counters[e.Name] = counter
	}
	counter.Add(1)
	if e.Alarm {
		s.deps.Log.Error(e.Name, e.Fields...)
		return
	}
	s.deps.Log.Info(e.Name, e.Fields...)
}

// pendingCalls holds the incoming peer calls that wait for a reply of the machine.
type pendingCalls struct {
	mu      sync.Mutex // guards next and replies
	next    uint64
	replies map[uint64]chan authority.LeaseReply
}

func (c *pendingCalls) open() (uint64, chan authority.LeaseReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.next++
	reply := make(chan authority.LeaseReply, 1)
	c.replies[c.next] = reply
	return c.next, reply
}

func (c *pendingCalls) reply(call uint64, r authority.LeaseReply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ch, ok := c.replies[call]; ok {
		ch <- r
		delete(c.replies, call)
	}
}

func (c *pendingCalls) close(call uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.replies, call)
}

// mustEncode encodes a message body. It panics on failure, because message bodies
// always encode.
func mustEncode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(&EncodeError{Cause: err})
	}
	return body
}

// newIncarnation returns a random identifier of this start of the VM.
func newIncarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
