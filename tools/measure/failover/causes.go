package failover

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// NotServingError reports a fleet that does not serve where it must.
type NotServingError struct {
	Database string
	Detail   string
}

func (e *NotServingError) Error() string {
	return fmt.Sprintf("database %s does not serve: %s", e.Database, e.Detail)
}

// group reads a group object from the platform.
func group(f *fleet.Fleet, database string) topology.Group {
	var g topology.Group
	if o, ok := f.Platform.Get(platform.KindGroup, database); ok {
		_ = json.Unmarshal(o.Value, &g) // a group that cannot be read serves nothing
	}
	return g
}

// measureServers lets the primaries of all databases fail at once, each from
// another cause, and rotates the causes.
func measureServers(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error {
	causes := []string{causeDead, causeRefused, causeSilent}
	for round := range runs {
		dead := f.Databases()[(len(causes)-round%len(causes))%len(causes)]
		victim := homeOf(f, dead)
		var done sync.WaitGroup
		errs := make(chan error, len(causes))
		for i, database := range f.Databases() {
			cause := causes[(i+round)%len(causes)]
			done.Add(1)
			go func() {
				defer done.Done()
				errs <- oneFailure(ctx, env, f, failure{database, cause, victim}, r)
			}()
		}
		done.Wait()
		close(errs)
		for err := range errs {
			if err != nil {
				return err
			}
		}
		if err := heal(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// measureCuts cuts the data centre of one database's primary off, one at a time.
func measureCuts(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error {
	for round := range runs {
		database := f.Databases()[round%len(f.Databases())]
		if err := oneFailure(ctx, env, f, failure{database, causeCut, nil}, r); err != nil {
			return err
		}
		if err := heal(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// failure is one loss of a primary. victim is the proxy that dies in the same
// round; no writer uses it.
type failure struct {
	database string
	cause    string
	victim   *fleet.Proxy
}

// outside lists the proxies that are neither in a data centre nor the victim.
func outside(f *fleet.Fleet, dataCentre string, victim *fleet.Proxy) []*fleet.Proxy {
	var proxies []*fleet.Proxy
	for _, p := range f.Proxies {
		if p.VM.DataCentre != dataCentre && p != victim {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// oneFailure measures the gap in the writes of one database.
func oneFailure(ctx context.Context, env *report.Env, f *fleet.Fleet, x failure, r *results) error {
	database, cause := x.database, x.cause
	before := group(f, database)
	primary, ok := before.Server(before.Primary)
	if !ok {
		return &NotServingError{Database: database, Detail: "no primary"}
	}
	proxies := outside(f, primary.DataCentre, x.victim)
	w := startWriters(ctx, proxies, database, "")
	defer w.stop()
	leased := startWriters(ctx, proxies, database, leaseKind)
	defer leased.stop()
	if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	from := time.Now()
	inject(f, primary, x)
	seconds := waitRecovery(ctx, f, w, before, from).Seconds()
	w.stop()
	leased.stop()
	r.gap(cause, seconds)
	r.count(w)
	r.countLost(f, w, leased)
	after := group(f, database)
	env.Logf("%s %s: gap %.2f s, term %d to %d, primary %s to %s, failed writes %v",
		database, cause, seconds, before.Term, after.Term, before.Primary, after.Primary, w.failures())
	if seconds >= recoveryLimit.Seconds() {
		logHome(env, f, database)
	}
	return nil
}

// logHome writes the state of the home of a primary that does not serve.
func logHome(env *report.Env, f *fleet.Fleet, database string) {
	home := homeOf(f, database)
	if home == nil {
		env.Logf("%s: no proxy is home of the primary", database)
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dump struct {
		Homes []struct {
			Server string `json:"server"`
		} `json:"homes"`
	}
	var raw struct {
		Homes []json.RawMessage `json:"homes"`
	}
	if home.JSON(ctx, "/dump", &dump) != nil || home.JSON(ctx, "/dump", &raw) != nil {
		return
	}
	for i, h := range dump.Homes {
		if h.Server == group(f, database).Primary && i < len(raw.Homes) {
			env.Logf("%s: home %s: %s", database, home.VM.ID, raw.Homes[i])
		}
	}
}

func inject(f *fleet.Fleet, primary topology.Server, x failure) {
	server := f.Server(primary.ID)
	switch x.cause {
	case causeDead:
		server.Stop()
		if x.victim != nil {
			x.victim.Kill()
		}
	case causeRefused:
		server.Stop()
	case causeSilent:
		server.SilenceAll()
	case causeCut:
		_ = f.Network.Cut(primary.DataCentre) // the group names its data centres
	}
}

// homeOf asks the proxies of a primary's data centre which of them is its home.
func homeOf(f *fleet.Fleet, database string) *fleet.Proxy {
	g := group(f, database)
	s, _ := g.Server(g.Primary)
	for _, p := range f.Proxies {
		if p.VM.DataCentre != s.DataCentre || p.Pid() == 0 {
			continue
		}
		if isHome(p, s.ID) {
			return p
		}
	}
	return nil
}

// isHome reports whether a proxy is home of a server.
func isHome(p *fleet.Proxy, server string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var dump struct {
		Homes []struct {
			Server   string `json:"server"`
			Draining bool   `json:"draining"`
		} `json:"homes"`
	}
	if err := p.JSON(ctx, "/dump", &dump); err != nil {
		return false
	}
	for _, h := range dump.Homes {
		if h.Server == server && !h.Draining {
			return true
		}
	}
	return false
}

// waitAcks waits until writes are acknowledged after a time.
func waitAcks(ctx context.Context, w *writers, after time.Time, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, writePause) {
		if w.since(after) >= 10 {
			return nil
		}
	}
	return &NotServingError{Database: w.database, Detail: fmt.Sprintf("no write was acknowledged: %v", w.failures())}
}

// waitRecovery waits until a new primary has acknowledged writes for a while and
// returns the longest gap since from.
func waitRecovery(ctx context.Context, f *fleet.Fleet, w *writers, before topology.Group, from time.Time) time.Duration {
	var served time.Time
	for time.Since(from) < recoveryLimit && ctx.Err() == nil {
		sleep(ctx, writePause)
		g := group(f, w.database)
		if g.Term == before.Term || g.Promotion != nil {
			continue
		}
		if served.IsZero() {
			served = time.Now()
		}
		if w.since(served.Add(recoveredTime)) >= 10 {
			return w.longestGap(from)
		}
	}
	return recoveryLimit
}

// heal ends every fault, restarts dead proxies and waits until all servers have
// rejoined.
func heal(ctx context.Context, f *fleet.Fleet) error {
	if err := f.Fault("heal"); err != nil {
		return err
	}
	for _, p := range f.Proxies {
		if p.Pid() == 0 {
			if err := p.Start(ctx); err != nil {
				return err
			}
		}
	}
	sleep(ctx, settleTime)
	for end := time.Now().Add(rejoinLimit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, dialRetry) {
		if rejoined(f) {
			return nil
		}
	}
	return &NotServingError{Database: "any", Detail: "not every server has rejoined"}
}

// rejoined reports whether no promotion is in progress and each server answers
// in its group's term.
func rejoined(f *fleet.Fleet) bool {
	for _, database := range f.Databases() {
		g := group(f, database)
		if g.Promotion != nil {
			return false
		}
		for _, s := range g.Servers {
			if term, err := serverTerm(s.Addr, database); err != nil || term != g.Term {
				return false
			}
		}
	}
	return true
}

func serverTerm(addr, database string) (uint64, error) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	conn, err := pgx.Connect(ctx, fleet.DSN(addr, database, ""))
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close(ctx) }() // only read from
	var term int64
	err = conn.QueryRow(ctx, "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()").
		Scan(&term, nil, nil, nil, nil, nil, nil)
	return uint64(term), err
}

// measureSlowThenStore slows servers and proxies without stopping them, and then
// lets a primary die while the platform is down.
func measureSlowThenStore(ctx context.Context, env *report.Env, f *fleet.Fleet, _ int, r *results) error {
	for round := range slowRounds {
		before := map[string]uint64{}
		for i, database := range f.Databases() {
			g := group(f, database)
			before[database] = g.Term
			slowDown(f, database, (i+round)%slowKinds)
		}
		sleep(ctx, slowTime)
		wrong := 0
		for database, term := range before {
			if group(f, database).Term != term {
				wrong++
			}
		}
		r.mu.Lock()
		r.wrong += wrong
		r.slowRuns += len(before)
		r.mu.Unlock()
		env.Logf("%s: %d slow servers, %d promotions", f.Name, len(before), wrong)
		speedUp(f)
		if err := heal(ctx, f); err != nil {
			return err
		}
	}
	if err := measureHandovers(ctx, env, f, r); err != nil {
		return err
	}
	return measureStoreDown(ctx, env, f, r)
}

// measureHandovers marks each primary as leaving, then as active again.
func measureHandovers(ctx context.Context, env *report.Env, f *fleet.Fleet, r *results) error {
	for _, database := range f.Databases() {
		before := group(f, database)
		w := startWriters(ctx, f.Proxies, database, leaseKind)
		if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
			w.stop()
			return err
		}
		from := time.Now()
		err := mark(f, database, before.Primary, topology.ServerLeaving)
		seconds := waitRecovery(ctx, f, w, before, from).Seconds()
		w.stop()
		if err == nil {
			err = mark(f, database, before.Primary, topology.ServerActive)
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.planned = append(r.planned, seconds)
		r.lost += countMissing(f, w)
		r.mu.Unlock()
		r.count(w)
		env.Logf("%s planned: gap %.2f s, failed writes %v", database, seconds, w.failures())
	}
	return nil
}

// mark changes the operator's mark on a server.
func mark(f *fleet.Fleet, database, server string, state topology.ServerState) error {
	g := group(f, database)
	for i := range g.Servers {
		if g.Servers[i].ID == server {
			g.Servers[i].State = state
		}
	}
	_, err := f.Platform.Put(platform.KindGroup, database, g)
	return err
}

// countLost counts acknowledged writes that the new primary does not have.
func (r *results) countLost(f *fleet.Fleet, confirmed, leased *writers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost += countMissing(f, confirmed)
	r.lostOnes += countMissing(f, leased)
	acked, _, _ := leased.totals()
	r.leased += acked
}

// countMissing counts the acknowledged keys that are not at the primary.
func countMissing(f *fleet.Fleet, w *writers) int {
	data := f.Server(group(f, w.database).Primary).Data()
	missing := 0
	for _, key := range w.keys {
		if _, ok := data[key]; !ok {
			missing++
		}
	}
	return missing
}

// slowKinds is the number of ways in which a server is slow but alive.
const slowKinds = 4

func slowDown(f *fleet.Fleet, database string, kind int) {
	server := f.Server(group(f, database).Primary)
	switch kind {
	case 0:
		server.SetReplyDelay(700 * time.Millisecond)
	case 1:
		server.SetServiceTime(2 * time.Second)
	case 2:
		server.SetConnectDelay(2 * time.Second)
		server.DropConnections()
	case 3:
		if home := homeOf(f, database); home != nil {
			_ = home.Signal(syscall.SIGSTOP) // it may have ended
			time.AfterFunc(slowTime/2, func() { _ = home.Signal(syscall.SIGCONT) })
		}
	}
}

func speedUp(f *fleet.Fleet) {
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			s.SetReplyDelay(0)
			s.SetServiceTime(s.Spec().ServiceTime)
			s.SetConnectDelay(s.Spec().ConnectDelay)
		}
	}
}

// measureStoreDown takes the platform down, lets a primary die, and measures
// what is read meanwhile and the gap from the platform's return.
func measureStoreDown(ctx context.Context, env *report.Env, f *fleet.Fleet, r *results) error {
	database := f.Databases()[0]
	before := group(f, database)
	primary, _ := before.Server(before.Primary)
	w := startWriters(ctx, outside(f, primary.DataCentre, nil), database, "")
	defer w.stop()
	if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
		return err
	}
	f.Platform.Outage(true)
	sleep(ctx, settleTime)
	f.Server(primary.ID).Stop()
	reads, failed := readFor(ctx, f, database, primary.DataCentre, storeDownTime)
	back := time.Now()
	f.Platform.Outage(false)
	waitRecovery(ctx, f, w, before, back)
	seconds := w.firstAckAfter(back).Seconds()
	w.stop()
	r.mu.Lock()
	r.reads += reads
	r.readErrs += failed
	r.storeGap = append(r.storeGap, seconds)
	r.mu.Unlock()
	env.Logf("%s: store down when the primary died: %d reads, %d failed; first write %.2f s after its return",
		f.Name, reads, failed, seconds)
	return nil
}

// firstAckAfter returns the time from t to the first acknowledgement after it.
func (w *writers) firstAckAfter(t time.Time) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	first := recoveryLimit
	for _, ack := range w.acks {
		if d := ack.Sub(t); d > 0 {
			first = min(first, d)
		}
	}
	return first
}

// readFor reads through the proxies of other data centres for a time, with the
// reports kind, which accepts data of a stated age.
func readFor(ctx context.Context, f *fleet.Fleet, database, notIn string, d time.Duration) (reads, failed int) {
	for _, p := range f.Proxies {
		if p.VM.DataCentre == notIn {
			continue
		}
		conn, err := pgx.Connect(ctx, p.DSN(database, "reports"))
		if err != nil {
			failed++
			continue
		}
		defer func() { _ = conn.Close(ctx) }() // only read from
		for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 4*writePause) {
			var n int64
			if err := conn.QueryRow(ctx, "SELECT count(*) FROM kv").Scan(&n); err != nil {
				failed++
				continue
			}
			reads++
		}
		return reads, failed
	}
	return reads, failed
}
