// Package control measures the cost of the control plane: processor time, memory and
// traffic of each node (proxy), and calls to the platform, which stores the cluster
// state. It measures fleets of several sizes, idle and with catalogue changes, and
// extrapolates the figures to the target size.
package control

import (
	"context"
	"fmt"
	"os"
	"time"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/platform/objectclient"
	"egretroad/internal/standin/deployment"
	"egretroad/tools/measure/fleet"
	"egretroad/tools/measure/report"
)

// Size of the target deployment, its limits, and times of the measurement.
const (
	targetNodes       = 510
	targetServers     = 790 * 3
	targetDataCentres = 7
	targetCPUPercent  = 3.3
	targetMemoryMB    = 64
	targetBytes       = 17_000 // control traffic per second and node
	// Calls per second: a tenth of the platform's rates, which are several hundred writes
	// and two thousand reads.
	targetReads  = 200
	targetWrites = 30

	settleTime   = 2 * time.Second
	window       = 5 * time.Second
	longWindow   = 12 * time.Second // when only one size is measured
	changePeriod = 6 * time.Second  // 10 changes per minute
)

// defaultSizes are the numbers of proxies of the measured fleets. Each data centre has
// at least four, so that every VM has all its monitors.
var defaultSizes = []int{12, 24, 36}

// usage is the mean resource usage of one node; for calls to the platform, of the whole
// fleet.
type usage struct {
	cpuPercent   float64 // percent of a core
	memoryMB     float64 // resident set size
	bytes        float64 // per second, read and written on all sockets, per node
	control      float64 // per second, control traffic with peers and the platform in both directions, per node
	peerBytes    float64 // per second, control frames sent and received, per node
	messageBytes float64 // per second, control messages sent, per node
	messages     float64 // per second, sent, per node
	storeBytes   float64 // per second, to and from the platform, per node
	reads        float64 // per second, whole fleet, watches included
	watches      float64 // per second, whole fleet
	writes       float64 // per second, whole fleet
}

// Run measures fleets of defaultSizes, or one fleet of env.Size proxies.
func Run(ctx context.Context, env *report.Env) (*report.Report, error) {
	sizes, span := defaultSizes, window
	if env.Size > 0 {
		sizes, span = []int{env.Size}, longWindow
	}
	r := report.New("control", env.Seed)
	var changingUsage []usage
	var servers, dataCentres int
	for _, n := range sizes {
		idle, changing, err := measureSize(ctx, env, n, span, func(f *fleet.Fleet) {
			dataCentres = len(f.DataCentres())
			servers = 0
			for _, g := range f.Groups {
				servers += len(g.Servers())
			}
		})
		if err != nil {
			return nil, err
		}
		recordUsage(r, fmt.Sprintf("n%d_idle_", n), idle)
		recordUsage(r, fmt.Sprintf("n%d_changes_", n), changing)
		changingUsage = append(changingUsage, changing)
	}
	setBounds(r, measuredFleets{sizes: sizes, servers: servers, dataCentres: dataCentres}, changingUsage)
	return r, nil
}

func recordUsage(r *report.Report, prefix string, u usage) {
	for _, f := range figures {
		r.Set(prefix+f.name, f.value(u))
	}
}

// figure is one value of usage with its bound at the target size.
type figure struct {
	name  string
	value func(usage) float64
	scale
	limit float64 // 0: no bound
}

// scale describes how a figure grows with the fleet.
type scale struct {
	wholeFleet     bool // the figure covers the whole fleet instead of one node
	growsWithFleet bool // the usage of each node grows with the number of nodes
}

var (
	perNode        = scale{}
	perFleet       = scale{wholeFleet: true}
	perNodeGrowing = scale{growsWithFleet: true}
)

var figures = []figure{
	{"cpu_percent", func(u usage) float64 { return u.cpuPercent }, perNode, targetCPUPercent},
	{"memory_mb", func(u usage) float64 { return u.memoryMB }, perNodeGrowing, targetMemoryMB},
	{"control_bytes_per_s", func(u usage) float64 { return u.control }, perNode, targetBytes},
	{"peer_bytes_per_s", func(u usage) float64 { return u.peerBytes }, perNode, 0},
	{"all_socket_bytes_per_s", func(u usage) float64 { return u.bytes }, perNode, 0},
	{"message_bytes_per_s", func(u usage) float64 { return u.messageBytes }, perNode, 0},
	{"messages_per_s", func(u usage) float64 { return u.messages }, perNode, 0},
	{"store_bytes_per_s", func(u usage) float64 { return u.storeBytes }, perNode, 0},
	{"store_reads_per_s", func(u usage) float64 { return u.reads }, perFleet, targetReads},
	{"store_watches_per_s", func(u usage) float64 { return u.watches }, perFleet, 0},
	{"store_writes_per_s", func(u usage) float64 { return u.writes }, perFleet, targetWrites},
}

// measuredFleets describes the fleets that were measured.
type measuredFleets struct {
	sizes       []int // number of proxies of each fleet
	servers     int
	dataCentres int
}

// setBounds records the figures with their bounds. With several measured sizes it
// extrapolates to the target size; with one size the bounds apply to that size.
func setBounds(r *report.Report, fleets measuredFleets, measured []usage) {
	for _, f := range figures {
		if len(fleets.sizes) == 1 {
			if f.limit > 0 {
				r.AtMost("max_"+f.name, f.value(measured[0]), f.limit)
			}
			continue
		}
		extrapolated := fleets.extrapolate(r, f, measured)
		name := fmt.Sprintf("at_%d_%s", targetNodes, f.name)
		if f.limit > 0 {
			r.AtMost(name, extrapolated, f.limit)
		} else {
			r.Set(name, extrapolated)
		}
	}
}

// extrapolate fits the fleet's total as a linear function of the number of nodes. The
// fixed part of a figure per node scales with the number of servers, that of the calls
// to the platform with the number of data centres. Memory is fitted as the usage of one
// node as a function of the number of nodes.
func (s measuredFleets) extrapolate(r *report.Report, f figure, measured []usage) float64 {
	totals := make([]float64, len(measured))
	for i, u := range measured {
		totals[i] = f.value(u)
		if !f.wholeFleet && !f.growsWithFleet {
			totals[i] *= float64(s.sizes[i])
		}
	}
	slope, fixed := fitLine(s.sizes, totals)
	r.Set("per_node_"+f.name, slope)
	if f.growsWithFleet {
		return fixed + slope*targetNodes
	}
	if f.wholeFleet {
		perDataCentre := fixed / float64(s.dataCentres)
		r.Set("per_data_centre_"+f.name, perDataCentre)
		return slope*targetNodes + perDataCentre*targetDataCentres
	}
	perServer := fixed / float64(s.servers)
	r.Set("per_server_"+f.name, perServer)
	return slope + perServer*targetServers/targetNodes
}

// fitLine returns the slope and the intercept of the least-squares line through the
// values.
func fitLine(sizes []int, values []float64) (slope, base float64) {
	var n, sx, sy, sxx, sxy float64
	for i, size := range sizes {
		x, y := float64(size), values[i]
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	return slope, (sy - slope*sx) / n
}

// measureSize runs n proxies and returns their usage when idle and with catalogue
// changes. It calls inspect with the started fleet before measuring.
func measureSize(ctx context.Context, env *report.Env, n int, span time.Duration, inspect func(*fleet.Fleet)) (idle, changing usage, err error) {
	o := deployment.DefaultOptions()
	o.Proxies, o.Seed = n, env.Seed
	if env.Deployment != "" {
		o.Name = env.Deployment
	}
	f, err := fleet.Start(ctx, fleet.Options{Binary: env.Binary, Deployment: o})
	if err != nil {
		return usage{}, usage{}, err
	}
	defer f.Stop()
	inspect(f)
	time.Sleep(settleTime)
	if idle, err = measureUsage(ctx, f, span, nil); err != nil {
		return usage{}, usage{}, err
	}
	env.Logf("proxies=%d idle=%+v", n, idle)
	changes := 0
	changing, err = measureUsage(ctx, f, span, func() error {
		changes++
		return changeCatalogue(f, changes)
	})
	env.Logf("proxies=%d changes=%d usage=%+v", n, changes, changing)
	return idle, changing, err
}

func changeCatalogue(f *fleet.Fleet, i int) error {
	_, err := f.Platform.Put(platform.KindCatalogue, "measured", catalogue.Entry{
		Name: "measured", Kind: "measured", Owner: "measure", Database: f.Databases()[0],
		Rank: catalogue.RankReports, Access: catalogue.AccessRead, Deadline: 1000, MaxConcurrent: i,
	})
	return err
}

// measureUsage returns the usage over a span. onPeriod, if not nil, runs at the start
// of the span and then every changePeriod.
func measureUsage(ctx context.Context, f *fleet.Fleet, span time.Duration, onPeriod func() error) (usage, error) {
	before, err := readCounters(ctx, f)
	if err != nil {
		return usage{}, err
	}
	start := time.Now()
	for time.Since(start) < span {
		if onPeriod != nil {
			if err := onPeriod(); err != nil {
				return usage{}, err
			}
		}
		time.Sleep(min(changePeriod, span-time.Since(start)))
	}
	after, err := readCounters(ctx, f)
	if err != nil {
		return usage{}, err
	}
	return after.since(before), nil
}

// processUse is the resource usage of processes according to the kernel.
type processUse struct {
	cpu   time.Duration
	bytes int64
}

// counters are the fleet's totals at one time. Reading the metrics itself uses
// resources of the proxies: processBefore is taken before the read and processAfter
// after it, so that since can exclude that usage.
type counters struct {
	at                                 time.Time
	nodes                              float64
	processBefore, processAfter        processUse
	resident                           int64
	messages, messageBytes, peerBytes  int64
	storeBytes, reads, watches, writes uint64
}

// debugVars is the part of a proxy's /debug/vars that the measurement reads.
type debugVars struct {
	Control struct {
		Messages int64 `json:"messages_sent"`
		Bytes    int64 `json:"message_bytes_sent"`
	} `json:"control"`
	Peer struct {
		Sent     int64 `json:"control_sent_bytes"`
		Received int64 `json:"control_received_bytes"`
	} `json:"peer"`
	Platform struct {
		Calls map[objectclient.Call]objectclient.CallCount `json:"calls"`
	} `json:"platform"`
}

func readCounters(ctx context.Context, f *fleet.Fleet) (counters, error) {
	c := counters{at: time.Now(), nodes: float64(len(f.Proxies))}
	for _, p := range f.Proxies {
		if err := c.addProxy(ctx, p); err != nil {
			return counters{}, err
		}
	}
	return c, nil
}

func (c *counters) addProxy(ctx context.Context, p *fleet.Proxy) error {
	if err := c.addProcess(p, &c.processBefore); err != nil {
		return err
	}
	var v debugVars
	if err := p.JSON(ctx, "/debug/vars", &v); err != nil {
		return err
	}
	resident, err := p.ResidentBytes()
	if err != nil {
		return err
	}
	c.resident += resident
	c.messages += v.Control.Messages
	c.messageBytes += v.Control.Bytes
	c.peerBytes += v.Peer.Sent + v.Peer.Received
	for call, n := range v.Platform.Calls {
		c.addCalls(call, n)
	}
	return c.addProcess(p, &c.processAfter)
}

// addProcess adds the usage of a proxy's process to total.
func (c *counters) addProcess(p *fleet.Proxy, total *processUse) error {
	cpu, err := p.CPU()
	if err != nil {
		return err
	}
	bytes, err := ioBytes(p.Pid())
	total.cpu += cpu
	total.bytes += bytes
	return err
}

func (c *counters) addCalls(call objectclient.Call, n objectclient.CallCount) {
	c.storeBytes += n.SentBytes + n.ReceivedBytes
	switch call {
	case objectclient.CallPut, objectclient.CallDelete:
		c.writes += n.Calls
	case objectclient.CallWatch:
		c.watches += n.Calls
		c.reads += n.Calls
	default:
		c.reads += n.Calls
	}
}

// ioBytes returns the bytes that a process has read and written in system calls. They
// equal its socket traffic, because a proxy uses no files.
func ioBytes(pid int) (int64, error) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
	if err != nil {
		return 0, err
	}
	var in, out int64
	_, err = fmt.Sscanf(string(raw), "rchar: %d\nwchar: %d", &in, &out)
	return in + out, err
}

func (c counters) since(earlier counters) usage {
	seconds := c.at.Sub(earlier.at).Seconds()
	perNode := func(n float64) float64 { return n / seconds / c.nodes }
	return usage{
		cpuPercent:   100 * perNode((c.processBefore.cpu - earlier.processAfter.cpu).Seconds()),
		memoryMB:     float64(c.resident) / c.nodes / 1e6,
		bytes:        perNode(float64(c.processBefore.bytes - earlier.processAfter.bytes)),
		messageBytes: perNode(float64(c.messageBytes - earlier.messageBytes)),
		control:      perNode(float64(c.peerBytes-earlier.peerBytes) + float64(c.storeBytes-earlier.storeBytes)),
		peerBytes:    perNode(float64(c.peerBytes - earlier.peerBytes)),
		messages:     perNode(float64(c.messages - earlier.messages)),
		storeBytes:   perNode(float64(c.storeBytes - earlier.storeBytes)),
		reads:        float64(c.reads-earlier.reads) / seconds,
		watches:      float64(c.watches-earlier.watches) / seconds,
		writes:       float64(c.writes-earlier.writes) / seconds,
	}
}
