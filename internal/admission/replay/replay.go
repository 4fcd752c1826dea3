// Package replay plays recorded or drawn loads on an admission machine, in simulated
// time: the decisions of a home without its input and output. Tests and measurements
// use it.
package replay

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/catalogue"
	"egretroad/internal/simtime"
)

// Flow is one kind of single statements that arrives at random.
type Flow struct {
	Entry     string
	Rank      catalogue.Rank
	PerSecond float64
	Mean      time.Duration // of the service time
	Objective time.Duration // an answer after it is worth nothing; work waits until then
	Worth     float64
	From      time.Duration // when it begins to arrive
}

// spread is the standard deviation of the logarithm of service times, as callers of
// order databases see it.
const spread = 0.7

// Arrival is one statement of a replay.
type Arrival struct {
	at      time.Duration
	flow    int
	service time.Duration
}

// Tally is what became of a flow.
type Tally struct{ Offered, InTime, Late, Refused int }

// Share returns the part of the flow that was answered in time.
func (t Tally) Share() float64 { return float64(t.InTime) / float64(t.Offered) }

// Result is the outcome of a replay, by flow.
type Result []Tally

// Worth returns the worth that was answered in time.
func (r Result) Worth(flows []Flow) float64 {
	sum := 0.0
	for i, t := range r {
		sum += float64(t.InTime) * flows[i].Worth
	}
	return sum
}

// Arrivals draws the statements of flows until a time.
func Arrivals(flows []Flow, until time.Duration, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var all []Arrival
	for i, f := range flows {
		for at := f.From; ; {
			at += time.Duration(random.ExpFloat64() / f.PerSecond * float64(time.Second))
			if at >= until {
				break
			}
			factor := math.Exp(spread*random.NormFloat64() - spread*spread/2)
			all = append(all, Arrival{at: at, flow: i, service: time.Duration(factor * float64(f.Mean))})
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].at < all[j].at })
	return all
}

// connections is the limit of the replayed server; single statements need one for
// each slot.
const connections = 8

// player is a replay in progress.
type player struct {
	m      *admission.Machine
	flows  []Flow
	all    []Arrival
	length time.Duration
	ends   simtime.Queue[admission.ID] // of statements
	result Result
}

// Run plays arrivals on a server with some slots. What ends after length counts for
// nothing.
func Run(options admission.Options, slots int, flows []Flow, all []Arrival, length time.Duration) Result {
	p := &player{m: admission.New(options), flows: flows, all: all, length: length, result: make(Result, len(flows))}
	p.step(admission.Event{Type: admission.EventConfigure, Config: &admission.Config{Slots: slots, ConnectionLimit: connections}})
	p.step(admission.Event{Type: admission.EventConnections, Connections: connections})
	for id, a := range all {
		p.finishUntil(a.at)
		f := flows[a.flow]
		p.result[a.flow].Offered++
		p.step(admission.Event{Type: admission.EventOffer, Now: a.at, Work: admission.Work{
			ID: admission.ID(id), Entry: f.Entry, Kind: f.Entry, Owner: f.Entry, Caller: f.Entry, Rank: f.Rank,
			Deadline: a.at + f.Objective,
		}})
	}
	p.finishUntil(length)
	return p.result
}

func (p *player) step(e admission.Event) {
	for _, effect := range p.m.Step(e) {
		a := p.all[effect.ID]
		t := &p.result[a.flow]
		if effect.Type == admission.EffectRefuse {
			t.Refused++
			continue
		}
		end := e.Now + a.service
		p.ends.Add(end, effect.ID)
		switch {
		case end > p.length:
		case end-a.at <= p.flows[a.flow].Objective:
			t.InTime++
		default:
			t.Late++
		}
	}
}

func (p *player) finishUntil(until time.Duration) {
	for at, id, due := p.ends.Next(until); due; at, id, due = p.ends.Next(until) {
		p.step(admission.Event{Type: admission.EventEnd, Now: at, ID: id})
	}
}

// BestWorth returns a bound on the worth that any order can reach in a slot time, as
// if no statement had to wait: by rank if ranks are kept, then by the kinds' worth for
// their mean time.
func BestWorth(flows []Flow, all []Arrival, slotTime time.Duration, ranks bool) float64 {
	ordered := append([]Arrival(nil), all...)
	density := func(f Flow) float64 { return f.Worth / f.Mean.Seconds() }
	sort.SliceStable(ordered, func(i, j int) bool {
		a, b := flows[ordered[i].flow], flows[ordered[j].flow]
		if ranks && a.Rank != b.Rank {
			return a.Rank < b.Rank
		}
		return density(a) > density(b)
	})
	worth := 0.0
	for _, a := range ordered {
		if slotTime -= a.service; slotTime < 0 {
			return worth
		}
		worth += flows[a.flow].Worth
	}
	return worth
}

// ShopSlots is the number of slots of the server that Shop fills.
const ShopSlots = 2

// Shop returns the kinds of an order database at a load; 1 fills ShopSlots slots.
func Shop(load float64) []Flow {
	const requests = ShopSlots / 0.013775 // a second, of 13.775 ms of slot time each
	return []Flow{
		{Entry: "orders", Rank: catalogue.RankOrders, PerSecond: load * requests * 0.15, Mean: 4500 * time.Microsecond, Objective: 500 * time.Millisecond, Worth: 5},
		{Entry: "stock", Rank: catalogue.RankReads, PerSecond: load * requests * 0.15, Mean: 22 * time.Millisecond, Objective: 800 * time.Millisecond, Worth: 1.3},
		{Entry: "review", Rank: catalogue.RankReports, PerSecond: load * requests * 0.70, Mean: 14 * time.Millisecond, Objective: 2 * time.Second, Worth: 1.3},
	}
}
