// Package demo runs a complete deployment in one process on loopback: real proxies,
// with stand-ins (in-process fakes) for the platform and the database groups. It
// serves the demo command and end-to-end tests. It is not for production use: the
// fleet key is a constant.
package demo

import (
	"context"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"

	"egretroad/internal/config"
	"egretroad/internal/proxy"
	"egretroad/internal/standin/deployment"
)

// fleetKey authenticates the demo's proxies to each other. It need not be secret:
// they listen on loopback only.
const fleetKey = "demonstration-fleet-key"

// Limits of a demo.
const (
	MaxProxies        = 64
	startTimeout      = 30 * time.Second
	drainTimeout      = 3 * time.Second
	readyPollInterval = 10 * time.Millisecond
)

// Options configures a demo.
type Options struct {
	Deployment deployment.Options
	Log        hclog.Logger
}

// Demo is a running deployment: its stand-ins and one proxy for each VM.
type Demo struct {
	Stands  *deployment.Deployment
	Proxies []*proxy.Proxy
}

// SizeError reports a number of proxies outside 1 to MaxProxies.
type SizeError struct{ Proxies int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("--proxies is %d, want 1 to %d", e.Proxies, MaxProxies)
}

// NotReadyError reports the VM whose proxy did not become ready in time.
type NotReadyError struct{ VM string }

func (e *NotReadyError) Error() string { return "proxy " + e.VM + " did not become ready" }

// Start starts the stand-ins and the proxies and waits until all proxies are ready.
// On error it stops what was started.
func Start(ctx context.Context, o Options) (*Demo, error) {
	if o.Deployment.Proxies < 1 || o.Deployment.Proxies > MaxProxies {
		return nil, &SizeError{Proxies: o.Deployment.Proxies}
	}
	standIns, err := deployment.Start(o.Deployment)
	if err != nil {
		return nil, err
	}
	d := &Demo{Stands: standIns}
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := d.startProxies(ctx, o.Log); err != nil {
		d.Stop()
		return nil, err
	}
	return d, nil
}

func (d *Demo) startProxies(ctx context.Context, log hclog.Logger) error {
	for _, vm := range d.Stands.VMs {
		p, err := proxy.New(Settings(d.Stands, vm, fleetKey), log.With("vm", vm.ID))
		if err != nil {
			return err
		}
		d.Proxies = append(d.Proxies, p)
		if err := p.Start(ctx); err != nil {
			return err
		}
	}
	for i, p := range d.Proxies {
		for !p.Ready() {
			select {
			case <-ctx.Done():
				return &NotReadyError{VM: d.Stands.VMs[i].ID}
			case <-time.After(readyPollInterval):
			}
		}
	}
	return nil
}

// maxSeeds limits the seed addresses in each proxy's settings.
const maxSeeds = 4

// Settings returns the settings of the proxy on the given VM.
func Settings(d *deployment.Deployment, vm deployment.VM, key string) config.Settings {
	s := config.Defaults()
	s.VM = config.VM{ID: vm.ID, DataCentre: vm.DataCentre, Region: vm.Region, Address: vm.BindIP}
	s.Callers.Listen = vm.CallerListen
	s.Peers = config.Peers{Listen: vm.PeerListen, Advertise: vm.PeerAddr, FleetKey: key}
	for _, other := range d.VMs {
		if other.ID != vm.ID && len(s.Peers.Seeds) < maxSeeds {
			s.Peers.Seeds = append(s.Peers.Seeds, other.PeerAddr)
		}
	}
	s.Platform.URL = d.Platform.URL()
	s.Shutdown.DrainTimeout = config.Duration(drainTimeout)
	return s
}

// WriteReady writes one line with the addresses of the proxies and the platform and
// the names of the databases.
func (d *Demo) WriteReady(w io.Writer) error {
	var callers []string
	for _, p := range d.Proxies {
		callers = append(callers, p.CallerAddr())
	}
	_, err := fmt.Fprintf(w, "event=ready proxies=%s databases=%s platform=%s\n",
		strings.Join(callers, ","), strings.Join(d.Stands.Databases(), ","), d.Stands.Platform.Addr())
	return err
}

// Stop drains and stops the proxies one after another, then stops the stand-ins.
func (d *Demo) Stop() {
	for _, p := range d.Proxies {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		_ = p.Stop(ctx) // a drain time-out does not matter: the stand-ins stop next
		cancel()
	}
	d.Stands.Close()
}
