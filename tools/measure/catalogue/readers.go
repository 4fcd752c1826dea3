package catalogue

import (
	"context"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"

	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
)

const (
	readersPerProxy = 2
	readPause       = 5 * time.Millisecond
)

// readKind returns a deployment's kind of work whose sessions read their own writes.
func readKind(name string) string {
	if name == deployment.CabraRonda {
		return "routes"
	}
	return "stock"
}

// startReaders starts readers of a database through every proxy. They stop when ctx ends.
func startReaders(ctx context.Context, f *fleet.Fleet, database string) *sync.WaitGroup {
	var readers sync.WaitGroup
	for _, p := range f.Proxies {
		for range readersPerProxy {
			readers.Go(func() { readUntilDone(ctx, p.DSN(database, readKind(f.Name))) })
		}
	}
	return &readers
}

// readUntilDone reads in a closed loop until ctx ends.
func readUntilDone(ctx context.Context, dsn string) {
	conn, err := pgx.Connect(ctx, dsn)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close(context.Background()) }() // the measurement is over
	for ctx.Err() == nil {
		var n int
		_ = conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&n) // errors are not part of this measurement
		time.Sleep(readPause)
	}
}
