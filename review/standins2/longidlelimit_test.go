//go:build review

package standins2

import (
	"fmt"
	"sync"
	"sync/atomic"
	"time"
)

const (
	recovery = 12 * time.Second // bound recovery-s
	// longIdleMS is the new value of tx-idle-ms: two hours.
	longIdleMS = 2 * 60 * 60 * 1000
	observed   = 8 * time.Second
)

// longIdleLimit lets transactions rest for longer and then ends with the final fault: all
// processes are killed right after the configuration has been acknowledged.
func longIdleLimit(f *fleet, trouble bool) (verdict, string) {
	g := newGroup("leche1")
	if err := f.startPlatform(g, leadsNow); err != nil {
		return failure, err.Error()
	}
	for _, zone := range zones {
		s, err := g.add("i-"+zone, zone)
		if err != nil {
			return failure, err.Error()
		}
		go f.beat(s, func() string { return "ready" })
	}
	configure := func(version, txIdleMS int) {
		f.configureVersion(version, txIdleMS, g.name, 0, route("payments", "primary", 1000, 800, 0), route("sheets", "bounded_staleness", 3000, 1200, 1500))
		f.record.add("store acknowledges version %d with tx-idle-ms = %d", version, txIdleMS)
	}
	configure(7, 3000)
	if err := f.startVMs(1); err != nil {
		return failure, err.Error()
	}
	time.Sleep(2 * time.Second)
	before := f.servedShare(observed / 2)
	configure(8, longIdleMS)
	time.Sleep(6 * time.Second) // the configuration is in force everywhere
	between := f.servedShare(observed / 2)
	configure(9, longIdleMS+1000)
	if trouble {
		f.record.add("all processes are killed")
		var killed sync.WaitGroup
		for _, v := range f.vms {
			killed.Go(func() { v.kill(false) })
		}
		killed.Wait()
		time.Sleep(2 * time.Second) // they are started again after one second
	}
	time.Sleep(recovery)
	after := f.servedShare(observed)
	text := fmt.Sprintf("served: %.0f%% before version 8, %.0f%% with it, %.0f%% from %v after the VMs were back", 100*before, 100*between, 100*after, recovery)
	switch {
	case between < 0.25:
		return failure, text
	case after < 0.25:
		return broken, text
	default:
		return held, text
	}
}

// servedShare returns the share of operations that are served, during some time.
func (f *fleet) servedShare(during time.Duration) float64 {
	var sent, served atomic.Int64
	var clients sync.WaitGroup
	end := time.Now().Add(during)
	for n := range 6 {
		clients.Go(func() {
			for try := n; time.Now().Before(end); try++ {
				v, database, text := f.vms[try%len(f.vms)], "sheets", "READ k"
				if try%4 == 0 {
					database, text = "payments", "WRITE k "+newID()
				}
				sent.Add(1)
				id := newID()
				s, err := connect(v.address(v.front), database)
				if err != nil {
					f.record.add("client %d: CONNECT %s at %s fails: %v", n, database, v.name, err)
				} else {
					a := s.query(id, text, 5*time.Second)
					f.record.add("client %d: %s %s at %s answered with %s", n, id, text, v.name, a)
					if a.code == "" && !a.lost {
						served.Add(1)
					}
					s.close()
				}
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	clients.Wait()
	return float64(served.Load()) / float64(max(sent.Load(), 1))
}
