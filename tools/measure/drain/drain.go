// Package drain measures a rolling restart: each proxy in turn is stopped gracefully
// and started again while many callers keep requests in progress. A caller that is told
// to reconnect does so and resends its request.
package drain

import (
	"context"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5"

	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes of the measurement.
const (
	proxies     = 9
	callers     = 500
	stopTimeout = 30 * time.Second
	settleTime  = time.Second // of load before the first restart and after the last one
)

// Run measures one deployment with env.Size proxies. It fails with an error if a proxy
// does not stop within stopTimeout.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed, o.Scale = proxies, env.Seed, 1
	if env.Size > 0 {
		o.Proxies = env.Size
	}
	if env.Deployment != "" {
		o.Name = env.Deployment
	}
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	l := newLoad(f, env.Seed)
	l.start(ctx)
	env.Logf("%d callers on %d proxies", callers, len(f.Proxies))
	slowest, err := restartAll(ctx, env, f, l)
	l.stop()
	if err != nil {
		return nil, err
	}
	r := report.New("drain", env.Seed)
	r.Set("slowest_drain_s", slowest.Seconds())
	l.report(r)
	return r, l.checkWrites(ctx, r)
}

// restartAll restarts each proxy under load and returns the duration of the longest
// drain.
func restartAll(ctx context.Context, env *report.Env, f *fleet.Fleet, l *load) (time.Duration, error) {
	var slowest time.Duration
	sleep(ctx, settleTime)
	for _, p := range f.Proxies {
		start := time.Now()
		stopCtx, cancel := context.WithTimeout(ctx, stopTimeout)
		err := p.Terminate(stopCtx)
		cancel()
		if err != nil {
			return 0, fmt.Errorf("stop proxy %s: %w", p.VM.ID, err)
		}
		drained := time.Since(start)
		slowest = max(slowest, drained)
		if err := p.Start(ctx); err != nil {
			return 0, err
		}
		env.Logf("%s drained in %d ms and restarted; %s", p.VM.ID, drained.Milliseconds(), l.summary())
	}
	sleep(ctx, settleTime)
	return slowest, nil
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// checkWrites compares the acknowledged keys with the rows in the databases. It counts
// acknowledged keys that are missing and unacknowledged keys that are stored.
func (l *load) checkWrites(ctx context.Context, r *report.Report) error {
	lost, unacknowledged := 0, 0
	for _, database := range l.fleet.Databases() {
		stored, err := l.readKeys(ctx, database)
		if err != nil {
			return err
		}
		for _, key := range l.acknowledgedKeys(database) {
			if !stored[key] {
				lost++
			}
			delete(stored, key)
		}
		for key := range stored {
			if l.isLoadKey(key) {
				unacknowledged++
			}
		}
	}
	r.Exactly("acknowledged_writes_lost", float64(lost), 0)
	r.Exactly("refused_writes_stored", float64(unacknowledged), 0)
	return nil
}

// readKeys reads all keys of a database through a proxy.
func (l *load) readKeys(ctx context.Context, database string) (map[string]bool, error) {
	conn, err := pgx.Connect(ctx, l.fleet.Proxies[0].DSN(database, ""))
	if err != nil {
		return nil, err
	}
	defer func() { _ = conn.Close(ctx) }() // only the error of the query matters
	rows, err := conn.Query(ctx, "SELECT key, value FROM kv ORDER BY key")
	if err != nil {
		return nil, err
	}
	defer rows.Close()
	stored := map[string]bool{}
	for rows.Next() {
		var key, value string
		if err := rows.Scan(&key, &value); err != nil {
			return nil, err
		}
		stored[key] = true
	}
	return stored, rows.Err()
}
