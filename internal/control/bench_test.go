package control_test

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/vmihailenco/msgpack/v5"

	"egretroad/internal/control"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// benchSize is the size of a fleet. Each database has three servers.
type benchSize struct{ dataCentres, vms, databases int }

// benchSizes range from a present-day deployment to the target of 510 VMs and 790
// databases (2,370 servers).
var benchSizes = []benchSize{{3, 9, 3}, {3, 32, 30}, {7, 128, 200}, {7, 510, 790}}

func (s benchSize) String() string {
	return fmt.Sprintf("vms=%d/servers=%d", s.vms, 3*s.databases)
}

// benchMachine returns a ready machine of one VM of the fleet.
func benchMachine(b *testing.B, size benchSize) (*control.Machine, []topology.VM, time.Duration) {
	b.Helper()
	vms := make([]topology.VM, 0, size.vms)
	for i := range size.vms {
		vms = append(vms, simVM(i%size.dataCentres, i/size.dataCentres))
	}
	now := time.Hour
	m := control.New(control.Config{Options: control.DefaultOptions(), Self: vms[0], Incarnation: 1})
	m.Step(reducer.Tick{Now: now})
	m.Step(control.VMsListed{List: platform.VMList{Revision: 1, VMs: vms}})
	m.Step(control.ObjectsListed{Kind: platform.KindCatalogue, List: benchList(b, platform.KindCatalogue, size, func(i int) (string, any) { e := simEntry(i); return e.Name, e })})
	m.Step(control.ObjectsListed{Kind: platform.KindGroup, List: benchList(b, platform.KindGroup, size, func(i int) (string, any) { g := simGroup(i, size.dataCentres); return g.Database, g })})
	if !m.Ready() {
		b.Fatal("machine is not ready")
	}
	return m, vms, now
}

func benchList(b *testing.B, kind string, size benchSize, object func(i int) (string, any)) platform.ObjectList {
	b.Helper()
	l := platform.ObjectList{Revision: uint64(2*size.databases + 1)}
	for i := range size.databases {
		name, value := object(i)
		raw, err := json.Marshal(value)
		if err != nil {
			b.Fatal(err)
		}
		l.Objects = append(l.Objects, platform.Object{Kind: kind, Name: name, Version: uint64(i + 1), Value: raw})
	}
	return l
}

func benchEachSize(b *testing.B, run func(b *testing.B, size benchSize)) {
	for _, size := range benchSizes {
		b.Run(size.String(), func(b *testing.B) { run(b, size) })
	}
}

// BenchmarkHeartbeat measures the processing of one peer's heartbeat.
func BenchmarkHeartbeat(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		m, vms, now := benchMachine(b, size)
		body, err := msgpack.Marshal(control.Heartbeat{Incarnation: 1, Complete: control.Completeness{Catalogue: 1, Groups: 1}})
		if err != nil {
			b.Fatal(err)
		}
		from := vms[size.dataCentres].ID
		b.ReportAllocs()
		for b.Loop() {
			m.Step(reducer.PeerMessage{From: from, Method: method.Heartbeat, Body: body, Now: now})
		}
	})
}

// BenchmarkTick measures the mean cost of a tick, including the heartbeats it sends.
// The monitored VMs reply in time.
func BenchmarkTick(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		m, _, now := benchMachine(b, size)
		body, err := msgpack.Marshal(control.Heartbeat{Incarnation: 1})
		if err != nil {
			b.Fatal(err)
		}
		monitored := []string{}
		for _, member := range m.Dump().Members {
			if member.Monitored {
				monitored = append(monitored, member.ID)
			}
		}
		b.ReportAllocs()
		for b.Loop() {
			now += 50 * time.Millisecond
			m.Step(reducer.Tick{Now: now})
			if now%(500*time.Millisecond) == 0 {
				for _, id := range monitored {
					m.Step(reducer.PeerMessage{From: id, Method: method.Heartbeat, Body: body, Now: now})
				}
			}
		}
	})
}

// BenchmarkGroupChange measures the change of one group, including the new snapshot.
func BenchmarkGroupChange(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		m, _, now := benchMachine(b, size)
		g := simGroup(0, size.dataCentres)
		version := uint64(1 << 20)
		b.ReportAllocs()
		for b.Loop() {
			version++
			now += 50 * time.Millisecond
			g.Term = version
			raw, err := json.Marshal(g)
			if err != nil {
				b.Fatal(err)
			}
			m.Step(reducer.Tick{Now: now})
			m.Step(reducer.ObjectChanged{Kind: platform.KindGroup, Name: g.Database, Version: version, Value: raw, From: "vm-0-1"})
		}
	})
}

// BenchmarkMemberChange measures the failure or rejoin of one VM: the ring, the homes
// of its data centre and the new snapshot.
func BenchmarkMemberChange(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		m, vms, now := benchMachine(b, size)
		vm := vms[len(vms)-size.dataCentres] // in this VM's data centre or an adjacent one
		incarnation := uint64(1)
		b.ReportAllocs()
		for b.Loop() {
			incarnation++
			now += 50 * time.Millisecond
			record := control.Record{ID: vm.ID, Incarnation: incarnation / 2, Status: control.StatusAlive}
			if incarnation%2 == 1 {
				record.Status = control.StatusDead
			}
			body, err := msgpack.Marshal(control.Heartbeat{Incarnation: 1, Records: []control.Record{record}})
			if err != nil {
				b.Fatal(err)
			}
			m.Step(reducer.Tick{Now: now})
			m.Step(reducer.PeerMessage{From: vms[size.dataCentres].ID, Method: method.Heartbeat, Body: body, Now: now})
		}
	})
}

// BenchmarkStart measures the start of a machine until it has all objects.
func BenchmarkStart(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		b.ReportAllocs()
		for b.Loop() {
			benchMachine(b, size)
		}
	})
}

// BenchmarkState reports the live heap of a machine that knows the whole fleet,
// including the current snapshot.
func BenchmarkState(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		var before, after runtime.MemStats
		machines := make([]*control.Machine, 0, b.N)
		runtime.GC()
		runtime.ReadMemStats(&before)
		for range b.N {
			m, _, _ := benchMachine(b, size)
			machines = append(machines, m)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "live-B/op")
		runtime.KeepAlive(machines)
	})
}

// BenchmarkRelay measures a change from the watch, which is encoded once for the other
// VMs of the data centre, and reports the bytes sent to them.
func BenchmarkRelay(b *testing.B) {
	benchEachSize(b, func(b *testing.B, size benchSize) {
		m, _, now := benchMachine(b, size)
		g := simGroup(0, size.dataCentres)
		version := uint64(1 << 20)
		notified := 0
		for b.Loop() {
			version++
			now += 50 * time.Millisecond
			g.Term = version
			raw, err := json.Marshal(g)
			if err != nil {
				b.Fatal(err)
			}
			m.Step(reducer.Tick{Now: now})
			reply := platform.WatchResponse{Revision: version, Objects: []platform.Object{{Kind: platform.KindGroup, Name: g.Database, Version: version, Value: raw}}}
			for _, effect := range m.Step(control.ObjectsWatched{Since: version - 1, Response: reply}) {
				if n, isNotify := effect.(control.Notify); isNotify {
					notified += len(n.To) * len(n.Body)
				}
			}
		}
		b.ReportMetric(float64(notified)/float64(b.N), "sent-B/op")
	})
}
