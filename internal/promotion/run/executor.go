// Package run executes the effects of the promotion state machine: it probes primaries,
// queries witnesses and candidates, claims duties in the platform's store and makes
// promotion calls. Each effect runs in its own goroutine and posts its result as an
// event. Decisions are made in package promotion.
package run

import (
	"context"
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
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// Time limits of the steps of a promotion.
const (
	// witnessTimeout bounds the query to a witness, including its probe of the server.
	witnessTimeout = 900 * time.Millisecond
	// candidateTimeout bounds the query for a candidate's replication status.
	candidateTimeout = 700 * time.Millisecond
	// claimTimeout bounds the write of a claim through one VM. A slow store responds
	// within a third of it.
	claimTimeout = 800 * time.Millisecond
	// acknowledgeTimeout bounds the wait for the VMs that acknowledge a designation,
	// stepDownTimeout that for an old primary to become a replica.
	acknowledgeTimeout = 300 * time.Millisecond
	stepDownTimeout    = 400 * time.Millisecond
	// promoteTimeout bounds the promotion call, including retries.
	promoteTimeout = 2 * time.Second
	// promoteRetryDelay is the pause before a call without a response is retried.
	promoteRetryDelay = 200 * time.Millisecond
	// catchUpTimeout bounds the wait for a candidate to receive the rest of a leaving
	// primary's log. It is many times the lag of a healthy replica.
	catchUpTimeout = 800 * time.Millisecond
	// quiesceTimeout bounds the wait for statements in flight at a leaving primary.
	quiesceTimeout = 500 * time.Millisecond
	// catchUpPollInterval is the time between queries for the candidates' positions.
	catchUpPollInterval = 40 * time.Millisecond
)

// Deps are the dependencies of an Executor.
type Deps struct {
	Self        string // ID of this VM
	Incarnation uint64 // incarnation of this VM
	Store       platform.Store
	Peers       broker.Peers
	Local       *broker.Manager
	Router      broker.Broker
	Primacy     Primacy
	Source      topology.Source
	Promoter    promotion.Promoter // nil if the deployment does not support promotion
	Log         hclog.Logger
	Metrics     *metrics.Registry
}

// Primacy holds the designations that this VM knows.
type Primacy interface {
	// Ledger returns the designations.
	Ledger() *primacy.Ledger
	// Permit returns nil if a server is the designated primary of its group now.
	Permit(ctx context.Context, database, server string) error
	// Record adds a designation.
	Record(database string, d topology.Designation)
	// ReadList reads the list of VMs from the store.
	ReadList() (primacy.List, error)
	// SettledEpoch returns the epoch of the store, or an error while its records may lack
	// designations of earlier epochs.
	SettledEpoch(ctx context.Context) (uint64, error)
}

// Executor executes the effects of the promotion machine. It implements
// reducer.Executor.
type Executor struct {
	deps         Deps
	stepDuration *prometheus.HistogramVec
	givenUp      prometheus.Counter // members without which elections went on
	post         func(reducer.Event)

	mu         sync.Mutex               // guards the fields below
	calls      map[string]uint64        // tokens of the promotion calls in flight, by database group
	claimCount uint64                   // claims attempted in this incarnation
	uncalled   map[string]uncalledClaim // by database group
	// peerLists are the lists of VMs that other VMs read after they had written a claim of
	// this one, by token.
	peerLists map[uint64]primacy.FreshList
}

// New returns an executor and registers its peer methods. Call Bind before the first
// effect.
func New(d Deps) *Executor {
	x := &Executor{
		deps: d, calls: map[string]uint64{}, uncalled: map[string]uncalledClaim{}, peerLists: map[uint64]primacy.FreshList{},
		givenUp:      d.Metrics.Counter("promotion_members_given_up_total", "Members of groups with synchronous replicas without which an election went on after its limit.").WithLabelValues(),
		stepDuration: d.Metrics.Latency("promotion_step_seconds", "Time of each step towards a promotion, as this VM took it.", "step"),
	}
	d.Peers.Handle(method.Reach, x.serveReach)
	d.Peers.Handle(method.Acknowledge, x.serveAcknowledge)
	d.Peers.Handle(method.StepDown, x.serveStepDown)
	d.Peers.Handle(method.Claim, x.serveClaim)
	d.Peers.Handle(method.ReadRecord, x.serveReadRecord)
	d.Peers.Handle(method.WriteRecord, x.serveWriteRecord)
	return x
}

// Bind sets the function that receives the results of effects.
func (x *Executor) Bind(post func(reducer.Event)) { x.post = post }

// Execute implements reducer.Executor.
func (x *Executor) Execute(ctx context.Context, effect reducer.Effect, _ func(reducer.Event)) bool {
	switch e := effect.(type) {
	case promotion.Probe:
		x.runAsync("probe", func() reducer.Event { return x.probe(ctx, e) })
	case promotion.QueryWitnesses:
		x.runAsync("ask_witnesses", func() reducer.Event { return x.queryWitnesses(ctx, e) })
	case promotion.Elect:
		x.runAsync("elect", func() reducer.Event { return x.runElection(ctx, e) })
	case promotion.ReadMembers:
		x.runAsync("read_members", func() reducer.Event { return x.readMembers(ctx, e) })
	case promotion.WriteMembers:
		x.runAsync("write_members", func() reducer.Event { return x.writeMembers(ctx, e) })
	case promotion.CheckMembers:
		x.runAsync("check_members", func() reducer.Event { return x.checkMembers(ctx, e) })
	case promotion.ConfirmCandidate:
		x.runAsync("confirm", func() reducer.Event { return x.confirmCandidate(ctx, e) })
	case promotion.ClaimDuty:
		x.runAsync("claim", func() reducer.Event { return x.claimDuty(ctx, e) })
	case promotion.Acknowledge:
		x.runAsync("acknowledge", func() reducer.Event { return x.acknowledge(ctx, e) })
	case promotion.StepDown:
		x.runAsync("step_down", func() reducer.Event { return x.stepDown(ctx, e) })
	case promotion.Promote:
		x.runAsync("promote", func() reducer.Event { return x.promote(ctx, e) })
	case promotion.RecordCallsEnded:
		x.runAsync("record_calls_ended", func() reducer.Event { return x.recordCallsEnded(ctx, e) })
	case promotion.AnnouncePrimary:
		x.runAsync("announce", func() reducer.Event { return control.PrimaryFound{Database: e.Database, Server: e.Server} })
	case promotion.Log:
		x.deps.Log.Info(e.Event, e.Fields...)
	default:
		return false
	}
	return true
}

func (x *Executor) runAsync(step string, call func() reducer.Event) {
	go func() {
		began := clock.Boottime()
		event := call()
		x.stepDuration.WithLabelValues(step).Observe((clock.Boottime() - began).Seconds())
		x.post(event)
	}()
}

// probe checks whether a primary responds and reports for how long it has not.
func (x *Executor) probe(ctx context.Context, e promotion.Probe) reducer.Event {
	err := x.deps.Local.Probe(ctx, e.Server)
	unresponsive, lastError := x.deps.Local.UnresponsiveFor(e.Server)
	if lastError != nil {
		err = lastError
	}
	return promotion.ProbeResult{Database: e.Database, Server: e.Server, UnresponsiveFor: unresponsive, Err: err}
}

// reachResponse is the response of method.Reach.
type reachResponse struct {
	Reached bool `msgpack:"r"`
}

func (x *Executor) queryWitnesses(ctx context.Context, e promotion.QueryWitnesses) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, witnessTimeout)
	defer cancel()
	responses := make(chan *reachResponse, len(e.VMs))
	for _, vm := range e.VMs {
		go func() {
			var response reachResponse
			if err := peer.CallMsgpack(ctx, x.deps.Peers, vm, method.Reach, e.Server, &response); err != nil {
				x.deps.Log.Warn("witness_silent", "vm", vm, "server", e.Server, "error", err)
				responses <- nil
				return
			}
			responses <- &response
		}()
	}
	result := promotion.WitnessReport{Database: e.Database, Server: e.Server}
	for range e.VMs {
		if response := <-responses; response != nil {
			result.Responded++
			if response.Reached {
				result.Reached++
			}
		}
	}
	return result
}

// serveReach probes a server on behalf of another VM.
func (x *Executor) serveReach(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var server string
	if err := peer.DecodeBody(body, &server); err != nil {
		return nil, err
	}
	err := x.deps.Local.Probe(ctx, server)
	return msgpack.Marshal(&reachResponse{Reached: err == nil})
}

// candidateStatus is the response of one candidate.
type candidateStatus struct {
	server  string
	leaving bool
	status  broker.ReplicationStatus
	err     error
}

// runElection returns the candidate that has received the most log. In a hand-over it
// first stops new work at the outgoing primary and then gives the candidates time to
// catch up. If a quorum is required, it returns no candidate rather than one that may
// lack commits.
func (x *Executor) runElection(ctx context.Context, e promotion.Elect) reducer.Event {
	var target topology.Mark
	if e.OutgoingPrimary != "" {
		x.deps.Local.SuspendNewWork(e.OutgoingPrimary, clock.Boottime()+quiesceTimeout+catchUpTimeout+claimTimeout)
		if !x.quiesce(ctx, e.OutgoingPrimary) && e.Quorum > 0 {
			x.deps.Log.Warn("hand_over_not_quiet", "server", e.OutgoingPrimary)
			return promotion.ElectionResult{Database: e.Database}
		}
		proof, err := x.deps.Local.ProvePosition(ctx, e.OutgoingPrimary, 0)
		if err != nil {
			x.deps.Log.Warn("hand_over_position_unknown", "server", e.OutgoingPrimary, "error", err)
		}
		target = proof.Mark
	}
	required := e.Required(!target.IsZero())
	deadline := clock.Boottime() + catchUpTimeout
	for {
		p := x.askCandidates(ctx, e)
		best := p.best
		if best != nil && e.PreferredOnly && !p.preferred {
			x.deps.Log.Warn("designated_server_silent", "database", e.Database, "server", e.Preferred)
			return promotion.ElectionResult{Database: e.Database}
		}
		if best == nil || p.responded < required {
			x.deps.Log.Warn("too_few_candidates", "database", e.Database, "answered", p.responded, "required", required)
			return promotion.ElectionResult{Database: e.Database}
		}
		behind := best.status.Received.Less(target)
		timedOut := clock.Boottime() > deadline
		if behind && timedOut && e.Quorum > 0 {
			x.deps.Log.Warn("candidate_behind", "database", e.Database, "server", best.server, "received", best.status.Received.Position, "target", target.Position)
			return promotion.ElectionResult{Database: e.Database}
		}
		if !behind || timedOut {
			x.reportGivenUp(e, best)
			return promotion.ElectionResult{
				Database: e.Database, Server: best.server, Position: best.status.Received, AlreadyPrimary: best.status.Primary,
				Term: max(p.term, target.Term),
			}
		}
		time.Sleep(catchUpPollInterval)
	}
}

// reportGivenUp reports the members without which a server was elected.
func (x *Executor) reportGivenUp(e promotion.Elect, elected *candidateStatus) {
	if len(e.GivenUp) == 0 {
		return
	}
	x.givenUp.Add(float64(len(e.GivenUp)))
	x.deps.Log.Error("members_given_up", "database", e.Database, "servers", e.GivenUp, "elected", elected.server,
		"term", elected.status.Received.Term, "received", elected.status.Received.Position)
}

// confirmCandidate checks that the elected server has received as much as every other
// candidate, and as the outgoing primary, now that nothing is acknowledged there any more.
// It gives the server time to receive the rest.
func (x *Executor) confirmCandidate(ctx context.Context, e promotion.ConfirmCandidate) reducer.Event {
	deadline := clock.Boottime() + catchUpTimeout
	e.Preferred = e.Server
	for {
		target := x.outgoingPosition(ctx, e.OutgoingPrimary)
		p := x.askCandidates(ctx, e.Elect)
		complete := p.best != nil && p.best.server == e.Server &&
			(p.responded >= e.Quorum || !target.IsZero() && p.responded >= e.QuorumWithPosition && !p.best.status.Received.Less(target))
		if complete || clock.Boottime() > deadline {
			return promotion.CandidateConfirmed{Database: e.Database, Server: e.Server, Complete: complete}
		}
		time.Sleep(catchUpPollInterval)
	}
}

// outgoingPosition returns the position of the outgoing primary; zero if it is unknown.
func (x *Executor) outgoingPosition(ctx context.Context, server string) topology.Mark {
	if server == "" {
		return topology.Mark{}
	}
	ctx, cancel := context.WithTimeout(ctx, candidateTimeout)
	defer cancel()
	status, err := x.deps.Router.ReplicationStatus(ctx, server)
	if err != nil {
		x.deps.Log.Warn("hand_over_position_unknown", "server", server, "error", err)
		return topology.Mark{}
	}
	return status.Received
}

// quiesce waits until no statement is in flight at the outgoing primary. Its position
// then covers every commit that this VM may acknowledge.
func (x *Executor) quiesce(ctx context.Context, server string) bool {
	ctx, cancel := context.WithTimeout(ctx, quiesceTimeout)
	defer cancel()
	return x.deps.Local.AwaitNoneInFlight(ctx, server)
}

// poll is what the candidates of an election have responded.
type poll struct {
	best      *candidateStatus // nil if none responded
	responded int
	term      uint64 // highest term among them
	preferred bool   // the preferred candidate is among them
}

// askCandidates asks all candidates for their positions. The best one has received the most
// log. A candidate counts only if its log is a part of that of the group.
func (x *Executor) askCandidates(ctx context.Context, e promotion.Elect) poll {
	ctx, cancel := context.WithTimeout(ctx, candidateTimeout)
	defer cancel()
	all := append(slices.Clone(e.Candidates), e.LeavingCandidates...)
	responses := make(chan candidateStatus, len(all))
	for i, id := range all {
		go func() {
			status, err := x.deps.Router.ReplicationStatus(ctx, id)
			responses <- candidateStatus{server: id, leaving: i >= len(e.Candidates), status: status, err: err}
		}()
	}
	var p poll
	var answered []candidateStatus
	for range all {
		response := <-responses
		if response.err != nil {
			x.deps.Log.Warn("candidate_silent", "database", e.Database, "server", response.server, "error", response.err)
			continue
		}
		p.term = max(p.term, response.status.Term)
		answered = append(answered, response)
	}
	for _, candidate := range answered {
		if e.Discards(candidate.server, candidate.status.Received, p.term) {
			x.deps.Log.Warn("candidate_rolled_back", "database", e.Database, "server", candidate.server, "received_term", candidate.status.Received.Term,
				"received", candidate.status.Received.Position, "designated", e.Designation.Server, "term", e.Designation.Term)
			continue
		}
		p.responded++
		p.preferred = p.preferred || candidate.server == e.Preferred
		if p.best == nil || isBetter(e, candidate, *p.best) {
			p.best = &candidate
		}
	}
	return p
}

// isBetter reports whether an election chooses a candidate rather than another. The preferred
// one wins; where commits are acknowledged with replicas, only if it has received as much.
func isBetter(e promotion.Elect, a, b candidateStatus) bool {
	if e.Quorum > 0 && a.status.Received != b.status.Received {
		return b.status.Received.Less(a.status.Received)
	}
	if a.server == e.Preferred || b.server == e.Preferred {
		return a.server == e.Preferred
	}
	return a.preferredTo(b)
}

// preferredTo orders candidates by received position; candidates that are not leaving
// and then lower IDs win ties.
func (a candidateStatus) preferredTo(b candidateStatus) bool {
	switch {
	case a.status.Received != b.status.Received:
		return b.status.Received.Less(a.status.Received)
	case a.leaving != b.leaving:
		return b.leaving
	default:
		return a.server < b.server
	}
}
