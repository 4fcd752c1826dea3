// Package run carries the effects of the promotion machine out.
package run

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/broker"
	"egretroad/internal/clock"
	"egretroad/internal/control"
	"egretroad/internal/metrics"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// Times of the steps.
const (
	// witnessTimeout bounds the question to a witness, which probes the server.
	witnessTimeout = 900 * time.Millisecond
	// standingTimeout bounds the question to a candidate.
	standingTimeout = 700 * time.Millisecond
	// claimTimeout bounds a claim; a slow store answers within a quarter of it.
	claimTimeout = 1500 * time.Millisecond
	// promoteTimeout bounds the promotion call with its repetitions.
	promoteTimeout = 2 * time.Second
	// promoteRetry is the pause before a call without an answer is repeated.
	promoteRetry = 200 * time.Millisecond
	// handOverTimeout bounds the wait for the candidate to receive a leaving
	// primary's log: many times the lag of a healthy replica.
	handOverTimeout = 800 * time.Millisecond
	// quiesceTimeout bounds the wait for statements in progress at a leaving primary.
	quiesceTimeout = 500 * time.Millisecond
	// handOverPoll is the time between two looks at the candidate.
	handOverPoll = 40 * time.Millisecond
)

// Deps are the parts that the executor works with.
type Deps struct {
	Self     string // VM
	Start    uint64 // incarnation
	Store    platform.Store
	Peers    broker.Peers
	Local    *broker.Manager
	Fleet    broker.Broker
	Promoter promotion.Promoter // nil: this deployment lets nobody promote
	Log      hclog.Logger
	Metrics  *metrics.Registry
}

// Executor carries the effects of the promotion machine out.
type Executor struct {
	deps  Deps
	steps *prometheus.HistogramVec
	post  func(reducer.Event)

	mu     sync.Mutex // guards claims
	claims map[string]claim
	count  uint64
}

// claim is the last claim of this VM on a group's duty.
type claim struct {
	version uint64 // of the object, also as last seen
	token   uint64 // 0: none to use
}

// New registers the peer methods. Bind must be called before the first effect.
func New(d Deps) *Executor {
	x := &Executor{
		deps: d, claims: map[string]claim{},
		steps: d.Metrics.Latency("promotion_step_seconds", "Time of each step towards a promotion, as this VM took it.", "step"),
	}
	d.Peers.Handle(method.Reach, x.serveReach)
	return x
}

// Bind sets where results go.
func (x *Executor) Bind(post func(reducer.Event)) { x.post = post }

// Execute implements reducer.Executor.
func (x *Executor) Execute(ctx context.Context, effect reducer.Effect, _ func(reducer.Event)) bool {
	switch e := effect.(type) {
	case promotion.Probe:
		x.run("probe", func() reducer.Event { return x.probe(ctx, e) })
	case promotion.AskWitnesses:
		x.run("ask_witnesses", func() reducer.Event { return x.ask(ctx, e) })
	case promotion.Elect:
		x.run("elect", func() reducer.Event { return x.elect(ctx, e) })
	case promotion.Claim:
		x.run("claim", func() reducer.Event { return x.claim(ctx, e) })
	case promotion.Promote:
		x.run("promote", func() reducer.Event { return x.promote(ctx, e) })
	case promotion.Announce:
		x.run("announce", func() reducer.Event { return control.LeadFound{Database: e.Database, Server: e.Server} })
	case promotion.Log:
		x.deps.Log.Info(e.Event, e.Fields...)
	default:
		return false
	}
	return true
}

func (x *Executor) run(step string, call func() reducer.Event) {
	go func() {
		began := clock.Boottime()
		event := call()
		x.steps.WithLabelValues(step).Observe((clock.Boottime() - began).Seconds())
		x.post(event)
	}()
}

// probe asks a primary for an answer unless it has answered of late.
func (x *Executor) probe(ctx context.Context, e promotion.Probe) reducer.Event {
	err := x.deps.Local.Probe(ctx, e.Server)
	silence, cause := x.deps.Local.Silence(e.Server)
	if cause != nil {
		err = cause
	}
	return promotion.Probed{Database: e.Database, Server: e.Server, Silence: silence, Err: err}
}

// reachAnswer answers method.Reach.
type reachAnswer struct {
	Reached bool `msgpack:"r"`
}

func (x *Executor) ask(ctx context.Context, e promotion.AskWitnesses) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	answers := make(chan *reachAnswer, len(e.VMs))
	for _, vm := range e.VMs {
		go func() {
			var a reachAnswer
			if err := peer.Ask(ctx, x.deps.Peers, vm, method.Reach, e.Server, &a); err != nil {
				x.deps.Log.Warn("witness_silent", "vm", vm, "server", e.Server, "error", err)
				answers <- nil
				return
			}
			answers <- &a
		}()
	}
	result := promotion.WitnessesAsked{Database: e.Database, Server: e.Server}
	for range e.VMs {
		if a := <-answers; a != nil {
			result.Answered++
			if a.Reached {
				result.Reached++
			}
		}
	}
	return result
}

func (x *Executor) serveReach(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var server string
	if err := peer.DecodeBody(body, &server); err != nil {
		return nil, err
	}
	err := x.deps.Local.Probe(ctx, server)
	return msgpack.Marshal(&reachAnswer{Reached: err == nil})
}

// standing is one candidate's answer.
type standing struct {
	server  string
	reserve bool
	value   broker.Standing
	err     error
}

func (x *Executor) elect(ctx context.Context, e promotion.Elect) reducer.Event {
	var target topology.Mark
	if e.HandOver != "" {
		x.deps.Local.Hold(e.HandOver, clock.Boottime()+quiesceTimeout+handOverTimeout+claimTimeout)
		if !x.quiesce(ctx, e.HandOver) && e.Required > 0 {
			x.deps.Log.Warn("hand_over_not_quiet", "server", e.HandOver)
			return promotion.Elected{Database: e.Database}
		}
		proof, err := x.deps.Local.Position(ctx, e.HandOver, 0)
		if err != nil {
			x.deps.Log.Warn("hand_over_position_unknown", "server", e.HandOver, "error", err)
		}
		target = proof.Mark
	}
	end := clock.Boottime() + handOverTimeout
	for {
		best, answered := x.best(ctx, e)
		if best == nil || answered < e.Required {
			x.deps.Log.Warn("too_few_candidates", "database", e.Database, "answered", answered, "required", e.Required)
			return promotion.Elected{Database: e.Database}
		}
		lacks := best.value.Received.Less(target)
		late := clock.Boottime() > end
		if lacks && late && e.Required > 0 {
			x.deps.Log.Warn("candidate_behind", "database", e.Database, "server", best.server, "received", best.value.Received.Position, "target", target.Position)
			return promotion.Elected{Database: e.Database}
		}
		if !lacks || late {
			return promotion.Elected{
				Database: e.Database, Server: best.server, Position: best.value.Received, Leads: best.value.Primary,
			}
		}
		time.Sleep(handOverPoll)
	}
}

// quiesce waits until a server that hands over has answered what was sent to it:
// its position then covers every commit that this VM may acknowledge.
func (x *Executor) quiesce(ctx context.Context, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	return x.deps.Local.Quiesce(ctx, server)
}

// best returns the candidate that received most, nil when none answered, and how
// many answered.
func (x *Executor) best(ctx context.Context, e promotion.Elect) (*standing, int) {
	ctx, cancel := context.WithTimeout(ctx, standingTimeout)
	defer cancel()
	all := append(slices.Clone(e.Candidates), e.Reserve...)
	answers := make(chan standing, len(all))
	for i, id := range all {
		go func() {
			value, err := x.deps.Fleet.Standing(ctx, id)
			answers <- standing{server: id, reserve: i >= len(e.Candidates), value: value, err: err}
		}()
	}
	var best *standing
	answered := 0
	for range all {
		a := <-answers
		if a.err != nil {
			x.deps.Log.Warn("candidate_silent", "database", e.Database, "server", a.server, "error", a.err)
			continue
		}
		answered++
		if best == nil || a.before(*best) {
			best = &a
		}
	}
	return best, answered
}

// before reports whether a candidate is to be preferred to another.
func (a standing) before(b standing) bool {
	switch {
	case a.value.Received != b.value.Received:
		return b.value.Received.Less(a.value.Received)
	case a.reserve != b.reserve:
		return b.reserve
	default:
		return a.server < b.server
	}
}

// claim takes the duty for a group. While the store is away, a claim that this
// VM holds already serves again: nobody else can have claimed meanwhile, or the
// platform refuses the lower token.
func (x *Executor) claim(ctx context.Context, e promotion.Claim) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	x.mu.Lock()
	known := x.claims[e.Database]
	x.count++
	duty := promotion.Duty{Holder: x.deps.Self, Start: x.deps.Start, Claim: x.count}
	x.mu.Unlock()
	version, err := x.write(ctx, e.Database, known.version, duty)
	var unavailable *platform.UnavailableError
	switch {
	case err == nil:
		x.note(e.Database, claim{version: version, token: version})
		return promotion.Claimed{Database: e.Database, Token: version}
	case errors.As(err, &unavailable):
		return promotion.Claimed{Database: e.Database, Token: known.token, Err: err}
	default:
		x.note(e.Database, claim{version: version})
		return promotion.Claimed{Database: e.Database, Err: err}
	}
}

// write claims the duty at a version. It returns the version of the claim, or of
// the object that is there instead.
func (x *Executor) write(ctx context.Context, database string, version uint64, duty promotion.Duty) (uint64, error) {
	value, err := json.Marshal(duty)
	if err != nil {
		return version, &platform.InvalidValueError{Kind: platform.KindDuty, Name: database, Cause: err}
	}
	if version == 0 {
		current, err := x.deps.Store.Get(ctx, platform.KindDuty, database)
		var missing *platform.NotFoundError
		if err != nil && !errors.As(err, &missing) {
			return 0, err
		}
		version = current.Version
	}
	o, err := platform.PutOwn(ctx, x.deps.Store, platform.KindDuty, database, version, value, platform.SameValue(value))
	var conflict *platform.ConflictError
	if errors.As(err, &conflict) {
		return conflict.Current.Version, err
	}
	return o.Version, err
}

func (x *Executor) note(database string, c claim) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims[database] = c
}

// promote makes the call, again while there is no answer: it names the same
// server with the same token, so that repetitions change nothing.
func (x *Executor) promote(ctx context.Context, e promotion.Promote) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	for {
		err := x.deps.Promoter.Promote(ctx, e.Call)
		var refused *promotion.RefusedError
		if err == nil || errors.As(err, &refused) {
			if refused != nil {
				x.drop(e.Call.Database)
			}
			return promotion.Promoted{Call: e.Call, Err: err}
		}
		select {
		case <-ctx.Done():
			return promotion.Promoted{Call: e.Call, Err: err}
		case <-time.After(promoteRetry):
		}
	}
}

// drop forgets a token that was refused; the object's version stays known.
func (x *Executor) drop(database string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.claims[database] = claim{version: x.claims[database].version}
}
