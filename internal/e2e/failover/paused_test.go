package failover_test

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/topology"
	"egretroad/tools/measure/fleet"
)

// Parameters of the test of a paused lease holder.
const (
	writersOnHolder = 4
	responseDelay   = 50 * time.Millisecond  // keeps committed writes without a response
	replicaLag      = 500 * time.Millisecond // keeps these writes off the replicas
)

// The process that holds the lease is paused (SIGSTOP) while its server has committed
// writes without a response, and resumed after another server was promoted. The lease
// has expired by then, so the process must not acknowledge these writes: the new
// primary may lack them.
func TestHolderPausedPastItsLeaseAcknowledgesNoOldWrite(t *testing.T) {
	g := NewWithT(t)
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	f := startFleet(ctx, g, t)
	leaseHolder := homeOf(ctx, g, f, "orders1-a")
	f.Server("orders1-a").SetResponseDelay(responseDelay)
	f.Groups[database].SetLag(replicaLag)
	writers := &holderWriters{}
	for i := range writersOnHolder {
		writers.start(ctx, leaseHolder, fmt.Sprintf("paused%d", i))
	}
	g.Eventually(func() int { return len(writers.ackedAfter(time.Time{})) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20))

	g.Expect(leaseHolder.Signal(syscall.SIGSTOP)).To(Succeed())
	g.Expect(f.Fault("cut", "salish-a")).To(Succeed())
	g.Eventually(func() bool {
		group := groupObject(g, f)
		return group.Term > 1 && group.Promotion == nil
	}, waitTimeout, pollInterval).Should(BeTrue(), "another server is promoted")
	resumed := time.Now()
	g.Expect(leaseHolder.Signal(syscall.SIGCONT)).To(Succeed())
	g.Expect(f.Fault("heal")).To(Succeed())
	f.Server("orders1-a").SetResponseDelay(0)
	f.Groups[database].SetLag(0)
	g.Eventually(func() int { return len(writers.ackedAfter(resumed)) }, waitTimeout, pollInterval).Should(BeNumerically(">", 20))
	cancel()
	writers.running.Wait()

	data := f.Server(groupObject(g, f).Primary).Data()
	for _, key := range writers.ackedAfter(resumed) {
		g.Expect(data).To(HaveKey(key), "the new primary has every write acknowledged after the pause")
	}
	g.Expect(f.Groups[database].DoublePromotions()).To(BeZero())
}

func startFleet(ctx context.Context, g Gomega, t *testing.T) *fleet.Fleet {
	binary, remove, err := fleet.Build(ctx)
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(remove)
	o := deployment.DefaultOptions()
	o.Proxies, o.Scale = 6, 0
	f, err := fleet.Start(ctx, fleet.Options{Binary: binary, Deployment: o, LogLevel: "error", Log: io.Discard})
	g.Expect(err).NotTo(HaveOccurred())
	t.Cleanup(f.Stop)
	entry := catalogue.Entry{
		Name: database + "." + leaseConfirmedKind, Kind: leaseConfirmedKind, Owner: "office", Database: database,
		Rank: catalogue.RankOrders, Access: catalogue.AccessWrite, Confirm: catalogue.ConfirmAny, Deadline: 5000,
	}
	_, err = f.Platform.Put(platform.KindCatalogue, entry.Name, entry)
	g.Expect(err).NotTo(HaveOccurred())
	return f
}

func groupObject(g Gomega, f *fleet.Fleet) topology.Group {
	o, ok := f.Platform.Get(platform.KindGroup, database)
	g.Expect(ok).To(BeTrue())
	var group topology.Group
	g.Expect(json.Unmarshal(o.Value, &group)).To(Succeed())
	return group
}

// homeOf waits for a proxy that is home of a server and returns it.
func homeOf(ctx context.Context, g Gomega, f *fleet.Fleet, server string) *fleet.Proxy {
	var home *fleet.Proxy
	g.Eventually(func() *fleet.Proxy {
		for _, p := range f.Proxies {
			var dump struct {
				Homes []struct {
					Server string `json:"server"`
				} `json:"homes"`
			}
			if p.JSON(ctx, "/dump", &dump) != nil {
				continue
			}
			for _, h := range dump.Homes {
				if h.Server == server {
					home = p
				}
			}
		}
		return home
	}, waitTimeout, pollInterval).ShouldNot(BeNil())
	return home
}

// holderWriters sends inserts through the lease holder itself.
type holderWriters struct {
	running sync.WaitGroup
	mu      sync.Mutex // guards acked
	acked   []ackedWrite
}

type ackedWrite struct {
	key string
	at  time.Time
}

func (w *holderWriters) start(ctx context.Context, p *fleet.Proxy, prefix string) {
	w.running.Add(1)
	go func() {
		defer w.running.Done()
		for i := 0; ctx.Err() == nil; i++ {
			w.writeUntilError(ctx, p, fmt.Sprintf("%s-%d", prefix, i))
			time.Sleep(pollInterval)
		}
	}()
}

// writeUntilError inserts rows over one connection until an error.
func (w *holderWriters) writeUntilError(ctx context.Context, p *fleet.Proxy, prefix string) {
	conn, err := pgx.Connect(ctx, p.DSN(database, leaseConfirmedKind))
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(context.Background()) }() // only errors of writes matter
	for i := 0; ctx.Err() == nil; i++ {
		key := fmt.Sprintf("%s-%d", prefix, i)
		if _, err := conn.Exec(ctx, "INSERT INTO kv (key, value) VALUES ($1, 'x')", key); err != nil {
			return
		}
		w.mu.Lock()
		w.acked = append(w.acked, ackedWrite{key: key, at: time.Now()})
		w.mu.Unlock()
	}
}

// ackedAfter returns the keys of writes acknowledged after the given time.
func (w *holderWriters) ackedAfter(t time.Time) []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []string
	for _, a := range w.acked {
		if a.at.After(t) {
			keys = append(keys, a.key)
		}
	}
	return keys
}
