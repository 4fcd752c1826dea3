// Package run carries out the effects of the authority machine: calls to the
// platform, to other VMs and to servers, and the lease table of the traffic.
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

// metricGroup names the group of this package's counters.
const metricGroup = "authority"

// Options holds the timings of leases, detection and promotion.
type Options = authority.Options

// DefaultOptions returns the timings for production.
func DefaultOptions() Options { return authority.DefaultOptions() }

// Deps are what the executor works with.
type Deps struct {
	Self      topology.VM
	Store     platform.Store
	Peers     peer.Caller
	Registrar peer.Registrar
	Fleet     txn.Home             // reaches the home of any server
	Now       func() time.Duration // CLOCK_BOOTTIME
	Log       hclog.Logger
	Metrics   *metrics.Registry
}

// Service joins the machine of one VM with its executor and its traffic side.
type Service struct {
	opts     Options
	deps     Deps
	machine  *authority.Machine
	writes   *Writes
	post     atomic.Pointer[func(reducer.Event)]
	calls    callBook
	counters map[string]*expvar.Int // by event; used by the control goroutine only
}

// New returns the service and registers its peer handlers. Bind must be called
// before events flow.
func New(opts Options, deps Deps) *Service {
	s := &Service{
		opts: opts, deps: deps,
		machine:  authority.NewMachine(opts, deps.Self, incarnation()),
		writes:   newWrites(deps),
		calls:    callBook{waiting: map[uint64]chan authority.LeaseReply{}},
		counters: map[string]*expvar.Int{},
	}
	deps.Registrar.Handle(method.LeaseAsk, s.handleLeaseAsk)
	deps.Registrar.Handle(method.Release, s.handleRelease)
	deps.Registrar.Handle(method.Evidence, s.handleEvidence)
	return s
}

// Bind sets the function that queues events on the control goroutine.
func (s *Service) Bind(post func(reducer.Event)) { s.post.Store(&post) }

// Machine returns the reducer.
func (s *Service) Machine() reducer.Machine { return s.machine }

// Executor returns the executor of the machine's effects.
func (s *Service) Executor() reducer.Executor { return s }

// Authority returns the check of writes.
func (s *Service) Authority() txn.Authority { return s.writes }

// Dump describes leases, evidence and promotions. It may only be called on the
// control goroutine, see reducer.Runtime.Inspect.
func (s *Service) Dump() authority.State { return s.machine.Dump() }

// Stop gives up every lease of this VM and tells the delegate, as far as ctx
// allows. Call it once no request is in progress and the runtime has stopped.
func (s *Service) Stop(ctx context.Context) {
	held := s.writes.clear()
	if len(held) == 0 {
		return
	}
	body := encode(authority.LeaseRequest{Dropped: held})
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
	case authority.AskDelegate:
		go s.askDelegate(ctx, e)
	case authority.AnswerAsk:
		s.calls.answer(e.Call, e.Reply)
	case authority.AskRelease:
		go s.askRelease(ctx, e)
	case authority.AnswerRelease:
		s.calls.answer(e.Call, authority.LeaseReply{})
	case authority.SendEvidence:
		s.deps.Peers.Notify(e.To, method.Evidence, encode(authority.EvidenceBody{Items: e.Items}))
	case authority.RunAdmin:
		go s.runAdmin(ctx, e)
	case authority.PublishTable:
		s.writes.publish(e.Table)
	case authority.LogEvent:
		s.logEvent(e)
	default:
		return false
	}
	return true
}

func (s *Service) emit(e reducer.Event) {
	if post := s.post.Load(); post != nil {
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
	s.emit(result)
	if err == nil && e.Kind == platform.KindGroup {
		s.emit(reducer.ObjectChanged{
			Kind: object.Kind, Name: object.Name, Version: object.Version, Deleted: object.Deleted, Value: object.Value, From: "store",
		})
	}
}

// storeResult turns an answer of the platform into an event.
func storeResult(object platform.Object, err error) authority.StoreResult {
	var conflict *platform.ConflictError
	var missing *platform.NotFoundError
	switch {
	case err == nil && object.Deleted:
		return authority.StoreResult{Outcome: authority.StoreNotFound}
	case err == nil:
		return authority.StoreResult{Outcome: authority.StoreOK, Object: object}
	case errors.As(err, &conflict):
		return authority.StoreResult{Outcome: authority.StoreConflict, Object: conflict.Current, Error: err.Error()}
	case errors.As(err, &missing):
		return authority.StoreResult{Outcome: authority.StoreNotFound, Error: err.Error()}
	}
	return authority.StoreResult{Outcome: authority.StoreUnknown, Error: err.Error()}
}

func (s *Service) askDelegate(ctx context.Context, e authority.AskDelegate) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	answer := authority.AskAnswered{Op: e.Op, AskedAt: s.deps.Now()}
	body, err := s.deps.Peers.Call(ctx, e.Delegate, method.LeaseAsk, encode(e.Request))
	var reply authority.LeaseReply
	if err == nil {
		err = msgpack.Unmarshal(body, &reply)
	}
	if err != nil {
		answer.Error = err.Error()
	}
	answer.Granted = reply.Granted
	answer.Now = s.deps.Now()
	s.emit(answer)
}

func (s *Service) askRelease(ctx context.Context, e authority.AskRelease) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	_, err := s.deps.Peers.Call(ctx, e.Holder, method.Release, encode(authority.ReleaseRequest{Lease: e.Lease}))
	s.emit(authority.ReleaseAnswered{Op: e.Op, Released: err == nil, Now: s.deps.Now()})
}

func (s *Service) runAdmin(ctx context.Context, e authority.RunAdmin) {
	ctx, cancel := context.WithTimeout(ctx, e.Timeout)
	defer cancel()
	status, err := s.deps.Fleet.Admin(ctx, e.Request)
	done := authority.AdminDone{Op: e.Op, Request: e.Request, Status: status, Now: s.deps.Now()}
	if err != nil {
		done.Error = err.Error()
	}
	s.emit(done)
}

// logEvent writes one event line and counts it by name.
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

// callBook holds the peer calls that wait for the machine's answer.
type callBook struct {
	mu      sync.Mutex // guards next and waiting
	next    uint64
	waiting map[uint64]chan authority.LeaseReply
}

func (b *callBook) open() (uint64, chan authority.LeaseReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.next++
	reply := make(chan authority.LeaseReply, 1)
	b.waiting[b.next] = reply
	return b.next, reply
}

func (b *callBook) answer(call uint64, r authority.LeaseReply) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if reply, ok := b.waiting[call]; ok {
		reply <- r
		delete(b.waiting, call)
	}
}

func (b *callBook) close(call uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.waiting, call)
}

// encode encodes a message body; such bodies always encode.
func encode(v any) []byte {
	body, err := msgpack.Marshal(v)
	if err != nil {
		panic(&EncodeError{Cause: err})
	}
	return body
}

// incarnation returns a word that differs between two starts.
func incarnation() string {
	var b [8]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}
