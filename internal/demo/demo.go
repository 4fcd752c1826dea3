// Package demo runs the stand-ins and real proxies of one deployment in this
// process, on loopback, for trying the product out.
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

// fleetKey is shared by the demo's proxies, which listen on loopback only.
const fleetKey = "demonstration-fleet-key"

// Bounds of a demo.
const (
	MaxProxies   = 64
	startTimeout = 30 * time.Second
	drainTimeout = 3 * time.Second
	readyPoll    = 10 * time.Millisecond
)

// Options choose a demo.
type Options struct {
	Deployment deployment.Options
	Log        hclog.Logger
}

// Demo is a running deployment.
type Demo struct {
	Stands  *deployment.Deployment
	Proxies []*proxy.Proxy
}

// SizeError reports a number of proxies that a demo cannot run.
type SizeError struct{ Proxies int }

func (e *SizeError) Error() string {
	return fmt.Sprintf("--proxies is %d, want 1 to %d", e.Proxies, MaxProxies)
}

// NotReadyError reports proxies that did not become ready in time.
type NotReadyError struct{ VM string }

func (e *NotReadyError) Error() string { return "proxy " + e.VM + " did not become ready" }

// Start starts the stand-ins and the proxies and waits until all are ready.
func Start(ctx context.Context, o Options) (*Demo, error) {
	if o.Deployment.Proxies < 1 || o.Deployment.Proxies > MaxProxies {
		return nil, &SizeError{Proxies: o.Deployment.Proxies}
	}
	stands, err := deployment.Start(o.Deployment)
	if err != nil {
		return nil, err
	}
	d := &Demo{Stands: stands}
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
			case <-time.After(readyPoll):
			}
		}
	}
	return nil
}

// maxSeeds is the number of seeds in each proxy's settings.
const maxSeeds = 4

// Settings returns the settings of the proxy on a VM of a deployment.
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

// WriteReady writes the line that names the proxies, databases and platform.
func (d *Demo) WriteReady(w io.Writer) error {
	var callers []string
	for _, p := range d.Proxies {
		callers = append(callers, p.CallerAddr())
	}
	_, err := fmt.Fprintf(w, "event=ready proxies=%s databases=%s platform=%s\n",
		strings.Join(callers, ","), strings.Join(d.Stands.Databases(), ","), d.Stands.Platform.Addr())
	return err
}

// Stop drains the proxies one after another and ends the stand-ins.
func (d *Demo) Stop() {
	for _, p := range d.Proxies {
		ctx, cancel := context.WithTimeout(context.Background(), drainTimeout)
		_ = p.Stop(ctx) // the stand-ins end as well
		cancel()
	}
	d.Stands.Close()
}
