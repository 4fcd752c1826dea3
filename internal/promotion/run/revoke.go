package run

import (
	"context"
	"errors"
	"slices"
	"sort"
	"sync"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/clock"
	"egretroad/internal/peer"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
	"egretroad/internal/promotion"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// acknowledgeRequest is the request of method.Acknowledge.
type acknowledgeRequest struct {
	Database    string               `msgpack:"d"`
	Designation topology.Designation `msgpack:"n"`
	OldPrimary  string               `msgpack:"o"` // server ID
	List        uint64               `msgpack:"l"` // digest of the list of VMs that the requester knows
}

// acknowledgeResponse is the response of method.Acknowledge.
type acknowledgeResponse struct {
	Acknowledged bool                `msgpack:"a"`
	Connected    bool                `msgpack:"c"` // the VM has a connection to the old primary
	Epoch        uint64              `msgpack:"e"` // latest epoch of the store that the VM knows
	History      primacy.ListHistory `msgpack:"h"`
}

// acknowledge asks all listed VMs to use no other primary than the designated one. If
// some do not respond, it also tries to make the old primary a replica.
func (x *Executor) acknowledge(ctx context.Context, e promotion.Acknowledge) reducer.Event {
	acks := x.collectAcknowledgements(ctx, e)
	result := promotion.Acknowledged{Database: e.Database, Token: e.Designation.Token, SafeAt: primacy.SafeAt(acks.members, acks.received)}
	for vm := range acks.asked {
		if !acks.from(vm) {
			result.Silent = append(result.Silent, vm)
		}
	}
	sort.Strings(result.Silent)
	x.logTally(e, acks)
	if len(result.Silent) > 0 && e.OldPrimary != "" {
		result.SteppedDown = x.stepDownThrough(ctx, acks.connected, stepDownRequest{Server: e.OldPrimary, Term: e.Term})
	}
	return result
}

// logTally logs which VMs determine the wait of a promotion.
func (x *Executor) logTally(e promotion.Acknowledge, acks *acknowledgements) {
	acked := map[string]bool{}
	for _, a := range acks.received {
		acked[a.VM] = true
	}
	t := acks.members.Tally(acked)
	x.deps.Log.Info("acknowledgements_counted", "database", e.Database, "token", e.Designation.Token, "acknowledged", len(acked),
		"stayed", t.Stayed, "silent", t.Silent, "left", t.Left, "changes_known", acks.members.Known, "list_known", len(acks.members.Listed) > 0)
}

// acknowledgements are the VMs that have acknowledged a designation.
type acknowledgements struct {
	mu        sync.Mutex      // guards the fields below
	asked     map[string]bool // including this VM
	received  []primacy.Acknowledgement
	connected []string // VMs among them that are connected to the old primary
	members   primacy.Members
	histories map[string]primacy.ListHistory // by VM
}

func (a *acknowledgements) add(vm string, r acknowledgeResponse) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.received = append(a.received, primacy.Acknowledgement{VM: vm, At: clock.Boottime()})
	a.histories[vm] = r.History
	if r.Connected {
		a.connected = append(a.connected, vm)
	}
}

func (a *acknowledgements) from(vm string) bool {
	return slices.ContainsFunc(a.received, func(ack primacy.Acknowledgement) bool { return ack.VM == vm })
}

// notAsked marks VMs as asked and returns those that were not.
func (a *acknowledgements) notAsked(vms []string) []string {
	a.mu.Lock()
	defer a.mu.Unlock()
	var added []string
	for _, vm := range vms {
		if !a.asked[vm] {
			a.asked[vm] = true
			added = append(added, vm)
		}
	}
	return added
}

// collectAcknowledgements asks all listed VMs to acknowledge a designation: at once those
// that this VM knows, and the others when the list has been read.
func (x *Executor) collectAcknowledgements(ctx context.Context, e promotion.Acknowledge) *acknowledgements {
	ctx, cancel := context.WithTimeout(ctx, acknowledgeTimeout)
	defer cancel()
	announced := x.deps.Source.Snapshot().Listed
	acks := &acknowledgements{asked: map[string]bool{x.deps.Self: true}, histories: map[string]primacy.ListHistory{}}
	acks.add(x.deps.Self, acknowledgeResponse{Connected: true, History: x.deps.Primacy.Ledger().ListHistory(clock.Boottime(), 0)})
	var calls sync.WaitGroup
	ask := func(vms []string) {
		for _, vm := range acks.notAsked(vms) {
			calls.Go(func() { x.askToAcknowledge(ctx, vm, e, acks) })
		}
	}
	ask(announced)
	calls.Go(func() {
		listed := x.listAfterClaim(e.Designation.Token)
		members := x.deps.Primacy.Ledger().Members(listed, announced, clock.Boottime())
		acks.mu.Lock()
		acks.members = members
		acks.mu.Unlock()
		ask(members.Listed)
	})
	calls.Wait()
	for _, h := range acks.histories {
		acks.members.Include(h)
	}
	return acks
}

// listAfterClaim returns a list of VMs that was read after a claim was written; none if it
// cannot be read.
func (x *Executor) listAfterClaim(token uint64) primacy.FreshList {
	if list, found := x.takePeerList(token); found {
		return list
	}
	list, err := x.deps.Primacy.ReadList()
	if err != nil {
		x.deps.Log.Warn("vm_list_unknown", "token", token, "error", err)
	}
	return list.Fresh()
}

// askToAcknowledge asks one VM to acknowledge a designation.
func (x *Executor) askToAcknowledge(ctx context.Context, vm string, e promotion.Acknowledge, acks *acknowledgements) {
	request := acknowledgeRequest{Database: e.Database, Designation: e.Designation, OldPrimary: e.OldPrimary, List: x.deps.Primacy.Ledger().Known().List}
	var response acknowledgeResponse
	if err := peer.CallMsgpack(ctx, x.deps.Peers, vm, method.Acknowledge, &request, &response); err != nil {
		x.deps.Log.Warn("designation_not_acknowledged", "vm", vm, "database", e.Database, "error", err)
		return
	}
	x.deps.Primacy.Ledger().ConfirmEpoch(response.Epoch)
	if response.Acknowledged {
		acks.add(vm, response)
	}
}

// serveAcknowledge records another VM's designation. It is not acknowledged while a
// promotion call of this VM with a lower token is in flight, nor if it is of an earlier
// epoch of the store, which may have lost it.
func (x *Executor) serveAcknowledge(_ context.Context, _ string, body []byte) ([]byte, error) {
	var r acknowledgeRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	x.deps.Primacy.Record(r.Database, r.Designation)
	x.mu.Lock()
	token, calling := x.calls[r.Database]
	x.mu.Unlock()
	epoch := x.deps.Primacy.Ledger().Epoch()
	return msgpack.Marshal(&acknowledgeResponse{
		Acknowledged: (!calling || token >= r.Designation.Token) && platform.EpochOf(r.Designation.Token) >= epoch,
		Epoch:        epoch,
		History:      x.deps.Primacy.Ledger().ListHistory(clock.Boottime(), r.List),
		Connected:    r.OldPrimary != "" && x.deps.Local.Connected(r.OldPrimary),
	})
}

// stepDownRequest is the request of method.StepDown.
type stepDownRequest struct {
	Server string `msgpack:"s"`
	Term   uint64 `msgpack:"t"` // term from which on the server is replaced
}

// stepDownResponse is the response of method.StepDown.
type stepDownResponse struct {
	Done bool `msgpack:"d"` // the server is a replica
}

// stepDown makes a replaced primary a replica through the VMs that are connected to it.
func (x *Executor) stepDown(ctx context.Context, e promotion.StepDown) reducer.Event {
	if e.Candidate && !x.isNewest(ctx, e.Database, e.Server, e.Token) {
		return promotion.SteppedDown{Database: e.Database, Server: e.Server}
	}
	snapshot := x.deps.Source.Snapshot()
	vms := []string{snapshot.Self}
	for id := range snapshot.VMs {
		if id != snapshot.Self {
			vms = append(vms, id)
		}
	}
	done := x.stepDownThrough(ctx, vms, stepDownRequest{Server: e.Server, Term: e.Term})
	return promotion.SteppedDown{Database: e.Database, Server: e.Server, Done: done}
}

// isNewest reports whether valid evidence shows that no designation of a group is newer than
// the one with a token.
func (x *Executor) isNewest(ctx context.Context, database, server string, token uint64) bool {
	err := x.deps.Primacy.Permit(ctx, database, server) // refreshes expired evidence
	ledger := x.deps.Primacy.Ledger()
	d := ledger.Designation(database)
	valid := ledger.ValidUntil() > clock.Boottime()
	if !valid || d.Token != token {
		x.deps.Log.Info("step_down_given_up", "database", database, "server", server, "token", token, "newest", d.Token, "evidence", valid, "error", err)
	}
	return valid && d.Token == token
}

// stepDownThrough asks VMs in parallel to make a server a replica, and reports whether
// one of them succeeded.
func (x *Executor) stepDownThrough(ctx context.Context, vms []string, r stepDownRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, stepDownTimeout)
	defer cancel()
	results := make(chan bool, len(vms))
	for _, vm := range vms {
		go func() {
			if vm == x.deps.Self {
				results <- x.stepDownLocally(ctx, r)
				return
			}
			var response stepDownResponse
			err := peer.CallMsgpack(ctx, x.deps.Peers, vm, method.StepDown, &r, &response)
			results <- err == nil && response.Done // a VM that does not respond confirms nothing
		}()
	}
	for range vms {
		if <-results {
			return true
		}
	}
	return false
}

// stepDownLocally makes a server a replica through a connection of this VM.
func (x *Executor) stepDownLocally(ctx context.Context, r stepDownRequest) bool {
	status, err := x.deps.Local.StepDown(ctx, r.Server, r.Term)
	x.deps.Log.Info("step_down", "server", r.Server, "term", r.Term, "primary", status.Primary, "server_term", status.Term, "error", err)
	return err == nil && !status.Primary
}

// serveStepDown makes a server a replica for another VM if this VM is connected to it.
func (x *Executor) serveStepDown(ctx context.Context, _ string, body []byte) ([]byte, error) {
	var r stepDownRequest
	if err := peer.DecodeBody(body, &r); err != nil {
		return nil, err
	}
	var response stepDownResponse
	if x.deps.Local.Connected(r.Server) {
		response.Done = x.stepDownLocally(ctx, r)
	}
	return msgpack.Marshal(&response)
}

// promote makes the promotion call and retries it until there is a response. Each
// attempt names the same server and token, and none is sent once a newer designation is
// known or this VM's evidence has expired.
func (x *Executor) promote(ctx context.Context, e promotion.Promote) reducer.Event {
	ctx, cancel := context.WithTimeout(ctx, promoteTimeout)
	defer cancel()
	result := promotion.PromoteResult{Call: e.Call}
	for {
		err := x.promoteOnce(ctx, e.Call)
		result.Err = err
		var refused *promotion.RefusedError
		var superseded *promotion.SupersededError
		var unanswered *promotion.UnansweredError
		if err == nil || errors.As(err, &refused) || errors.As(err, &superseded) {
			return result
		}
		result.Unanswered = result.Unanswered || errors.As(err, &unanswered)
		select {
		case <-ctx.Done():
			return result
		case <-time.After(promoteRetryDelay):
		}
	}
}

func (x *Executor) promoteOnce(ctx context.Context, call promotion.Call) error {
	x.mu.Lock()
	x.calls[call.Database] = call.Token
	x.mu.Unlock()
	defer func() {
		x.mu.Lock()
		delete(x.calls, call.Database)
		x.mu.Unlock()
	}()
	err := x.deps.Primacy.Permit(ctx, call.Database, call.Server)
	ledger := x.deps.Primacy.Ledger()
	if d := ledger.Designation(call.Database); d.Token != call.Token || platform.EpochOf(call.Token) < ledger.Epoch() {
		return &promotion.SupersededError{Call: call, Newer: d}
	}
	if err != nil {
		return err
	}
	if err := x.recordCalled(ctx, call); err != nil {
		return err
	}
	return x.deps.Promoter.Promote(ctx, call)
}
