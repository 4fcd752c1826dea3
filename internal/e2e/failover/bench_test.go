// Package failover_test tests failure detection and promotion end to end, for each row
// of the failure table in docs/design/failover.md. A testbed runs proxies and writers
// over stand-ins (fakes) of the backend servers, the network and the platform; a test
// injects a fault and checks that no write confirmed by a replica is lost and that no
// write reported as not run takes effect.
package failover_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/demo"
	"egretroad/internal/eventlog"
	"egretroad/internal/outcome"
	"egretroad/internal/platform"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/standin/pgserver"
	"egretroad/internal/topology"
)

// codeCancelled is the SQLSTATE of a statement whose deadline passed while it ran.
const codeCancelled = "57014"

// fleetSlots limits the number of fleets that run at the same time.
var fleetSlots = make(chan struct{}, 4)

const (
	startAttempts = 3

	database           = "orders1" // its first primary is orders1-a in salish-a
	leaseConfirmedKind = "notes"   // kind of work whose writes a live lease may confirm
	waitTimeout        = 40 * time.Second
	pollInterval       = 20 * time.Millisecond
)

// testbed is a deployment with proxies and writers.
type testbed struct {
	Gomega
	t       *testing.T
	demo    *demo.Demo
	env     *deployment.Deployment
	proxies []*proxy.Proxy

	ctx     context.Context
	cancel  context.CancelFunc
	writers sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	replicaAcked []string   // keys of acknowledged writes that a replica confirmed
	leaseAcked   []string   // keys of acknowledged writes that a lease or a replica confirmed
	notRun       []string   // keys of writes reported as not run or cancelled
	unexpected   []string   // server errors other than not run, cancelled and unknown
	lastAck      time.Time
}

// startTestbed runs six proxies over the deployment bright-spokes, with writers on the
// proxies outside the data centre of the first primary.
func startTestbed(t *testing.T) *testbed {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale, o.Record = 6, 0, true
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	b := &testbed{Gomega: NewWithT(t), t: t}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.demo = startDemo(b, o)
	b.env, b.proxies = b.demo.StandIns, b.demo.Proxies
	t.Cleanup(b.stop)
	entry := catalogue.Entry{
		Name: database + "." + leaseConfirmedKind, Kind: leaseConfirmedKind, Owner: "office", Database: database,
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmAny, Deadline: 5000,
	}
	_, err := b.env.Platform.Put(platform.KindCatalogue, entry.Name, entry)
	b.Expect(err).NotTo(HaveOccurred())
	for i, vm := range b.env.VMs {
		if vm.DataCentre != "salish-a" {
			b.startWriter(b.proxies[i].CallerAddr(), "", fmt.Sprintf("r%d", i), &b.replicaAcked)
			b.startWriter(b.proxies[i].CallerAddr(), leaseConfirmedKind, fmt.Sprintf("l%d", i), &b.leaseAcked)
		}
	}
	b.waitForWrites()
	return b
}

// startDemo starts the deployment and its proxies. It retries if another process binds
// a chosen port before the proxy does.
func startDemo(b *testbed, o deployment.Options) *demo.Demo {
	for range startAttempts - 1 {
		d, err := demo.Start(b.ctx, demo.Options{Deployment: o, Log: eventlog.Discard()})
		var listenErr *proxy.ListenError
		if !errors.As(err, &listenErr) {
			b.Expect(err).NotTo(HaveOccurred())
			return d
		}
	}
	d, err := demo.Start(b.ctx, demo.Options{Deployment: o, Log: eventlog.Discard()})
	b.Expect(err).NotTo(HaveOccurred())
	return d
}

func (b *testbed) stop() {
	b.cancel()
	b.writers.Wait()
	for _, p := range b.proxies {
		p.Kill()
	}
	b.env.Close()
}

// startWriter starts a goroutine that sends inserts one after another until the testbed
// stops, and appends the keys of acknowledged ones to acked.
func (b *testbed) startWriter(addr, kind, prefix string, acked *[]string) {
	dsn := "postgres://w@" + addr + "/" + database + "?sslmode=disable"
	if kind != "" {
		dsn += "&egretroad.work=" + kind
	}
	b.writers.Add(1)
	go func() {
		defer b.writers.Done()
		var conn *pgx.Conn
		for i := 0; b.ctx.Err() == nil; i++ {
			if conn == nil || conn.IsClosed() {
				var err error
				if conn, err = pgx.Connect(b.ctx, dsn); err != nil {
					time.Sleep(pollInterval)
					continue
				}
			}
			key := fmt.Sprintf("%s-%d", prefix, i)
			_, err := conn.Exec(b.ctx, "INSERT INTO kv (key, value) VALUES ($1, 'x')", key)
			b.recordResult(key, err, acked)
			time.Sleep(5 * time.Millisecond)
		}
		if conn != nil {
			_ = conn.Close(context.Background()) // only errors of writes matter
		}
	}()
}

func (b *testbed) recordResult(key string, err error, acked *[]string) {
	if b.ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var pgErr *pgconn.PgError
	switch {
	case err == nil:
		*acked = append(*acked, key)
		b.lastAck = time.Now()
	case errors.As(err, &pgErr) && (pgErr.Code == outcome.CodeNotRun || pgErr.Code == codeCancelled):
		b.notRun = append(b.notRun, key)
	case errors.As(err, &pgErr) && pgErr.Code == outcome.CodeUnknown:
	case errors.As(err, &pgErr):
		b.unexpected = append(b.unexpected, err.Error())
	}
}

func (b *testbed) groupObject() topology.Group {
	o, ok := b.env.Platform.Get(platform.KindGroup, database)
	b.Expect(ok).To(BeTrue())
	var g topology.Group
	b.Expect(json.Unmarshal(o.Value, &g)).To(Succeed())
	return g
}

func (b *testbed) serverGroup() *pgserver.Group { return b.env.Groups[database] }

// waitForWrites waits until more than ten further writes of each kind are acknowledged.
func (b *testbed) waitForWrites() {
	b.t.Helper()
	b.mu.Lock()
	replicaCount, leaseCount := len(b.replicaAcked), len(b.leaseAcked)
	b.mu.Unlock()
	b.Eventually(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.replicaAcked) > replicaCount+10 && len(b.leaseAcked) > leaseCount+10
	}, waitTimeout, pollInterval).Should(BeTrue(), "writes are acknowledged; group %+v", b.groupObject())
}

// waitForPrimary waits until a promotion to a term later than the given one is complete.
func (b *testbed) waitForPrimary(after uint64) topology.Group {
	b.t.Helper()
	b.Eventually(func() bool {
		g := b.groupObject()
		return g.Term > after && g.Promotion == nil && g.Primary != ""
	}, waitTimeout, pollInterval).Should(BeTrue(), "a promotion completes; group %+v", b.groupObject())
	return b.groupObject()
}

// homeIndex returns the index of the proxy that is home of a server, which holds the
// connections to it.
func (b *testbed) homeIndex(server string) int {
	for i, vm := range b.env.VMs {
		if b.proxies[0].Snapshot().Homes[server] == vm.ID {
			return i
		}
	}
	return 0
}

// checkInvariants ends the faults and checks the guarantees that hold after every
// failure.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	b.Expect(b.env.Fault("heal")).To(Succeed())
	b.waitForWrites()
	b.cancel()
	b.writers.Wait()
	b.Expect(b.serverGroup().DoublePromotions()).To(BeZero())
	b.Expect(b.unexpected).To(BeEmpty())
	data := b.env.Server(b.groupObject().Primary).Data()
	for _, key := range b.replicaAcked {
		b.Expect(data).To(HaveKey(key), "a write that a replica confirmed survives")
	}
	for _, key := range b.notRun {
		b.Expect(data).NotTo(HaveKey(key), "a write that was not run or was cancelled has no effect")
	}
	b.waitForReplicas()
}

// waitForReplicas waits until every server has as many rows as the primary.
func (b *testbed) waitForReplicas() {
	b.t.Helper()
	for _, s := range b.serverGroup().Servers() {
		b.Eventually(func() bool {
			primary := b.env.Server(b.groupObject().Primary)
			return len(s.Data()) == len(primary.Data())
		}, waitTimeout, pollInterval).Should(BeTrue(), "%s has caught up with the primary", s.ID())
	}
}
