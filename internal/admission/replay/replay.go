// Package replay runs recorded or generated arrivals against an admission machine in
// simulated time. It reproduces the scheduling decisions of a home (the VM that admits
// the work of a backend server) without its I/O. Tests and measurements use it.
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

// Flow describes a kind of single statements with Poisson arrivals.
type Flow struct {
	Entry     string
	Rank      catalogue.Rank
	PerSecond float64       // mean arrival rate
	Mean      time.Duration // mean service time
	Objective time.Duration // latency objective and deadline; a later answer has no value
	Worth     float64       // value of an answer in time
	From      time.Duration // start of the arrivals
}

// serviceTimeLogStdDev is the standard deviation of the logarithm of service times, as
// observed by callers of order databases.
const serviceTimeLogStdDev = 0.7

// Arrival is one statement of a replay.
type Arrival struct {
	at      time.Duration
	flow    int
	service time.Duration
}

// Tally counts the outcomes of a flow's statements. Statements that end after the
// replay count as offered only.
type Tally struct{ Offered, InTime, Late, Refused int }

// Share returns the fraction of the flow that was answered in time.
func (t Tally) Share() float64 { return float64(t.InTime) / float64(t.Offered) }

// Result holds the tallies of a replay, by flow.
type Result []Tally

// Worth returns the total worth of the statements answered in time.
func (r Result) Worth(flows []Flow) float64 {
	sum := 0.0
	for i, t := range r {
		sum += float64(t.InTime) * flows[i].Worth
	}
	return sum
}

// Arrivals generates the flows' statements until a time, in order of arrival. Service
// times are log-normal.
func Arrivals(flows []Flow, until time.Duration, seed uint64) []Arrival {
	random := rand.New(rand.NewPCG(seed, 1))
	var arrivals []Arrival
	for i, f := range flows {
		for at := f.From; ; {
			at += time.Duration(random.ExpFloat64() / f.PerSecond * float64(time.Second))
			if at >= until {
				break
			}
			factor := math.Exp(serviceTimeLogStdDev*random.NormFloat64() - serviceTimeLogStdDev*serviceTimeLogStdDev/2)
			arrivals = append(arrivals, Arrival{at: at, flow: i, service: time.Duration(factor * float64(f.Mean))})
		}
	}
	sort.Slice(arrivals, func(i, j int) bool { return arrivals[i].at < arrivals[j].at })
	return arrivals
}

// connectionLimit is the connection limit of the replayed server. Single statements need
// one connection per slot.
const connectionLimit = 8

// replayer holds the state of a running replay.
type replayer struct {
	m           *admission.Machine
	flows       []Flow
	arrivals    []Arrival
	length      time.Duration
	completions simtime.Queue[admission.ID] // scheduled ends of statements
	result      Result
}

// Run replays arrivals on a server with the given number of slots. Statements that end
// after length count as neither in time nor late.
func Run(options admission.Options, slots int, flows []Flow, arrivals []Arrival, length time.Duration) Result {
	r := &replayer{m: admission.New(options), flows: flows, arrivals: arrivals, length: length, result: make(Result, len(flows))}
	r.step(admission.Event{Type: admission.EventConfigure, Config: &admission.Config{Slots: slots, ConnectionLimit: connectionLimit}})
	r.step(admission.Event{Type: admission.EventConnections, Connections: connectionLimit})
	for id, a := range arrivals {
		r.finishUntil(a.at)
		f := flows[a.flow]
		r.result[a.flow].Offered++
		r.step(admission.Event{Type: admission.EventOffer, Now: a.at, Work: admission.Work{
			ID: admission.ID(id), Entry: f.Entry, Kind: f.Entry, Owner: f.Entry, Caller: f.Entry, Rank: f.Rank,
			Deadline: a.at + f.Objective,
		}})
	}
	r.finishUntil(length)
	return r.result
}

func (r *replayer) step(e admission.Event) {
	for _, effect := range r.m.Step(e) {
		a := r.arrivals[effect.ID]
		t := &r.result[a.flow]
		if effect.Type == admission.EffectRefuse {
			t.Refused++
			continue
		}
		end := e.Now + a.service
		r.completions.Add(end, effect.ID)
		switch {
		case end > r.length:
		case end-a.at <= r.flows[a.flow].Objective:
			t.InTime++
		default:
			t.Late++
		}
	}
}

func (r *replayer) finishUntil(until time.Duration) {
	for at, id, due := r.completions.Next(until); due; at, id, due = r.completions.Next(until) {
		r.step(admission.Event{Type: admission.EventEnd, Now: at, ID: id})
	}
}

// BestWorth returns an upper bound on the worth that any scheduling order can reach
// within the given slot time, assuming that no statement has to wait. It runs statements
// by rank, if ranks is true, and then by worth per mean service time.
func BestWorth(flows []Flow, arrivals []Arrival, slotTime time.Duration, ranks bool) float64 {
	ordered := append([]Arrival(nil), arrivals...)
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

// ShopSlots is the number of slots of the server that Shop is sized for.
const ShopSlots = 2

// Shop returns the flows of an order database. A load of 1 fully uses ShopSlots slots.
func Shop(load float64) []Flow {
	const requests = ShopSlots / 0.013775 // per second; each takes 13.775 ms of slot time on average
	return []Flow{
		{Entry: "orders", Rank: catalogue.RankOrders, PerSecond: load * requests * 0.15, Mean: 4500 * time.Microsecond, Objective: 500 * time.Millisecond, Worth: 5},
		{Entry: "stock", Rank: catalogue.RankReads, PerSecond: load * requests * 0.15, Mean: 22 * time.Millisecond, Objective: 800 * time.Millisecond, Worth: 1.3},
		{Entry: "review", Rank: catalogue.RankReports, PerSecond: load * requests * 0.70, Mean: 14 * time.Millisecond, Objective: 2 * time.Second, Worth: 1.3},
	}
}
