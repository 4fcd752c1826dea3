package gateway

import (
	"runtime"
	"testing"

	"github.com/jackc/pgx/v5"
	. "github.com/onsi/gomega"
)

// maxIdleBytes is the most that an idle caller connection may cost the gateway,
// stacks included.
const maxIdleBytes = 16 << 10

// TestIdleConnectionsAreSmall measures heap and stacks for many connections
// that each ran a statement. The callers' own sockets count too, so the bound
// holds with room.
func TestIdleConnectionsAreSmall(t *testing.T) {
	f := newFixture(t)
	const callers = 500
	warm := f.connect("")
	_, err := warm.Exec(f.context(), "SELECT value FROM kv WHERE key = 'a'")
	f.Expect(err).NotTo(HaveOccurred())
	before := heapAndStackBytes()
	conns := make([]*rawCaller, callers)
	for i := range conns {
		conns[i] = f.dialRaw()
		conns[i].query("SELECT value FROM kv WHERE key = 'a'")
		conns[i].frontend = nil // the caller's own buffers do not count
	}
	f.home.mu.Lock()
	f.home.openedRequests, f.home.batches = nil, nil
	f.home.mu.Unlock()
	each := (heapAndStackBytes() - before) / callers
	t.Logf("%d bytes for each idle connection", each)
	f.Expect(each).To(BeNumerically("<", maxIdleBytes))
	for _, c := range conns {
		_ = c.conn.Close()
	}
}

func heapAndStackBytes() int64 {
	// Stacks shrink and pools empty over several collections.
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
