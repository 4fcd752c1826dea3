package flood

import (
	"context"
	"fmt"
	"time"

	"egretroad/internal/admission"
	"egretroad/internal/backend"
	"egretroad/internal/catalogue"
	"egretroad/internal/eventlog"
	"egretroad/internal/home"
	"egretroad/internal/standin/network"
	"egretroad/internal/standin/pgserver"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// deploymentSize describes the backend servers of one deployment.
type deploymentSize struct {
	name         string
	databases    int // number of primaries, all loaded at the same time
	slots        int
	connections  int
	connectDelay time.Duration
}

var deployments = []deploymentSize{
	{name: "bright-spokes", databases: 3, slots: 2, connections: 16, connectDelay: 10 * time.Millisecond},
	{name: "cabra-ronda", databases: 1, slots: 5, connections: 55, connectDelay: 30 * time.Millisecond},
}

// Service times of statements at the stand-in servers.
const (
	shortService  = 12 * time.Millisecond
	reportService = 48 * time.Millisecond
)

// alwaysGranted is a fake authority that grants every lease and confirms every write
// immediately.
type alwaysGranted struct{}

func (alwaysGranted) Held(string, uint64) bool { return true }
func (alwaysGranted) Confirm(context.Context, topology.Mark, catalogue.Confirm) error {
	return nil
}

// target is a database group with the home of its servers.
type target struct {
	deployment deploymentSize
	group      *pgserver.Group
	manager    *home.Manager
}

const (
	primaryID = "db-a"
	replicaID = "db-b"
)

// newTarget starts the servers of a group and their home. index varies the random seed.
func newTarget(d deploymentSize, index int, seed uint64, options admission.Options) (*target, error) {
	var specs []pgserver.ServerSpec
	for i, id := range []string{primaryID, replicaID} {
		specs = append(specs, pgserver.ServerSpec{
			ID: id, DataCentre: "dc1", Addr: fmt.Sprintf("127.0.1.%d:0", 100+i),
			Slots: d.slots, MaxConnections: d.connections, ConnectDelay: d.connectDelay, ServiceTime: shortService,
		})
	}
	group, err := pgserver.NewGroup("db", specs, network.New([]string{"dc1"}), seed+uint64(index))
	if err != nil {
		return nil, err
	}
	t := &target{deployment: d, group: group}
	homeOptions := home.DefaultOptions()
	homeOptions.Admission = options
	homeOptions.Pool.Backend.BindIP = "127.0.1.1"
	t.manager = home.New(homeOptions, home.Deps{
		Self: "vm", Source: topology.NewPublisher(t.snapshot()), Authority: alwaysGranted{}, Log: eventlog.Discard(),
	})
	t.manager.Start()
	return t, nil
}

func (t *target) snapshot() *topology.Snapshot {
	g := &topology.Group{Database: "db", Term: pgserver.FirstTerm, Primary: primaryID}
	homes := map[string]string{}
	for _, s := range t.group.Servers() {
		g.Servers = append(g.Servers, topology.Server{
			ID: s.ID(), Addr: s.Addr(), DataCentre: "dc1", State: topology.ServerActive,
			Slots: t.deployment.slots, MaxConnections: t.deployment.connections,
		})
		homes[s.ID()] = "vm"
	}
	var entries []catalogue.Entry
	for _, f := range allFlows() {
		entries = append(entries, f.entry)
	}
	return &topology.Snapshot{Self: "vm", Groups: map[string]*topology.Group{"db": g}, Homes: homes, Catalogue: catalogue.New(entries)}
}

func (t *target) close() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	t.manager.Stop(ctx)
	t.group.Close()
}

// flow is a stream of identical requests of one catalogue entry.
type flow struct {
	entry   catalogue.Entry
	server  string
	service time.Duration
	sql     func(number int) string
}

// Guaranteed shares of the slots (floors) of reads and reports, in percent.
const (
	readsFloor   = 20
	reportsFloor = 10
)

func ordersFlow() flow {
	return flow{
		entry:  catalogue.Entry{Name: "orders", Kind: "orders", Owner: "sales", Database: "db", Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Deadline: 1000},
		server: primaryID, service: shortService,
		sql: func(n int) string { return fmt.Sprintf("INSERT INTO kv (key, value) VALUES ('%d', 'v')", n) },
	}
}

func readsFlow(name, owner, server string) flow {
	return flow{
		entry:  catalogue.Entry{Name: name, Kind: "reads", Owner: owner, Database: "db", Rank: catalogue.RankReads, Access: catalogue.AccessRead, FloorPercent: readsFloor, Deadline: 1000},
		server: server, service: shortService,
		sql: func(int) string { return "SELECT value FROM kv WHERE key = 'a'" },
	}
}

func reportsFlow() flow {
	sleep := (reportService - shortService).Seconds()
	return flow{
		entry:  catalogue.Entry{Name: "reports", Kind: "reports", Owner: "office", Database: "db", Rank: catalogue.RankReports, Access: catalogue.AccessRead, FloorPercent: reportsFloor, Deadline: 2000},
		server: primaryID, service: reportService,
		sql: func(int) string { return fmt.Sprintf("SELECT pg_sleep(%g)", sleep) },
	}
}

// ownerNames are the owners (teams) in the run that measures their isolation from each
// other; the first one floods.
var ownerNames = []string{"flooding", "quiet1", "quiet2"}

func ownerFlows() []flow {
	var flows []flow
	for _, o := range ownerNames {
		flows = append(flows, readsFlow("reads-"+o, o, replicaID))
	}
	return flows
}

func allFlows() []flow {
	flows := []flow{ordersFlow(), readsFlow("reads", "shop", primaryID), reportsFlow()}
	return append(flows, ownerFlows()...)
}

func (f flow) request() txn.Request {
	e := f.entry
	return txn.Request{
		ID: "r", Database: "db", Server: f.server, Term: pgserver.FirstTerm, Entry: e.Name, Kind: e.Kind, Owner: e.Owner,
		Caller: "c", Rank: e.Rank, Access: e.Access, Timeout: e.Deadline.Duration(), MarkWait: time.Second,
	}
}

func (f flow) batch(n int) txn.Batch {
	return txn.Batch{Messages: backend.AppendQuery(nil, f.sql(n)), MayCommit: f.entry.Access == catalogue.AccessWrite}
}
