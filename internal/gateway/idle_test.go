package gateway

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
)

// maxIdleBytes is the limit of memory per idle caller connection, including stacks.
const maxIdleBytes = 16 << 10

// TestIdleConnectionsAreSmall measures heap and stacks for many idle connections that
// have each run one statement. The sockets of the callers are part of the
// measurement, so the gateway's own share is smaller.
func TestIdleConnectionsAreSmall(t *testing.T) {
	f := newFixture(t)
	const callers = 500
	warmup := f.connect("")
	_, err := warmup.Exec(f.context(), "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
	baseline := heapAndStackBytes()
	conns := make([]*rawCaller, callers)
	for i := range conns {
		conns[i] = f.dialRaw()
		conns[i].query("SELECT value FROM kv WHERE key = 'a'")
		conns[i].frontend = nil // exclude the buffers of the caller
	}
	f.home.mu.Lock()
	f.home.openedRequests, f.home.batches = nil, nil
	f.home.mu.Unlock()
	bytesPerConn := (heapAndStackBytes() - baseline) / callers
	t.Logf("%d bytes per idle connection", bytesPerConn)
	f.Expect(bytesPerConn).To(BeNumerically("<", maxIdleBytes))
	for _, c := range conns {
		_ = c.conn.Close()
	}
}

func heapAndStackBytes() int64 {
	// Stacks shrink and pools are emptied only over several collections.
	for range 4 {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

func BenchmarkPreparedSelect(b *testing.B) {
	f := newFixture(b)
	ctx := b.Context()
	conn, err := pgx.Connect(ctx, f.dsn("&egretroad.work=stock"))
	if err != nil {
		b.Fatal(err)
	}
	defer conn.Close(ctx)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := conn.Exec(ctx, "SELECT value FROM kv WHERE key = $1", "a"); err != nil {
			b.Fatal(err)
		}
	}
}
