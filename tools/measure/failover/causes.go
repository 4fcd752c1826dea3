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

// NotServingError reports a database that does not serve requests when the
// measurement requires it.
type NotServingError struct {
	Database string
	Detail   string
}

func (e *NotServingError) Error() string {
	return fmt.Sprintf("database %s does not serve: %s", e.Database, e.Detail)
}

// group reads the object of a database group from the platform. It returns the zero
// Group if the object is missing or invalid.
func group(f *fleet.Fleet, database string) topology.Group {
	var g topology.Group
	if o, ok := f.Platform.Get(platform.KindGroup, database); ok {
		_ = json.Unmarshal(o.Value, &g) // the zero Group has no primary
	}
	return g
}

// measureServerFailures fails the primaries of all databases at the same time, each
// with a different cause, and rotates the causes from round to round.
func measureServerFailures(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error {
	causes := []string{causeDead, causeRefused, causeSilent}
	for round := range runs {
		deadDatabase := f.Databases()[(len(causes)-round%len(causes))%len(causes)]
		killedProxy := primaryHome(f, deadDatabase)
		var done sync.WaitGroup
		errs := make(chan error, len(causes))
		for i, database := range f.Databases() {
			cause := causes[(i+round)%len(causes)]
			done.Add(1)
			go func() {
				defer done.Done()
				errs <- measureFailure(ctx, env, f, faultSpec{database, cause, killedProxy}, r)
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

// measureDataCentreCuts partitions the data centre of one primary per round.
func measureDataCentreCuts(ctx context.Context, env *report.Env, f *fleet.Fleet, runs int, r *results) error {
	for round := range runs {
		database := f.Databases()[round%len(f.Databases())]
		if err := measureFailure(ctx, env, f, faultSpec{database, causeCut, nil}, r); err != nil {
			return err
		}
		if err := heal(ctx, f); err != nil {
			return err
		}
	}
	return nil
}

// faultSpec describes one failure of a primary. killedProxy is the proxy that is
// killed in the same round, or nil; no writer connects to it.
type faultSpec struct {
	database    string
	cause       string
	killedProxy *fleet.Proxy
}

// proxiesOutside returns the proxies outside a data centre, except the excluded one.
func proxiesOutside(f *fleet.Fleet, dataCentre string, excluded *fleet.Proxy) []*fleet.Proxy {
	var proxies []*fleet.Proxy
	for _, p := range f.Proxies {
		if p.VM.DataCentre != dataCentre && p != excluded {
			proxies = append(proxies, p)
		}
	}
	return proxies
}

// measureFailure injects one fault and measures how long writes to the database stop.
func measureFailure(ctx context.Context, env *report.Env, f *fleet.Fleet, spec faultSpec, r *results) error {
	database, cause := spec.database, spec.cause
	before := group(f, database)
	primary, ok := before.Server(before.Primary)
	if !ok {
		return &NotServingError{Database: database, Detail: "no primary"}
	}
	proxies := proxiesOutside(f, primary.DataCentre, spec.killedProxy)
	confirmed := startWriters(ctx, proxies, database, "")
	defer confirmed.stop()
	leased := startWriters(ctx, proxies, database, leaseKind)
	defer leased.stop()
	if err := waitAcks(ctx, confirmed, time.Now(), startupTimeout); err != nil {
		return err
	}
	sleep(ctx, settleTime)
	faultTime := time.Now()
	confirmed.setFaultTime(faultTime)
	injectFault(f, primary, spec)
	gapSeconds := waitRecovery(ctx, f, confirmed, before, faultTime).Seconds()
	confirmed.stop()
	leased.stop()
	r.addGap(cause, gapSeconds)
	r.addCounts(confirmed)
	r.addLostWrites(f, confirmed, leased)
	after := group(f, database)
	env.Logf("%s %s: gap %.2f s, term %d to %d, primary %s to %s, failed writes %v",
		database, cause, gapSeconds, before.Term, after.Term, before.Primary, after.Primary, confirmed.failureCounts())
	if gapSeconds >= recoveryLimit.Seconds() {
		logHomeState(env, f, database)
	}
	return nil
}

// logHomeState logs the state of the home of a primary that did not recover in time.
func logHomeState(env *report.Env, f *fleet.Fleet, database string) {
	home := primaryHome(f, database)
	if home == nil {
		env.Logf("%s: the primary has no home", database)
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

func injectFault(f *fleet.Fleet, primary topology.Server, spec faultSpec) {
	server := f.Server(primary.ID)
	switch spec.cause {
	case causeDead:
		server.Stop()
		if spec.killedProxy != nil {
			spec.killedProxy.Kill()
		}
	case causeRefused:
		server.Stop()
	case causeSilent:
		server.SilenceAll()
	case causeCut:
		_ = f.Network.Cut(primary.DataCentre) // the group lists only existing data centres
	}
}

// primaryHome queries the running proxies in the primary's data centre and returns the
// home of the primary, or nil.
func primaryHome(f *fleet.Fleet, database string) *fleet.Proxy {
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

// isHome reports whether a proxy is the home of a server and is not draining it.
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

// waitAcks waits until at least 10 writes were acknowledged after the given time.
func waitAcks(ctx context.Context, w *writers, after time.Time, limit time.Duration) error {
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, pollInterval) {
		if w.acksSince(after) >= 10 {
			return nil
		}
	}
	return &NotServingError{Database: w.database, Detail: fmt.Sprintf("fewer than 10 writes were acknowledged, failed writes: %v", w.failureCounts())}
}

// waitRecovery waits until a promotion has completed and at least 10 writes were
// acknowledged later than stableTime after it. It returns the longest gap since from,
// or recoveryLimit on time-out.
func waitRecovery(ctx context.Context, f *fleet.Fleet, w *writers, before topology.Group, from time.Time) time.Duration {
	var promotedAt time.Time
	for time.Since(from) < recoveryLimit && ctx.Err() == nil {
		sleep(ctx, pollInterval)
		g := group(f, w.database)
		if g.Term == before.Term || g.Promotion != nil {
			continue
		}
		if promotedAt.IsZero() {
			promotedAt = time.Now()
		}
		if w.acksSince(promotedAt.Add(stableTime)) >= 10 {
			return w.longestGap(from)
		}
	}
	return recoveryLimit
}

// heal clears every fault, restarts killed proxies and waits until all servers have
// rejoined their groups.
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
	for end := time.Now().Add(rejoinLimit); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, rejoinPollInterval) {
		if allRejoined(f) {
			return nil
		}
	}
	return &NotServingError{Database: "any", Detail: "not every server has rejoined its group"}
}

// allRejoined reports whether no promotion is in progress and each server reports
// its group's current term.
func allRejoined(f *fleet.Fleet) bool {
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
	defer func() { _ = conn.Close(ctx) }() // close errors do not affect what was read
	var term int64
	err = conn.QueryRow(ctx, "SELECT term, fence, role, position, lag_ms, slots, max_connections FROM group_status()").
		Scan(&term, nil, nil, nil, nil, nil, nil)
	return uint64(term), err
}

// measureSlowServersAndStoreOutage slows down primaries and their homes without
// stopping them and counts promotions. It then measures planned handovers and the
// failure of a primary during an outage of the platform.
func measureSlowServersAndStoreOutage(ctx context.Context, env *report.Env, f *fleet.Fleet, _ int, r *results) error {
	for round := range slowRounds {
		terms := map[string]uint64{}
		for i, database := range f.Databases() {
			g := group(f, database)
			terms[database] = g.Term
			injectSlowFault(f, database, (i+round)%slowFaultKinds)
		}
		sleep(ctx, slowTime)
		promotions := 0
		for database, term := range terms {
			if group(f, database).Term != term {
				promotions++
			}
		}
		r.mu.Lock()
		r.wrongPromotions += promotions
		r.slowRuns += len(terms)
		r.mu.Unlock()
		env.Logf("%s: %d slow servers, %d promotions", f.Name, len(terms), promotions)
		clearSlowFaults(f)
		if err := heal(ctx, f); err != nil {
			return err
		}
	}
	if err := measureHandovers(ctx, env, f, r); err != nil {
		return err
	}
	return measureStoreOutage(ctx, env, f, r)
}

// measureHandovers measures the gap in writes when each primary in turn is set to
// leaving, and then sets the server to active again.
func measureHandovers(ctx context.Context, env *report.Env, f *fleet.Fleet, r *results) error {
	for _, database := range f.Databases() {
		before := group(f, database)
		w := startWriters(ctx, f.Proxies, database, leaseKind)
		if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
			w.stop()
			return err
		}
		markedAt := time.Now()
		err := setServerState(f, database, before.Primary, topology.ServerLeaving)
		gapSeconds := waitRecovery(ctx, f, w, before, markedAt).Seconds()
		w.stop()
		if err == nil {
			err = setServerState(f, database, before.Primary, topology.ServerActive)
		}
		if err != nil {
			return err
		}
		r.mu.Lock()
		r.handoverGaps = append(r.handoverGaps, gapSeconds)
		r.lost += countMissing(f, w)
		r.mu.Unlock()
		r.addCounts(w)
		env.Logf("%s handover: gap %.2f s, failed writes %v", database, gapSeconds, w.failureCounts())
	}
	return nil
}

// setServerState writes the state of a server, as an operator would, to its group object.
func setServerState(f *fleet.Fleet, database, server string, state topology.ServerState) error {
	g := group(f, database)
	for i := range g.Servers {
		if g.Servers[i].ID == server {
			g.Servers[i].State = state
		}
	}
	_, err := f.Platform.Put(platform.KindGroup, database, g)
	return err
}

// addLostWrites adds the acknowledged writes that are missing at the new primary.
func (r *results) addLostWrites(f *fleet.Fleet, confirmed, leased *writers) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lost += countMissing(f, confirmed)
	r.leaseLost += countMissing(f, leased)
	acked, _, _ := leased.totals()
	r.leaseAcked += acked
}

// countMissing counts the acknowledged keys that are missing at the current primary.
func countMissing(f *fleet.Fleet, w *writers) int {
	data := f.Server(group(f, w.database).Primary).Data()
	missing := 0
	for _, key := range w.ackedKeys {
		if _, ok := data[key]; !ok {
			missing++
		}
	}
	return missing
}

// slowFaultKinds is the number of faults that injectSlowFault implements.
const slowFaultKinds = 4

func injectSlowFault(f *fleet.Fleet, database string, kind int) {
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
		if home := primaryHome(f, database); home != nil {
			_ = home.Signal(syscall.SIGSTOP) // it may have exited already
			time.AfterFunc(slowTime/2, func() { _ = home.Signal(syscall.SIGCONT) })
		}
	}
}

func clearSlowFaults(f *fleet.Fleet) {
	for _, g := range f.Groups {
		for _, s := range g.Servers() {
			s.SetReplyDelay(0)
			s.SetServiceTime(s.Spec().ServiceTime)
			s.SetConnectDelay(s.Spec().ConnectDelay)
		}
	}
}

// measureStoreOutage stops the platform and then a primary. It counts the reads
// served meanwhile and measures the time from the platform's return to the first
// acknowledged write.
func measureStoreOutage(ctx context.Context, env *report.Env, f *fleet.Fleet, r *results) error {
	database := f.Databases()[0]
	before := group(f, database)
	primary, _ := before.Server(before.Primary)
	w := startWriters(ctx, proxiesOutside(f, primary.DataCentre, nil), database, "")
	defer w.stop()
	if err := waitAcks(ctx, w, time.Now(), startupTimeout); err != nil {
		return err
	}
	f.Platform.Outage(true)
	sleep(ctx, settleTime)
	f.Server(primary.ID).Stop()
	reads, failed := readDuring(ctx, f, database, primary.DataCentre, storeDownTime)
	restoredAt := time.Now()
	f.Platform.Outage(false)
	waitRecovery(ctx, f, w, before, restoredAt)
	gapSeconds := w.firstAckAfter(restoredAt).Seconds()
	w.stop()
	r.mu.Lock()
	r.reads += reads
	r.failedReads += failed
	r.storeGaps = append(r.storeGaps, gapSeconds)
	r.mu.Unlock()
	env.Logf("%s: primary failed during store outage: %d reads, %d failed; first write %.2f s after the store returned",
		f.Name, reads, failed, gapSeconds)
	return nil
}

// firstAckAfter returns the time from t to the first acknowledgement after t, at most
// recoveryLimit.
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

// readDuring reads for the given time through the first reachable proxy outside a data
// centre. It uses the reports kind, which accepts data up to a stated age.
func readDuring(ctx context.Context, f *fleet.Fleet, database, excludedDataCentre string, d time.Duration) (reads, failed int) {
	for _, p := range f.Proxies {
		if p.VM.DataCentre == excludedDataCentre {
			continue
		}
		conn, err := pgx.Connect(ctx, p.DSN(database, "reports"))
		if err != nil {
			failed++
			continue
		}
		defer func() { _ = conn.Close(ctx) }() // close errors do not affect what was read
		for end := time.Now().Add(d); time.Now().Before(end) && ctx.Err() == nil; sleep(ctx, 4*pollInterval) {
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
