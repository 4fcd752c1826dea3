package run

import (
	"context"
	"errors"
	"sync"
	"time"

	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// poll asks replicas in parallel whether they have applied a mark.
type poll struct {
	fleet    txn.Home
	mark     topology.Mark
	progress chan struct{} // signalled after each answer

	mu      sync.Mutex // guards replicas
	asked   map[string]*replicaAnswer
	applies int
}

// replicaAnswer is the state of one replica's question.
type replicaAnswer struct {
	running bool
	applied bool
	err     error
	retryAt time.Time
}

func newPoll(fleet txn.Home, m topology.Mark) *poll {
	return &poll{fleet: fleet, mark: m, progress: make(chan struct{}, 1), asked: map[string]*replicaAnswer{}}
}

// start asks the servers that have not applied the mark and are not being asked.
func (p *poll) start(ctx context.Context, servers []string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		a := p.asked[server]
		if a == nil {
			a = &replicaAnswer{}
			p.asked[server] = a
		}
		if a.running || a.applied || time.Now().Before(a.retryAt) {
			continue
		}
		a.running = true
		go p.ask(ctx, server, a)
	}
}

func (p *poll) ask(ctx context.Context, server string, a *replicaAnswer) {
	status, err := p.fleet.WaitApplied(ctx, server, p.mark)
	if err == nil && (status.Term != p.mark.Term || status.Position < p.mark.Position) {
		err = &NotAppliedError{Status: status, Mark: p.mark}
	}
	p.mu.Lock()
	a.running = false
	a.err = err
	a.retryAt = time.Now().Add(replicaRetry)
	if err == nil {
		a.applied = true
		p.applies++
	}
	p.mu.Unlock()
	select {
	case p.progress <- struct{}{}:
	default:
	}
}

// applied counts the replicas that have applied the mark.
func (p *poll) applied() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.applies
}

// refusedBy reports whether each of the servers has answered with an error.
func (p *poll) refusedBy(servers []string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, server := range servers {
		a := p.asked[server]
		if a == nil || a.err == nil {
			return false
		}
	}
	return true
}

// cause joins the replicas' errors.
func (p *poll) cause() error {
	p.mu.Lock()
	defer p.mu.Unlock()
	var all []error
	for _, a := range p.asked {
		if a.err != nil {
			all = append(all, a.err)
		}
	}
	return errors.Join(all...)
}
