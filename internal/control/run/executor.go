package run

import (
	"context"
	"encoding/json"
	"errors"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/control"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// executor executes the effects of the control machine. Blocking calls run in
// goroutines of their own.
type executor struct {
	opts      Options
	store     platform.Store
	peers     peer.Caller
	publisher *topology.Publisher
	register  func(ctx context.Context) error // nil: VMs do not register themselves
	log       hclog.Logger
	post      func(reducer.Event)

	ctx       context.Context
	cancel    context.CancelFunc
	calls     sync.WaitGroup
	ready     chan struct{}
	readyOnce sync.Once

	mu             sync.Mutex // guards cancelWatch, nextRequestID and pendingFetches
	cancelWatch    context.CancelFunc
	nextRequestID  uint64
	pendingFetches map[uint64]chan control.FetchReply

	messagesSent *expvar.Int
	sentBytes    *expvar.Int
	published    *expvar.Int
	alarms       *expvar.Int
	revision     *expvar.Int  // highest revision in the snapshot
	vms          *expvar.Int  // VMs in the snapshot
	watching     *expvar.Int  // 1: this VM watches the store
	kindsListed  *expvar.Int  // kinds of objects that a watch of this VM covers
	invalid      *expvar.Int  // objects whose newest version is invalid
	withoutValue *expvar.Int  // those among them of which nothing is in force
	awaitsRejoin *expvar.Int  // 1: the other VMs hold this one for dead
	contact      atomic.Int64 // time up to which the store's changes have been read, on CLOCK_BOOTTIME; 0: never
}

func newExecutor(o Options, d Deps) *executor {
	ctx, cancel := context.WithCancel(context.Background())
	x := &executor{
		opts:           o,
		store:          d.Store,
		peers:          d.Peers,
		publisher:      d.Publisher,
		register:       d.RegisterSelf,
		log:            d.Log,
		ctx:            ctx,
		cancel:         cancel,
		ready:          make(chan struct{}),
		pendingFetches: make(map[uint64]chan control.FetchReply),
		messagesSent:   d.Metrics.Int("control", "messages_sent"),
		sentBytes:      d.Metrics.Int("control", "message_bytes_sent"),
		published:      d.Metrics.Int("control", "snapshots_published"),
		alarms:         d.Metrics.Int("control", "alarms"),
		revision:       d.Metrics.Int("control", "revision"),
		vms:            d.Metrics.Int("control", "vms"),
		watching:       d.Metrics.Int("control", "watching"),
		kindsListed:    d.Metrics.Int("control", "kinds_listed"),
		invalid:        d.Metrics.Int("control", "objects_invalid"),
		withoutValue:   d.Metrics.Int("control", "objects_without_value"),
		awaitsRejoin:   d.Metrics.Int("control", "awaits_rejoin"),
	}
	started := clock.Boottime()
	d.Metrics.Gauge("control_watch_age_seconds", "Time since the store last answered the watch on which this VM depends, or since the start if it never has.", func() float64 {
		return (clock.Boottime() - max(time.Duration(x.contact.Load()), started)).Seconds()
	})
	return x
}

// Execute implements reducer.Executor.
func (x *executor) Execute(_ context.Context, effect reducer.Effect, post func(reducer.Event)) bool {
	switch e := effect.(type) {
	case control.Notify:
		x.notify(e)
	case control.Publish:
		x.publish(e, post)
	case control.ShareObject:
		r := e.Record
		post(reducer.ObjectChanged{Kind: r.Kind, Name: r.Name, Version: r.Version, Deleted: r.Deleted, Value: r.Value, From: e.From})
	case control.WatchState:
		x.reportWatch(e)
	case control.ObjectsState:
		x.invalid.Set(int64(e.Invalid))
		x.withoutValue.Set(int64(e.WithoutValue))
	case control.Log:
		x.writeLog(e)
	case control.ListObjects:
		x.runAsync(func() reducer.Event { return x.list(e.Kind) })
	case control.WatchObjects:
		x.watch(e)
	case control.ProbeStore:
		x.runAsync(func() reducer.Event { return control.StoreProbed{Err: x.store.Probe(x.ctx)} })
	case control.CancelWatch:
		x.cancelCurrentWatch()
	case control.RegisterSelf:
		x.calls.Go(x.registerSelf)
	case control.ListVMs:
		x.runAsync(x.listVMs)
	case control.FetchCopy:
		x.runAsync(func() reducer.Event { return x.fetch(e) })
	case control.ReplyToFetch:
		x.replyToFetch(e)
	case control.WriteStatus:
		x.runAsync(func() reducer.Event { return x.writeStatus(e) })
	default:
		return false
	}
	return true
}

// runAsync runs a call in a goroutine and posts its result as an event.
func (x *executor) runAsync(call func() reducer.Event) {
	x.calls.Go(func() { x.post(call()) })
}

func (x *executor) stop() { x.cancel() }

// wait waits for the calls in flight until ctx is done.
func (x *executor) wait(ctx context.Context) error {
	ended := make(chan struct{})
	go func() {
		x.calls.Wait()
		close(ended)
	}()
	select {
	case <-ended:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// registerTimeout bounds the write of this VM's entry, which the next list of VMs without
// it repeats.
const registerTimeout = 2 * time.Second

func (x *executor) registerSelf() {
	if x.register == nil {
		return
	}
	ctx, cancel := context.WithTimeout(x.ctx, registerTimeout)
	defer cancel()
	if err := x.register(ctx); err != nil {
		x.log.Warn("vm_not_registered", "error", err)
		return
	}
	x.log.Info("vm_entry_restored")
}

func (x *executor) notify(e control.Notify) {
	for _, vm := range e.To {
		x.messagesSent.Add(1)
		x.sentBytes.Add(int64(len(e.Body)))
		x.peers.Notify(vm, e.Method, e.Body)
	}
}

func (x *executor) publish(e control.Publish, post func(reducer.Event)) {
	x.published.Add(1)
	x.revision.Set(int64(e.Snapshot.Revision))
	x.vms.Set(int64(len(e.Snapshot.VMs)))
	x.publisher.Publish(e.Snapshot)
	post(reducer.SnapshotPublished{Snapshot: e.Snapshot})
	if e.Ready {
		x.readyOnce.Do(func() { close(x.ready) })
	}
}

func (x *executor) reportWatch(e control.WatchState) {
	x.contact.Store(int64(e.Contact))
	x.watching.Set(toInt(e.Watching))
	x.kindsListed.Set(int64(e.Kinds))
	x.awaitsRejoin.Set(toInt(e.AwaitsRejoin))
}

// toInt returns 1 for true.
func toInt(b bool) int64 {
	if b {
		return 1
	}
	return 0
}

func (x *executor) writeLog(e control.Log) {
	if e.Alarm {
		x.alarms.Add(1)
		x.log.Warn(e.Event, e.Fields...)
		return
	}
	x.log.Info(e.Event, e.Fields...)
}

func (x *executor) list(kind string) reducer.Event {
	l, err := x.store.List(x.ctx, kind)
	return control.ObjectsListed{Kind: kind, List: l, Err: err}
}

func (x *executor) listVMs() reducer.Event {
	l, err := x.store.VMs(x.ctx)
	return control.VMsListed{List: l, Err: err}
}

func (x *executor) watch(e control.WatchObjects) {
	ctx, cancel := context.WithCancel(x.ctx)
	x.mu.Lock()
	x.cancelWatch = cancel
	x.mu.Unlock()
	x.runAsync(func() reducer.Event {
		defer cancel()
		response, err := x.store.Watch(ctx, e.Kinds, e.Since, e.Wait)
		return control.ObjectsWatched{Kinds: e.Kinds, Since: e.Since, Response: response, Err: err}
	})
}

func (x *executor) cancelCurrentWatch() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.cancelWatch != nil {
		x.cancelWatch()
	}
}

// fetch fetches a peer's copy of objects and members.
func (x *executor) fetch(e control.FetchCopy) reducer.Event {
	ctx, cancel := context.WithTimeout(x.ctx, x.opts.Machine.FetchTimeout)
	defer cancel()
	result := control.PeerFetched{From: e.From, Request: e.Request}
	request, err := msgpack.Marshal(e.Request)
	if err != nil {
		result.Err = &control.MessageError{Method: method.Fetch, Cause: err}
		return result
	}
	reply, err := x.peers.Call(ctx, e.From, method.Fetch, request)
	if err != nil {
		result.Err = err
		return result
	}
	if err := msgpack.Unmarshal(reply, &result.Reply); err != nil {
		result.Err = &control.MessageError{Method: method.Fetch, Cause: err}
	}
	return result
}

// serveFetch handles a peer's fetch. It posts the request to the machine and waits
// for the reply.
func (x *executor) serveFetch(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var request control.FetchRequest
	if err := msgpack.Unmarshal(body, &request); err != nil {
		return nil, &control.MessageError{Method: method.Fetch, Cause: err}
	}
	requestID, replies := x.addPendingFetch()
	defer x.removePendingFetch(requestID)
	x.post(control.FetchRequested{RequestID: requestID, Request: request})
	select {
	case reply := <-replies:
		return msgpack.Marshal(reply)
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-x.ctx.Done():
		return nil, x.ctx.Err()
	}
}

func (x *executor) addPendingFetch() (uint64, chan control.FetchReply) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.nextRequestID++
	replies := make(chan control.FetchReply, 1)
	x.pendingFetches[x.nextRequestID] = replies
	return x.nextRequestID, replies
}

func (x *executor) removePendingFetch(requestID uint64) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.pendingFetches, requestID)
}

func (x *executor) replyToFetch(e control.ReplyToFetch) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if replies, waiting := x.pendingFetches[e.RequestID]; waiting {
		replies <- e.Reply
		delete(x.pendingFetches, e.RequestID)
	}
}

// writeStatus replaces the data centre's status object by compare-and-swap. On a
// conflict the result holds the current version.
func (x *executor) writeStatus(e control.WriteStatus) reducer.Event {
	value, err := json.Marshal(e.Status)
	if err != nil {
		return control.StatusWritten{Version: e.IfVersion, Err: &platform.InvalidValueError{Kind: platform.KindStatus, Name: e.Status.DataCentre, Cause: err}}
	}
	o, err := x.store.Put(x.ctx, platform.KindStatus, e.Status.DataCentre, e.IfVersion, value)
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return control.StatusWritten{Version: conflict.Current.Version, Err: err}
	}
	if err != nil {
		return control.StatusWritten{Version: e.IfVersion, Err: err}
	}
	return control.StatusWritten{Version: o.Version}
}
