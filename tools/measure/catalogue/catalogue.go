// Package catalogue measures how long a change of the catalogue, the table of kinds of
// work with their limits, takes to come into force on every proxy: undisturbed, with
// proxies restarting, with broken watches and with a slow platform. It also measures how
// long a server that is set to leaving still receives work.
package catalogue

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/standin/deployment"
	"egretroad/internal/topology"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Sizes, times and bounds of the measurement.
const (
	proxies         = 9
	plainChanges    = 20
	restartChanges  = 15
	cutChanges      = 15
	slowChanges     = 3
	slowAnswerDelay = time.Second
	inForceTimeout  = 15 * time.Second
	pollInterval    = 10 * time.Millisecond
	changePause     = 50 * time.Millisecond
	inForceLimitMS  = 2000
	slowLimitMS     = 5000
	leavingLimitMS  = 3000
	leavingWindow   = 5 * time.Second
	watchedEntry    = "measured"
)

// NotInForceError reports a change that did not come into force on a proxy in time.
type NotInForceError struct {
	Version uint64
	VM      string
}

func (e *NotInForceError) Error() string {
	return fmt.Sprintf("version %d is not in force on %s after %s", e.Version, e.VM, inForceTimeout)
}

// measurement is the measurement in progress.
type measurement struct {
	env         *report.Env
	fleet       *fleet.Fleet
	rand        *rand.Rand
	stopped     map[string]bool   // IDs of the VMs whose proxies are killed
	lastInForce map[string]uint64 // version last observed in force, by VM
	reversions  int               // times that a proxy had an older version in force than before
	version     uint64
}

// Run measures one deployment.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed = proxies, env.Seed
	if env.Deployment != "" {
		o.Name = env.Deployment
	}
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o})
	if err != nil {
		return nil, err
	}
	defer f.Stop()
	m := &measurement{
		env: env, fleet: f, rand: rand.New(rand.NewPCG(env.Seed, 1)),
		stopped: map[string]bool{}, lastInForce: map[string]uint64{},
	}
	r := report.New("catalogue", env.Seed)
	return r, m.measure(ctx, r)
}

func (m *measurement) measure(ctx context.Context, r *report.Report) error {
	plain, err := m.measureChanges(ctx, "plain", plainChanges, nil)
	if err != nil {
		return err
	}
	restarts, err := m.measureChanges(ctx, "two proxies restarting", restartChanges, m.restartTwo)
	if err != nil {
		return err
	}
	cuts, err := m.measureChanges(ctx, "watches cut", cutChanges, m.cutWatches)
	if err != nil {
		return err
	}
	m.fleet.Network.Heal()
	m.fleet.Platform.Slow(slowAnswerDelay)
	slow, err := m.measureChanges(ctx, "platform 1 s slow", slowChanges, nil)
	if err != nil {
		return err
	}
	m.fleet.Platform.Slow(0)
	leaving, err := m.measureLeaving(ctx)
	if err != nil {
		return err
	}
	r.Set("changes", plainChanges+restartChanges+cutChanges+slowChanges)
	r.AtMost("worst_plain_ms", plain, inForceLimitMS)
	r.AtMost("worst_restarting_ms", restarts, inForceLimitMS)
	r.AtMost("worst_watches_cut_ms", cuts, inForceLimitMS)
	r.AtMost("worst_slow_platform_ms", slow, slowLimitMS)
	r.Exactly("reversions", float64(m.reversions), 0)
	r.AtMost("leaving_last_statement_ms", leaving, leavingLimitMS)
	return nil
}

// measureChanges makes n changes and returns the longest time from a change's request
// to the platform until it was in force on every running proxy, in milliseconds.
// before, if not nil, runs before each change.
func (m *measurement) measureChanges(ctx context.Context, phase string, n int, before func(ctx context.Context, i int) error) (float64, error) {
	worst := time.Duration(0)
	for i := range n {
		if before != nil {
			if err := before(ctx, i); err != nil {
				return 0, err
			}
		}
		duration, err := m.changeEntry(ctx)
		if err != nil {
			return 0, err
		}
		worst = max(worst, duration)
		time.Sleep(changePause)
	}
	m.env.Logf("phase=%q changes=%d worst=%s", phase, n, worst)
	return float64(worst.Milliseconds()), nil
}

func (m *measurement) changeEntry(ctx context.Context) (time.Duration, error) {
	e := catalogue.Entry{
		Name: watchedEntry, Kind: watchedEntry, Owner: "measure", Database: m.fleet.Databases()[0],
		Rank: catalogue.RankReports, Access: catalogue.AccessRead,
		Deadline: 1000, MaxConcurrent: 1 + m.rand.IntN(1000),
	}
	requestedAt := time.Now()
	object, err := m.fleet.Platform.Put(platform.KindCatalogue, watchedEntry, e)
	if err != nil {
		return 0, err
	}
	m.version = object.Version
	return m.waitInForce(ctx, requestedAt)
}

// waitInForce waits until the newest version is in force on every running proxy and
// returns the time since the request of the change.
func (m *measurement) waitInForce(ctx context.Context, requestedAt time.Time) (time.Duration, error) {
	for {
		lagging, err := m.laggingProxy(ctx)
		if err != nil {
			return 0, err
		}
		if lagging == "" {
			return time.Since(requestedAt), nil
		}
		if time.Since(requestedAt) > inForceTimeout {
			return 0, &NotInForceError{Version: m.version, VM: lagging}
		}
		time.Sleep(pollInterval)
	}
}

// controlDump is the part of a proxy's /dump that the measurement reads.
type controlDump struct {
	Control struct {
		Objects []struct {
			Object  string `json:"object"`
			InForce uint64 `json:"inForce"`
		} `json:"objects"`
	} `json:"control"`
}

// laggingProxy returns the VM of a running proxy on which the newest version is not in
// force, or "". It counts reversions.
func (m *measurement) laggingProxy(ctx context.Context) (string, error) {
	lagging := ""
	for _, p := range m.fleet.Proxies {
		id := p.VM.ID
		if m.stopped[id] {
			continue
		}
		var d controlDump
		if err := p.JSON(ctx, "/dump", &d); err != nil {
			return "", err
		}
		version := uint64(0)
		for _, o := range d.Control.Objects {
			if o.Object == platform.KindCatalogue+"/"+watchedEntry {
				version = o.InForce
			}
		}
		if version < m.lastInForce[id] {
			m.reversions++
		}
		m.lastInForce[id] = version
		if version < m.version {
			lagging = id
		}
	}
	return lagging, nil
}

// restartTwo starts the proxies that it killed before the previous change, waits until
// they serve and count in the measurement again, and kills two random proxies, except
// before the last change.
func (m *measurement) restartTwo(ctx context.Context, i int) error {
	for id := range m.stopped {
		for _, p := range m.fleet.Proxies {
			if p.VM.ID == id {
				if err := p.Start(ctx); err != nil {
					return err
				}
			}
		}
		delete(m.stopped, id)
	}
	if i == restartChanges-1 {
		return nil
	}
	for range 2 {
		p := m.fleet.Proxies[m.rand.IntN(proxies)]
		m.stopped[p.VM.ID] = true
		p.Kill()
	}
	return nil
}

// cutWatches partitions the data centres from the platform in turn, one per change, and
// none in the last change of each cycle.
func (m *measurement) cutWatches(_ context.Context, i int) error {
	m.fleet.Network.Heal()
	names := m.fleet.DataCentres()
	if index := i % (len(names) + 1); index < len(names) {
		return m.fleet.Network.CutPlatform(names[index])
	}
	return nil
}

// measureLeaving sets a replica that serves reads to leaving and returns the time from
// the change to the replica's last read, in milliseconds.
func (m *measurement) measureLeaving(ctx context.Context) (float64, error) {
	database := m.fleet.Databases()[0]
	group, err := m.readGroup(database)
	if err != nil {
		return 0, err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	readers := startReaders(ctx, m.fleet, database)
	defer readers.Wait()
	defer stop()
	replica, err := m.busiestReplica(group)
	if err != nil {
		return 0, err
	}
	for i := range group.Servers {
		if group.Servers[i].ID == replica {
			group.Servers[i].State = topology.ServerLeaving
		}
	}
	if _, err := m.fleet.Platform.Put(platform.KindGroup, database, group); err != nil {
		return 0, err
	}
	return float64(m.lastReadAfter(replica).Milliseconds()), nil
}

func (m *measurement) readGroup(database string) (*topology.Group, error) {
	object, found := m.fleet.Platform.Get(platform.KindGroup, database)
	if !found {
		return nil, &platform.NotFoundError{Kind: platform.KindGroup, Name: database}
	}
	g := &topology.Group{}
	return g, json.Unmarshal(object.Value, g)
}

// NoReplicaReadsError reports a database whose replicas have served no reads.
type NoReplicaReadsError struct{ Database string }

func (e *NoReplicaReadsError) Error() string { return "no replica of " + e.Database + " serves reads" }

// busiestReplica waits for the readers to start and returns the replica that has served
// the most reads.
func (m *measurement) busiestReplica(g *topology.Group) (string, error) {
	time.Sleep(2 * time.Second) // readers connect and proxies discover the replicas
	best, reads := "", int64(0)
	for _, s := range g.Servers {
		if n := m.fleet.Server(s.ID).Stats().ReplicaReads; s.ID != g.Primary && n > reads {
			best, reads = s.ID, n
		}
	}
	if best == "" {
		return "", &NoReplicaReadsError{Database: g.Database}
	}
	m.env.Logf("phase=leaving server=%s reads=%d", best, reads)
	return best, nil
}

// lastReadAfter observes a server for leavingWindow and returns the time from the call to
// the server's last read.
func (m *measurement) lastReadAfter(server string) time.Duration {
	start, last := time.Now(), time.Duration(0)
	reads := m.fleet.Server(server).Stats().ReplicaReads
	for time.Since(start) < leavingWindow {
		if now := m.fleet.Server(server).Stats().ReplicaReads; now != reads {
			reads, last = now, time.Since(start)
		}
		time.Sleep(pollInterval)
	}
	return last
}
