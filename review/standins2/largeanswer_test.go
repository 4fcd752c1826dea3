//go:build review

package standins2

import (
	"fmt"
	"strings"
	"time"
)

const (
	rowBytes = 64 << 10
	// normalRows and largeRows are the rows in the answer to the report.
	normalRows = 16
	largeRows  = 1600
	// clientDeadline is the deadline of an operation.
	clientDeadline = 20 * time.Second
	reports        = 8
	retries        = 2
)

// largeAnswer reads a report whose answer has many rows, one client at a time.
func largeAnswer(f *fleet, trouble bool) (verdict, string) {
	g := newGroup("leche1")
	rows := normalRows
	if trouble {
		rows = largeRows
	}
	row := strings.Repeat("x", rowBytes)
	g.rows = func(item string) []string {
		if item != "report" {
			return []string{"row-of-" + item}
		}
		all := make([]string, rows)
		for i := range all {
			all[i] = row
		}
		return all
	}
	g.onRun = func(s *server, id, text string) { f.record.add("server %s runs %s %s", s.id, id, text) }
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
	f.configure(g.name, 0, route("ledger", "bounded_staleness", 3000, 1200, 1500))
	if err := f.startVMs(1); err != nil {
		return failure, err.Error()
	}
	served := 0
	for n := range reports {
		if f.report(n) {
			served++
		}
		time.Sleep(time.Second)
	}
	ended := 0
	for _, v := range f.vms {
		v.mu.Lock()
		f.record.add("%s: peak %d MB, killed %d times for its memory", v.name, v.peakMB, v.overs)
		if v.overs >= 3 {
			ended++
		}
		v.mu.Unlock()
	}
	text := fmt.Sprintf("%d of %d reports served; %d of %d VMs have ended three times or more for their memory", served, reports, ended, len(f.vms))
	if ended >= 2 {
		return broken, text
	}
	return held, text
}

// report reads the report as a client does, with retries on other proxies. It reports
// whether the client was served.
func (f *fleet) report(n int) bool {
	end := time.Now().Add(clientDeadline)
	for try := range 1 + retries {
		v := f.vms[(n+try)%len(f.vms)]
		v.awaitReady(time.Until(end))
		s, err := connect(v.address(v.front), "ledger")
		if err != nil {
			f.record.add("client %d cannot connect to %s: %v", n, v.name, err)
			continue
		}
		id := newID()
		f.record.add("client %d sends %s READ report to %s", n, id, v.name)
		a := s.query(id, "READ report", time.Until(end))
		s.close()
		f.record.add("client %d: %s answered with %s", n, id, a)
		if a.code == "" && !a.lost {
			return true
		}
	}
	return false
}
