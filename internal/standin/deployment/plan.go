package deployment

import (
	"time"

	"egretroad/internal/catalogue"
)

// Names of the available deployments.
const (
	BrightSpokes = "bright-spokes"
	CabraRonda   = "cabra-ronda"
)

// dataCentre is one data centre of a plan.
type dataCentre struct{ name, region string }

// plan defines the topology, sizes, delays and catalogue of a deployment.
type plan struct {
	dataCentres    []dataCentre
	databases      []string
	slots          int
	maxConnections int
	connectDelay   time.Duration
	regionRTT      time.Duration // round trip between regions; also the replication lag
	serviceTime    time.Duration
	entryTemplates []catalogue.Entry // without name and database, which catalogueEntries sets
}

const serviceTime = 500 * time.Microsecond

var plans = map[string]plan{
	BrightSpokes: {
		dataCentres:    []dataCentre{{"salish-a", "salish"}, {"willamette-a", "willamette"}, {"inland-a", "inland"}},
		databases:      []string{"orders1", "orders2", "orders3"},
		slots:          2,
		maxConnections: 16,
		connectDelay:   10 * time.Millisecond,
		regionRTT:      20 * time.Millisecond,
		serviceTime:    serviceTime,
		entryTemplates: []catalogue.Entry{
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
		regionRTT:      20 * time.Millisecond,
		serviceTime:    serviceTime,
		entryTemplates: []catalogue.Entry{
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

// catalogueEntries returns the catalogue entries (one for each kind of work) of a
// database.
func (p plan) catalogueEntries(database string) []catalogue.Entry {
	entries := make([]catalogue.Entry, 0, len(p.entryTemplates))
	for _, e := range p.entryTemplates {
		e.Name = database + "." + e.Kind
		e.Database = database
		entries = append(entries, e)
	}
	return entries
}
