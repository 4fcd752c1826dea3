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
var fleets = make(chan struct{}, 4)

const (
	startAttempts = 3

	database   = "orders1" // its first primary is orders1-a in salish-a
	leaseKind  = "notes"   // writes that a lease confirms
	waitLimit  = 40 * time.Second
	pollPeriod = 20 * time.Millisecond
)

// bench is a deployment with proxies and writers.
type bench struct {
	Gomega
	t       *testing.T
	demo    *demo.Demo
	stands  *deployment.Deployment
	proxies []*proxy.Proxy

	ctx    context.Context
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu      sync.Mutex // guards the fields below
	acked   []string   // keys of writes that a replica had confirmed
	byLease []string   // keys of writes that a lease may have confirmed
	notRun  []string   // keys of writes that were reported as not run or cancelled
	other   []string   // errors that are neither not run nor unknown
	lastAck time.Time
}

// start runs six proxies over bright-spokes, with writers through those that
// are not in the data centre of the first primary.
func start(t *testing.T) *bench {
	t.Helper()
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale, o.Record = 6, 0, true
	fleets <- struct{}{}
	t.Cleanup(func() { <-fleets })
	b := &bench{Gomega: NewWithT(t), t: t}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.demo = startDemo(b, o)
	b.stands, b.proxies = b.demo.Stands, b.demo.Proxies
	t.Cleanup(b.stop)
	entry := catalogue.Entry{
		Name: database + "." + leaseKind, Kind: leaseKind, Owner: "office", Database: database,
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmAny, Deadline: 5000,
	}
	_, err := b.stands.Platform.Put(platform.KindCatalogue, entry.Name, entry)
	b.Expect(err).NotTo(HaveOccurred())
	for i, vm := range b.stands.VMs {
		if vm.DataCentre != "salish-a" {
			b.write(b.proxies[i].CallerAddr(), "", fmt.Sprintf("r%d", i), &b.acked)
			b.write(b.proxies[i].CallerAddr(), leaseKind, fmt.Sprintf("l%d", i), &b.byLease)
		}
	}
	b.waitForWrites()
	return b
}

// startDemo starts the proxies, again when another process has taken a port
// between its choice and its use.
func startDemo(b *bench, o deployment.Options) *demo.Demo {
	for range startAttempts - 1 {
		d, err := demo.Start(b.ctx, demo.Options{Deployment: o, Log: eventlog.Discard()})
		var taken *proxy.ListenError
		if !errors.As(err, &taken) {
			b.Expect(err).NotTo(HaveOccurred())
			return d
		}
	}
	d, err := demo.Start(b.ctx, demo.Options{Deployment: o, Log: eventlog.Discard()})
	b.Expect(err).NotTo(HaveOccurred())
	return d
}

func (b *bench) stop() {
	b.cancel()
	b.done.Wait()
	for _, p := range b.proxies {
		p.Kill()
	}
	b.stands.Close()
}

// write sends inserts one after another until the bench ends.
func (b *bench) write(addr, kind, prefix string, acked *[]string) {
	dsn := "postgres://w@" + addr + "/" + database + "?sslmode=disable"
	if kind != "" {
		dsn += "&egretroad.work=" + kind
	}
	b.done.Add(1)
	go func() {
		defer b.done.Done()
		var conn *pgx.Conn
		for i := 0; b.ctx.Err() == nil; i++ {
			if conn == nil || conn.IsClosed() {
				var err error
				if conn, err = pgx.Connect(b.ctx, dsn); err != nil {
					time.Sleep(pollPeriod)
					continue
				}
			}
			key := fmt.Sprintf("%s-%d", prefix, i)
			_, err := conn.Exec(b.ctx, "INSERT INTO kv (key, value) VALUES ($1, 'x')", key)
			b.note(key, err, acked)
			time.Sleep(5 * time.Millisecond)
		}
		if conn != nil {
			_ = conn.Close(context.Background()) // the writes' errors count
		}
	}()
}

func (b *bench) note(key string, err error, acked *[]string) {
	if b.ctx.Err() != nil {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	var refused *pgconn.PgError
	switch {
	case err == nil:
		*acked = append(*acked, key)
		b.lastAck = time.Now()
	case errors.As(err, &refused) && (refused.Code == outcome.CodeNotRun || refused.Code == codeCancelled):
		b.notRun = append(b.notRun, key)
	case errors.As(err, &refused) && refused.Code == outcome.CodeUnknown:
	case errors.As(err, &refused):
		b.other = append(b.other, err.Error())
	}
}

func (b *bench) group() topology.Group {
	o, ok := b.stands.Platform.Get(platform.KindGroup, database)
	b.Expect(ok).To(BeTrue())
	var g topology.Group
	b.Expect(json.Unmarshal(o.Value, &g)).To(Succeed())
	return g
}

func (b *bench) servers() *pgserver.Group { return b.stands.Groups[database] }

// waitForWrites waits until writes of both kinds are acknowledged from now on.
func (b *bench) waitForWrites() {
	b.t.Helper()
	b.mu.Lock()
	replica, lease := len(b.acked), len(b.byLease)
	b.mu.Unlock()
	b.Eventually(func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.acked) > replica+10 && len(b.byLease) > lease+10
	}, waitLimit, pollPeriod).Should(BeTrue(), "writes are acknowledged; group %+v", b.group())
}

// waitForPrimary waits for a primary of a term after the given one.
func (b *bench) waitForPrimary(after uint64) topology.Group {
	b.t.Helper()
	b.Eventually(func() bool {
		g := b.group()
		return g.Term > after && g.Promotion == nil && g.Primary != ""
	}, waitLimit, pollPeriod).Should(BeTrue(), "a promotion ends; group %+v", b.group())
	return b.group()
}

// home returns the index of the proxy that is home of a server.
func (b *bench) home(server string) int {
	for i, vm := range b.stands.VMs {
		if b.proxies[0].Snapshot().Homes[server] == vm.ID {
			return i
		}
	}
	return 0
}

// check ends the faults and checks what must hold after every failure.
func (b *bench) check() {
	b.t.Helper()
	b.Expect(b.stands.Fault("heal")).To(Succeed())
	b.waitForWrites()
	b.cancel()
	b.done.Wait()
	b.Expect(b.servers().DoublePromotions()).To(BeZero())
	b.Expect(b.other).To(BeEmpty())
	data := b.stands.Server(b.group().Primary).Data()
	for _, key := range b.acked {
		b.Expect(data).To(HaveKey(key), "a write that a replica confirmed is kept")
	}
	for _, key := range b.notRun {
		b.Expect(data).NotTo(HaveKey(key), "a write that did not run or was cancelled")
	}
	b.checkFollowers()
}

// checkFollowers waits until every server has the primary's data.
func (b *bench) checkFollowers() {
	b.t.Helper()
	for _, s := range b.servers().Servers() {
		b.Eventually(func() bool {
			primary := b.stands.Server(b.group().Primary)
			return len(s.Data()) == len(primary.Data())
		}, waitLimit, pollPeriod).Should(BeTrue(), "%s follows", s.ID())
	}
}
