package deployment

import (
	"time"

	"egretroad/internal/catalogue"
)

// Names of the deployments.
const (
	BrightSpokes = "bright-spokes"
	CabraRonda   = "cabra-ronda"
)

// dataCentre is one data centre of a plan.
type dataCentre struct{ name, region string }

// plan holds the sizes and latencies of a deployment.
type plan struct {
	dataCentres    []dataCentre
	databases      []string
	slots          int
	maxConnections int
	connectDelay   time.Duration
	regionLatency  time.Duration // there and back between regions; also the replicas' lag
	serviceTime    time.Duration
	kinds          []catalogue.Entry // database and name are filled in for each database
}

const serviceTime = 500 * time.Microsecond

var plans = map[string]plan{
	BrightSpokes: {
		dataCentres:    []dataCentre{{"salish-a", "salish"}, {"willamette-a", "willamette"}, {"inland-a", "inland"}},
		databases:      []string{"orders1", "orders2", "orders3"},
		slots:          2,
		maxConnections: 16,
		connectDelay:   10 * time.Millisecond,
		regionLatency:  20 * time.Millisecond,
		serviceTime:    serviceTime,
		kinds: []catalogue.Entry{
			{
				Kind: "orders", Owner: "shop-buyers", Default: true,
				Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmReplica,
				FloorPercent: 40, Deadline: 5000, IdleInTxn: 10_000,
			},
			{
				Kind: "stock", Owner: "warehouse",
				Rank: catalogue.RankReads, Access: catalogue.AccessRead, Repeatable: true,
				FloorPercent: 20, Deadline: 2000, IdleInTxn: 10_000,
			},
			{
				Kind: "grants", Owner: "grant-coordinators",
				Rank: catalogue.RankReads, Access: catalogue.AccessRead, Repeatable: true, MaxAge: 5000,
				FloorPercent: 10, Deadline: 2000, IdleInTxn: 10_000,
			},
			{
				Kind: "reports", Owner: "office",
				Rank: catalogue.RankReports, Access: catalogue.AccessRead, Repeatable: true, MaxAge: 30_000,
				FloorPercent: 10, Deadline: 10_000, IdleInTxn: 10_000,
			},
		},
	},
	CabraRonda: {
		dataCentres:    []dataCentre{{"mixco", "mixco"}, {"xela", "xela"}, {"zacapa", "zacapa"}},
		databases:      []string{"ledger1", "ledger2", "ledger3"},
		slots:          5,
		maxConnections: 55,
		connectDelay:   30 * time.Millisecond,
		regionLatency:  20 * time.Millisecond,
		serviceTime:    serviceTime,
		kinds: []catalogue.Entry{
			{
				Kind: "tallies", Owner: "herders", Default: true,
				Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmReplica,
				FloorPercent: 40, Deadline: 5000, IdleInTxn: 10_000,
			},
			{
				Kind: "routes", Owner: "drivers",
				Rank: catalogue.RankReads, Access: catalogue.AccessRead, Repeatable: true,
				FloorPercent: 20, Deadline: 5000, IdleInTxn: 10_000,
			},
			{
				Kind: "reports", Owner: "office",
				Rank: catalogue.RankReports, Access: catalogue.AccessRead, Repeatable: true, MaxAge: 30_000,
				FloorPercent: 20, Deadline: 10_000, IdleInTxn: 10_000,
			},
		},
	},
}

// entries returns the catalogue entries of a database.
func (p plan) entries(database string) []catalogue.Entry {
	all := make([]catalogue.Entry, 0, len(p.kinds))
	for _, e := range p.kinds {
		e.Name = database + "." + e.Kind
		e.Database = database
		all = append(all, e)
	}
	return all
}
