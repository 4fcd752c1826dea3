package control_test

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"github.com/vmihailenco/msgpack/v5"
	"pgregory.net/rapid"

	"egretroad/internal/control"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// document is the configuration of a version: the limit of each entry by name.
type document map[string]int

// list returns the document as the store's adapter presents it.
func (d document) list(version uint64) platform.ObjectList {
	l := platform.ObjectList{Revision: version}
	for _, name := range slices.Sorted(maps.Keys(d)) {
		l.Objects = append(l.Objects, documentEntry(name, d[name], version))
	}
	return l
}

func documentEntry(name string, limit int, version uint64) platform.Object {
	e := simEntry(0)
	e.Name, e.MaxConcurrent = name, limit
	raw, err := json.Marshal(e)
	if err != nil {
		panic(err) // an entry always encodes
	}
	return platform.Object{Kind: platform.KindCatalogue, Name: name, Version: version, Value: raw}
}

func documentRecord(name string, limit int, version uint64) control.ObjectRecord {
	o := documentEntry(name, limit, version)
	return control.ObjectRecord{Kind: o.Kind, Name: o.Name, Version: o.Version, Value: o.Value}
}

// documentVM is a machine in a fleet whose store keeps the catalogue as one document.
type documentVM struct {
	harness
	id       string
	vms      []topology.VM // the platform's list
	listed   bool          // the VM has read the list
	snapshot *topology.Snapshot
	reply    control.FetchReply
	sent     []documentMessage
	requests []control.FetchCopy // not answered yet
	alarms   []string            // events
}

type documentMessage struct {
	to      string
	message reducer.PeerMessage
}

// startDocumentVM returns a machine that processes no event before its first tick.
func startDocumentVM(id string, fleet []string, incarnation uint64, seeds []topology.VM) *documentVM {
	o := control.DefaultOptions()
	o.SelfRegistration, o.MaxVMsAllWatching, o.DisableStatusReports, o.CatalogueIsDocument = true, 32, true, true
	v := &documentVM{id: id, harness: harness{m: control.New(control.Config{Options: o, Self: harnessVM(id, "a"), Incarnation: incarnation, Seeds: seeds}), now: time.Hour}}
	for _, other := range fleet {
		v.vms = append(v.vms, harnessVM(other, "a"))
	}
	return v
}

func newDocumentVM(id string, fleet []string, version uint64, first document) *documentVM {
	v := startDocumentVM(id, fleet, 1, nil)
	v.step(reducer.Tick{Now: v.now})
	v.step(control.ObjectsListed{Kind: platform.KindCatalogue, List: first.list(version)})
	v.step(control.ObjectsListed{Kind: platform.KindServer, List: platform.ObjectList{Revision: 1}})
	return v
}

// step processes an event and lets the machine publish what has changed.
func (v *documentVM) step(e reducer.Event) {
	v.effects = nil
	v.post(e)
	if !v.listed {
		v.listed = true
		v.post(control.VMsListed{List: platform.VMList{Revision: 1, VMs: v.vms}})
	}
	v.tick(50 * time.Millisecond)
	for _, effect := range v.effects {
		switch e := effect.(type) {
		case control.Publish:
			v.snapshot = e.Snapshot
		case control.Log:
			if e.Alarm {
				v.alarms = append(v.alarms, e.Event)
			}
		case control.FetchCopy:
			v.requests = append(v.requests, e)
		case control.ReplyToFetch:
			v.reply = e.Reply
		case control.Notify:
			for _, to := range e.To {
				v.sent = append(v.sent, documentMessage{to, reducer.PeerMessage{From: v.id, Method: e.Method, Body: e.Body}})
			}
		}
	}
}

func (v *documentVM) read(version uint64, d document) {
	l := d.list(version)
	v.step(control.ObjectsWatched{Response: platform.WatchResponse{
		Objects: l.Objects, Ranges: map[string]platform.RevisionRange{platform.KindCatalogue: {Revision: version, Full: true}},
	}})
}

func (v *documentVM) receive(m reducer.PeerMessage) {
	m.Now = v.now
	v.step(m)
}

func (v *documentVM) receiveUpdate(from string, u control.ObjectUpdate) {
	v.receive(updateMessage(from, u))
}

func updateMessage(from string, u control.ObjectUpdate) reducer.PeerMessage {
	body, err := msgpack.Marshal(u)
	if err != nil {
		panic(err) // updates always encode
	}
	return reducer.PeerMessage{From: from, Method: method.Objects, Body: body}
}

// copyOf returns another VM's reply to a fetch of all objects.
func (v *documentVM) copyOf(other *documentVM) control.PeerFetched {
	other.step(control.FetchRequested{RequestID: 1})
	return control.PeerFetched{From: other.id, Reply: other.reply}
}

// inForce returns the document in force.
func (v *documentVM) inForce() document {
	d := document{}
	for _, name := range v.snapshot.Catalogue.Names() {
		e, _ := v.snapshot.Catalogue.Entry(name)
		d[name] = e.MaxConcurrent
	}
	return d
}

func (v *documentVM) complete() uint64 { return v.m.Dump().Complete.Catalogue }

var documentFleet = []string{"a1", "a2", "a3"}

// The VM skipped version 13, in which the entry had another value or was missing, and kept
// the entry's version 11. Records of version 13 then superseded what it had read as 15.
func TestConfigurationReadFromStoreIsNotSupersededByOlderRecord(t *testing.T) {
	stale := map[string]control.ObjectRecord{
		"other value": documentRecord("x", 2, 13),
		"deleted":     {Kind: platform.KindCatalogue, Name: "x", Version: 13, Deleted: true},
	}
	for name, record := range stale {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v := newDocumentVM("a1", documentFleet, 11, document{"x": 1, "y": 1})
			latest := document{"x": 1, "y": 2}
			v.read(15, latest)
			v.receiveUpdate("a2", control.ObjectUpdate{Kind: platform.KindCatalogue, Since: 11, Revision: 13, Objects: []control.ObjectRecord{record}})
			g.Expect(v.inForce()).To(Equal(latest), "after an update")
			v.receiveUpdate("a2", control.ObjectUpdate{Objects: []control.ObjectRecord{record}})
			g.Expect(v.inForce()).To(Equal(latest), "after an update without a range")
			v.step(control.PeerFetched{From: "a2", Reply: control.FetchReply{Complete: control.Completeness{Catalogue: 13, Groups: 1}, Objects: []control.ObjectRecord{record}}})
			g.Expect(v.inForce()).To(Equal(latest), "after a fetch")
		})
	}
}

// An update from version 11 to 15 lacks the entry that was changed in 13 and is as in 11
// again. A VM that holds version 13 does not hold version 15 after it, and must get the
// entry from a VM that does.
func TestUpdateFromOtherConfigurationDoesNotCompleteThisOne(t *testing.T) {
	g := NewWithT(t)
	first, latest := document{"x": 1, "y": 1}, document{"x": 1, "y": 2}
	reader := newDocumentVM("a1", documentFleet, 11, first)
	receiver := newDocumentVM("a2", documentFleet, 11, first)
	receiver.read(13, document{"x": 2, "y": 1})
	reader.read(15, latest)
	for _, m := range reader.sent {
		if m.to == "a2" && m.message.Method == method.Objects {
			receiver.receive(m.message)
		}
	}
	g.Expect(receiver.complete()).To(Equal(uint64(13)))
	receiver.step(receiver.copyOf(reader))
	g.Expect(receiver.inForce()).To(Equal(latest))
}

// The snapshot tells up to which configuration a VM holds all entries, and how many are of later ones.
func TestSnapshotTellsToWhichConfigurationEntriesBelong(t *testing.T) {
	g := NewWithT(t)
	v := newDocumentVM("a1", documentFleet, 11, document{"x": 1, "y": 1})
	g.Expect(v.snapshot.Configuration).To(Equal(topology.Configuration{Complete: 11, From: "list of the store", Entries: 2}))
	v.receiveUpdate("a2", control.ObjectUpdate{Objects: []control.ObjectRecord{documentRecord("z", 1, 15)}})
	g.Expect(v.snapshot.Configuration).To(Equal(topology.Configuration{Complete: 11, From: "list of the store", Entries: 3, Later: 1}))
	g.Expect(v.m.Dump().Later).To(Equal([]string{"z@15"}))
	v.read(15, document{"x": 1, "y": 1, "z": 1})
	g.Expect(v.snapshot.Configuration).To(Equal(topology.Configuration{Complete: 15, From: "watch", Entries: 3}))
}

// documentModel is a fleet over a store whose documents change, with late and lost messages.
type documentModel struct {
	documents map[uint64]document
	latest    uint64
	vms       []*documentVM
	messages  []documentMessage
	copies    map[string][]control.PeerFetched // by receiver; replies under way
	readUpTo  map[string]uint64                // by VM; the latest version that it has read or claimed
}

func newDocumentModel() *documentModel {
	first := document{"x": 1, "y": 1, "z": 1}
	m := &documentModel{documents: map[uint64]document{1: first}, latest: 1, copies: map[string][]control.PeerFetched{}, readUpTo: map[string]uint64{}}
	for _, id := range documentFleet {
		m.vms = append(m.vms, newDocumentVM(id, documentFleet, 1, first))
	}
	return m
}

// check requires that each entry in force on a VM is that of the document up to which the
// VM is complete, or of a later one.
func (m *documentModel) check(t *rapid.T) {
	for _, v := range m.vms {
		m.readUpTo[v.id] = max(m.readUpTo[v.id], v.complete())
		inForce := v.inForce()
		for _, name := range []string{"x", "y", "z"} {
			if !m.held(name, inForce[name], m.readUpTo[v.id]) {
				t.Fatalf("%s holds %s=%d, which no document from version %d to %d has", v.id, name, inForce[name], m.readUpTo[v.id], m.latest)
			}
		}
	}
}

func (m *documentModel) held(name string, limit int, since uint64) bool {
	for version, d := range m.documents {
		if version >= since && d[name] == limit {
			return true
		}
	}
	return false
}

func (m *documentModel) collect() {
	for _, v := range m.vms {
		m.messages = append(m.messages, v.sent...)
		v.sent = nil
	}
}

func (m *documentModel) vm(id string) *documentVM {
	return m.vms[slices.Index(documentFleet, id)]
}

func (m *documentModel) draw(t *rapid.T) *documentVM { return rapid.SampledFrom(m.vms).Draw(t, "vm") }

func (m *documentModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"write": func(t *rapid.T) {
			next := maps.Clone(m.documents[m.latest])
			name := rapid.SampledFrom([]string{"x", "y", "z"}).Draw(t, "name")
			next[name] = rapid.IntRange(1, 2).Draw(t, "limit")
			if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
				delete(next, name)
			}
			m.latest += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
			m.documents[m.latest] = next
		},
		"read": func(t *rapid.T) { m.draw(t).read(m.latest, m.documents[m.latest]) },
		"list": func(t *rapid.T) {
			m.draw(t).step(control.ObjectsListed{Kind: platform.KindCatalogue, List: m.documents[m.latest].list(m.latest)})
		},
		"deliver": func(t *rapid.T) {
			if len(m.messages) == 0 {
				t.Skip("no message")
			}
			i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
			next := m.messages[i]
			if rapid.Bool().Draw(t, "once") {
				m.messages = slices.Delete(m.messages, i, i+1)
			}
			m.vm(next.to).receive(next.message)
		},
		"lose": func(*rapid.T) { m.messages = nil },
		"copy": func(t *rapid.T) {
			to, from := m.draw(t), m.draw(t)
			if to != from {
				m.copies[to.id] = append(m.copies[to.id], to.copyOf(from))
			}
		},
		"fetched": func(t *rapid.T) {
			to := m.draw(t)
			if len(m.copies[to.id]) == 0 {
				t.Skip("no copy")
			}
			to.step(m.copies[to.id][0])
			m.copies[to.id] = m.copies[to.id][1:]
		},
		"": func(t *rapid.T) {
			m.collect()
			m.check(t)
		},
	}
}

// Whatever messages are late, lost or repeated, no VM puts an entry of an earlier
// configuration in force than the one that it has read, and all VMs agree on the latest
// once one has read it and the others have fetched copies.
func TestNoVMReturnsToAnEarlierConfiguration(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newDocumentModel()
		t.Repeat(m.actions())
		m.draw(t).read(m.latest, m.documents[m.latest])
		for range 3 {
			for _, to := range m.vms {
				for _, from := range m.vms {
					if to != from {
						to.step(to.copyOf(from))
					}
				}
			}
		}
		for _, v := range m.vms {
			if got := v.inForce(); !maps.Equal(got, m.documents[m.latest]) {
				t.Fatalf("%s holds %s, want %s", v.id, fmt.Sprint(got), fmt.Sprint(m.documents[m.latest]))
			}
		}
	})
}

// A large change from another data centre is not sent again within this one while a VM here
// watches the store and sends it.
func TestLargeUpdateIsNotRelayedBesideWorkingWatch(t *testing.T) {
	g := NewWithT(t)
	var objects []control.ObjectRecord
	for i := range 200 {
		objects = append(objects, documentRecord(fmt.Sprintf("added%d", i), 1, 9))
	}
	relayed := func(watched bool) int {
		v := newDocumentVM("a1", documentFleet, 1, document{"x": 1})
		v.tick(10 * time.Second)
		if watched {
			body, err := msgpack.Marshal(control.Heartbeat{Incarnation: 1, Watching: true})
			g.Expect(err).NotTo(HaveOccurred())
			v.receive(reducer.PeerMessage{From: "a2", Method: method.Heartbeat, Body: body})
		}
		v.sent = nil
		v.receiveUpdate("b1", control.ObjectUpdate{Kind: platform.KindCatalogue, Since: 1, Revision: 9, Objects: objects})
		n := 0
		for _, m := range v.sent {
			if m.message.Method == method.Objects {
				n++
			}
		}
		return n
	}
	g.Expect(relayed(true)).To(BeZero())
	g.Expect(relayed(false)).To(Equal(2))
}
