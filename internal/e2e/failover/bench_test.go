// Package failover_test runs real proxies over the stand-ins through each row of
// the failure table in docs/design/failover.md.
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

// fleets bounds the fleets that run at the same time.
var fleetSlots = make(chan struct{}, 4)

const (
	startAttempts = 3

	database           = "orders1" // its first primary is orders1-a in salish-a
	leaseConfirmedKind = "notes"   // writes that a lease confirms
	waitTimeout        = 40 * time.Second
	pollInterval       = 20 * time.Millisecond
)

// bench is a deployment with proxies and writers.
type testbed struct {
	Gomega
	t        *testing.T
	demo     *demo.Demo
	standIns *deployment.Deployment
	proxies  []*proxy.Proxy

	ctx     context.Context
	cancel  context.CancelFunc
	writers sync.WaitGroup

	mu           sync.Mutex // guards the fields below
	replicaAcked []string   // keys of writes that a replica had confirmed
	leaseAcked   []string   // keys of writes that a lease may have confirmed
	notRun       []string   // keys of writes that were reported as not run or cancelled
	unexpected   []string   // errors that are neither not run nor unknown
	lastAck      time.Time
}

// start runs six proxies over bright-spokes, with writers through those that
// are not in the data centre of the first primary.
func startTestbed(t *testing.T) *testbed {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale, o.Record = 6, 0, true
	fleetSlots <- struct{}{}
	t.Cleanup(func() { <-fleetSlots })
	b := &testbed{Gomega: NewWithT(t), t: t}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.demo = startDemo(b, o)
	b.standIns, b.proxies = b.demo.Stands, b.demo.Proxies
	t.Cleanup(b.stop)
	entry := catalogue.Entry{
		Name: database + "." + leaseConfirmedKind, Kind: leaseConfirmedKind, Owner: "office", Database: database,
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmAny, Deadline: 5000,
	}
	_, err := b.standIns.Platform.Put(platform.KindCatalogue, entry.Name, entry)
	b.Expect(err).NotTo(HaveOccurred())
	for i, vm := range b.standIns.VMs {
		if vm.DataCentre != "salish-a" {
			b.startWriter(b.proxies[i].CallerAddr(), "", fmt.Sprintf("r%d", i), &b.replicaAcked)
			b.startWriter(b.proxies[i].CallerAddr(), leaseConfirmedKind, fmt.Sprintf("l%d", i), &b.leaseAcked)
		}
	}
	b.waitForWrites()
	return b
}

// startDemo starts the proxies, again when another process has taken a port
// between its choice and its use.
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
	b.standIns.Close()
}

// write sends inserts one after another until the bench ends.
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
			_ = conn.Close(context.Background()) // the writes' errors count
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
	o, ok := b.standIns.Platform.Get(platform.KindGroup, database)
	b.Expect(ok).To(BeTrue())
	var g topology.Group
	b.Expect(json.Unmarshal(o.Value, &g)).To(Succeed())
	return g
}

func (b *testbed) serverGroup() *pgserver.Group { return b.standIns.Groups[database] }

// waitForWrites waits until writes of both kinds are acknowledged from now on.
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

// waitForPrimary waits for a primary of a term after the given one.
func (b *testbed) waitForPrimary(after uint64) topology.Group {
	b.t.Helper()
	b.Eventually(func() bool {
		g := b.groupObject()
		return g.Term > after && g.Promotion == nil && g.Primary != ""
	}, waitTimeout, pollInterval).Should(BeTrue(), "a promotion ends; group %+v", b.groupObject())
	return b.groupObject()
}

// home returns the index of the proxy that is home of a server.
func (b *testbed) homeIndex(server string) int {
	for i, vm := range b.standIns.VMs {
		if b.proxies[0].Snapshot().Homes[server] == vm.ID {
			return i
		}
	}
	return 0
}

// check ends the faults and checks what must hold after every failure.
func (b *testbed) checkInvariants() {
	b.t.Helper()
	b.Expect(b.standIns.Fault("heal")).To(Succeed())
	b.waitForWrites()
	b.cancel()
	b.writers.Wait()
	b.Expect(b.serverGroup().DoublePromotions()).To(BeZero())
	b.Expect(b.unexpected).To(BeEmpty())
	data := b.standIns.Server(b.groupObject().Primary).Data()
	for _, key := range b.replicaAcked {
		b.Expect(data).To(HaveKey(key), "a write that a replica confirmed is kept")
	}
	for _, key := range b.notRun {
		b.Expect(data).NotTo(HaveKey(key), "a write that did not run or was cancelled")
	}
	b.waitForReplicas()
}

// checkFollowers waits until every server has the primary's data.
func (b *testbed) waitForReplicas() {
	b.t.Helper()
	for _, s := range b.serverGroup().Servers() {
		b.Eventually(func() bool {
			primary := b.standIns.Server(b.groupObject().Primary)
			return len(s.Data()) == len(primary.Data())
		}, waitTimeout, pollInterval).Should(BeTrue(), "%s follows", s.ID())
	}
}
