package control_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/control"
	"egretroad/internal/peer/method"
	"egretroad/internal/platform"
	"egretroad/internal/rapidseed"
	"egretroad/internal/reducer"
	"egretroad/internal/topology"
)

// The VM had listed the store before the first configuration, and took that for version 1.
func TestFirstConfigurationIsNotTakenForDeleted(t *testing.T) {
	first := document{"x": 1, "y": 1}
	records := []control.ObjectRecord{documentRecord("x", 1, 1), documentRecord("y", 1, 1)}
	ways := map[string]reducer.Event{
		"update":                updateMessage("a2", control.ObjectUpdate{Kind: platform.KindCatalogue, Since: 1, Revision: 1, Objects: records}),
		"copy":                  control.PeerFetched{From: "a2", Reply: control.FetchReply{Complete: control.Completeness{Catalogue: 1, Groups: 1}, Objects: records}},
		"relayed after a fetch": updateMessage("a2", control.ObjectUpdate{Objects: records}),
		"part of a copy":        control.PeerFetched{From: "a2", Reply: control.FetchReply{Objects: records}},
	}
	for name, event := range ways {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			v := newDocumentVM("a1", documentFleet, 0, document{})
			v.step(event)
			g.Expect(v.inForce()).To(Equal(first), "before the store's own answer")
			v.read(1, first)
			g.Expect(v.inForce()).To(Equal(first), "after the store's own answer")
		})
	}
}

// The same where each entry is an object of its own: the first one of a store has revision 1.
func TestFirstObjectOfStoreIsNotTakenForDeleted(t *testing.T) {
	g := NewWithT(t)
	h := newHarnessWithoutCatalogue()
	h.effects = nil
	h.post(control.ObjectsListed{Kind: platform.KindCatalogue})
	h.post(control.ObjectsListed{Kind: platform.KindServer})
	h.tick(50 * time.Millisecond)
	g.Expect(h.m.Ready()).To(BeTrue())
	for _, effect := range h.effects {
		if watch, ok := effect.(control.WatchObjects); ok {
			g.Expect(watch.Since).To(BeZero(), "the watch reports the first object")
		}
	}
	h.post(updateMessage("a2", control.ObjectUpdate{Objects: []control.ObjectRecord{documentRecord("x", 1, 1)}}))
	h.tick(50 * time.Millisecond)
	var names []string
	for _, effect := range h.effects {
		if published, ok := effect.(control.Publish); ok {
			names = published.Snapshot.Catalogue.Names()
		}
	}
	g.Expect(names).To(ConsistOf("x"))
}

// What a VM reads from the store is right, also where another VM has told it otherwise.
func TestStoreCorrectsConfigurationOfSameVersion(t *testing.T) {
	g := NewWithT(t)
	v := newDocumentVM("a1", documentFleet, 5, document{"x": 1, "y": 1, "z": 1})
	wrong := []control.ObjectRecord{documentRecord("x", 2, 7), {Kind: platform.KindCatalogue, Name: "y", Version: 7, Deleted: true}}
	v.receiveUpdate("a2", control.ObjectUpdate{Kind: platform.KindCatalogue, Since: 5, Revision: 7, Objects: wrong})
	g.Expect(v.complete()).To(Equal(uint64(7)))
	v.sent = nil
	right := document{"x": 1, "y": 1}
	v.read(7, right)
	g.Expect(v.inForce()).To(Equal(right))
	g.Expect(v.snapshot.Configuration).To(Equal(topology.Configuration{Complete: 7, From: "watch", Entries: 2}))
	g.Expect(v.alarms).To(ContainElement("configuration_corrected"))
	other := newDocumentVM("a2", documentFleet, 5, document{"x": 1, "y": 1, "z": 1})
	for _, m := range v.sent {
		if m.to == "a2" && m.message.Method == method.Objects {
			other.receive(m.message)
		}
	}
	g.Expect(other.inForce()).To(Equal(right), "the correction is relayed")
}

// The sender of a copy has never known a route that was dropped before its start. A VM that holds
// that route goes on with it, and claims the configuration without it.
func TestCopyEndsRoutesThatItsSenderHasNeverKnown(t *testing.T) {
	latest := document{"y": 1}
	for name, isReady := range map[string]bool{"a VM that starts": false, "a VM that is ready": true} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			sender := newDocumentVM("a2", documentFleet, 7, latest)
			v := startDocumentVM("a1", documentFleet, 1, nil)
			v.step(reducer.Tick{Now: v.now})
			v.step(control.ObjectsListed{Kind: platform.KindCatalogue, List: document{"x": 1, "y": 1}.list(5)})
			if isReady {
				v.step(control.ObjectsListed{Kind: platform.KindServer, List: platform.ObjectList{Revision: 1}})
			}
			v.step(v.copyOf(sender))
			g.Expect(v.m.Ready()).To(BeTrue())
			g.Expect(v.inForce()).To(Equal(latest))
		})
	}
}

// A VM that starts takes over a route from a VM that is behind, while the copy of one that is not
// is on its way. The second copy does not have the route, and its buckets did not differ.
func TestCopyDoesNotCompleteVMThatGotMoreMeanwhile(t *testing.T) {
	g := NewWithT(t)
	latest := document{"y": 1}
	sender := newDocumentVM("a2", documentFleet, 7, latest)
	v := startDocumentVM("a1", documentFleet, 1, []topology.VM{harnessVM("a2", "a")})
	v.step(reducer.Tick{Now: v.now})
	request := v.requests[0].Request
	sender.step(control.FetchRequested{RequestID: 1, Request: request})
	v.receiveUpdate("a3", control.ObjectUpdate{Objects: []control.ObjectRecord{documentRecord("x", 1, 5)}})
	v.requests = nil
	v.step(control.PeerFetched{From: "a2", Request: request, Reply: sender.reply})
	g.Expect(v.m.Ready()).To(BeFalse())
	g.Expect(v.requests).To(HaveLen(1), "the VM fetches again")
	sender.step(control.FetchRequested{RequestID: 2, Request: v.requests[0].Request})
	v.step(control.PeerFetched{From: "a2", Request: v.requests[0].Request, Reply: sender.reply})
	g.Expect(v.m.Ready()).To(BeTrue())
	g.Expect(v.inForce()).To(Equal(latest))
}

// A VM that has an entry of a later configuration states neither that its objects are those of the
// earlier one, nor passes it on without telling the entry.
func TestEntriesOfLaterConfigurationsAreTold(t *testing.T) {
	g := NewWithT(t)
	sender := newDocumentVM("a2", documentFleet, 5, document{"x": 1, "y": 1})
	sender.receiveUpdate("a3", control.ObjectUpdate{Objects: []control.ObjectRecord{{Kind: platform.KindCatalogue, Name: "x", Version: 9, Deleted: true}}})
	sender.sent = nil
	sender.now += time.Second
	sender.step(reducer.Tick{Now: sender.now})

	behind := newDocumentVM("a1", documentFleet, 3, document{"y": 1})
	for _, m := range sender.sent {
		if m.to == "a1" {
			behind.receive(m.message)
		}
	}
	g.Expect(sender.sent).NotTo(BeEmpty())
	g.Expect(behind.complete()).To(Equal(uint64(3)), "equal objects, but not those of configuration 5")

	starting := startDocumentVM("a1", documentFleet, 1, []topology.VM{harnessVM("a2", "a")})
	starting.step(reducer.Tick{Now: starting.now})
	request := starting.requests[0].Request
	sender.step(control.FetchRequested{RequestID: 1, Request: request})
	starting.step(control.PeerFetched{From: "a2", Request: request, Reply: sender.reply})
	g.Expect(starting.complete()).To(Equal(uint64(5)))
	g.Expect(starting.m.Dump().Later).To(Equal([]string{"x@9"}))
}

// A configuration gives a host's route another name, and a VM gets it in two parts of a copy. The
// host was refused between them, which no configuration allows.
func TestHostOfRenamedRouteIsServedBetweenPartsOfCopy(t *testing.T) {
	g := NewWithT(t)
	v := newDocumentVM("a1", documentFleet, 5, document{"before": 1})
	host := simEntry(0).Database
	parts := [][]control.ObjectRecord{
		{{Kind: platform.KindCatalogue, Name: "before", Version: 7, Deleted: true}},
		{documentRecord("after", 1, 7)},
	}
	for i, part := range parts {
		v.step(control.PeerFetched{From: "a2", Reply: control.FetchReply{Objects: part}})
		_, err := v.snapshot.Catalogue.Resolve(host, "", "")
		g.Expect(err).NotTo(HaveOccurred(), "after part %d", i+1)
	}
}

// A VM that had stopped watching took an answer from a minute before for a sign of a working watch.
func TestKeptAnswerIsNoContactWithStore(t *testing.T) {
	g := NewWithT(t)
	v := newDocumentVM("a1", documentFleet, 5, document{"x": 1})
	v.now += time.Minute
	v.step(reducer.Tick{Now: v.now})
	old := v.now - time.Minute
	v.step(control.ObjectsWatched{Response: platform.WatchResponse{
		Ranges:     map[string]platform.RevisionRange{platform.KindCatalogue: {}, platform.KindServer: {}},
		AnsweredAt: map[string]time.Duration{platform.KindCatalogue: old, platform.KindServer: old},
	}})
	g.Expect(v.m.Dump().WatchAgeMS).To(BeNumerically(">=", time.Minute.Milliseconds()))
}

// claimModel is a fleet whose VMs start at any time, also before the first configuration. Their
// answers of the store arrive late, and copies in parts.
type claimModel struct {
	documents map[uint64]document // by version; 0: the store holds none
	latest    uint64
	visible   uint64 // version that the store shows; less than latest after it has returned from an older copy
	vms       map[string]*documentVM
	starts    uint64
	messages  []documentMessage
	copies    map[string][]control.PeerFetched // by receiver; replies under way
	lists     map[string][]uint64              // by VM; versions of the lists under way
}

func newClaimModel() *claimModel {
	m := &claimModel{documents: map[uint64]document{0: {}}, vms: map[string]*documentVM{}, copies: map[string][]control.PeerFetched{}, lists: map[string][]uint64{}}
	for _, id := range documentFleet {
		m.start(id)
	}
	return m
}

// start starts a VM's process. What was under way to the one before it is lost.
func (m *claimModel) start(id string) {
	m.starts++
	var seeds []topology.VM
	for _, other := range documentFleet {
		seeds = append(seeds, harnessVM(other, "a"))
	}
	v := startDocumentVM(id, documentFleet, m.starts, seeds)
	if old := m.vms[id]; old != nil {
		v.now = old.now + time.Second
	}
	v.step(reducer.Tick{Now: v.now})
	m.vms[id] = v
	m.copies[id], m.lists[id] = nil, nil
	m.messages = slices.DeleteFunc(m.messages, func(d documentMessage) bool { return d.to == id })
}

func (m *claimModel) draw(t *rapid.T) *documentVM {
	return m.vms[rapid.SampledFrom(documentFleet).Draw(t, "vm")]
}

// check requires that a VM which claims to hold a configuration holds each of its entries,
// unless it has got another one of a later configuration.
func (m *claimModel) check(t *rapid.T) {
	for _, id := range documentFleet {
		v := m.vms[id]
		if !v.m.Ready() {
			continue
		}
		complete, later := v.complete(), v.m.Dump().Later
		for _, name := range documentNames {
			got, want := v.inForce()[name], m.documents[complete][name]
			isLater := slices.ContainsFunc(later, func(entry string) bool { return entry[:len(name)] == name })
			if !isLater && got != want {
				t.Fatalf("%s is complete up to version %d and holds %s=%d, want %d", id, complete, name, got, want)
			}
			if isLater && !m.isInLater(name, got, complete) {
				t.Fatalf("%s is complete up to version %d and holds %s=%d, which no later version has", id, complete, name, got)
			}
		}
	}
}

func (m *claimModel) isInLater(name string, limit int, since uint64) bool {
	for version, d := range m.documents {
		if version > since && d[name] == limit {
			return true
		}
	}
	return false
}

// requireAnswerInForce requires that a VM holds what the store has just answered.
func (m *claimModel) requireAnswerInForce(t *rapid.T, v *documentVM, version uint64) {
	if v.m.Ready() && v.complete() == version && len(v.m.Dump().Later) == 0 && !maps.Equal(v.inForce(), m.documents[version]) {
		t.Fatalf("%s holds %v after the store's answer of version %d, want %v", v.id, v.inForce(), version, m.documents[version])
	}
	if v.m.Ready() && version == m.latest && !maps.Equal(v.inForce(), m.documents[version]) {
		t.Fatalf("%s holds %v after the store's answer of the latest version %d, want %v", v.id, v.inForce(), version, m.documents[version])
	}
}

var documentNames = []string{"x", "y", "z"}

func (m *claimModel) actions() map[string]func(*rapid.T) {
	return map[string]func(*rapid.T){
		"write":   m.write,
		"restore": func(t *rapid.T) { m.visible = rapid.SampledFrom(m.versions()).Draw(t, "version") },
		"start":   func(t *rapid.T) { m.start(m.draw(t).id) },
		"list": func(t *rapid.T) {
			v := m.draw(t)
			m.lists[v.id] = append(m.lists[v.id], m.visible)
		},
		"listed": func(t *rapid.T) {
			v := m.draw(t)
			if len(m.lists[v.id]) == 0 {
				t.Skip("no list")
			}
			version := m.lists[v.id][0]
			m.lists[v.id] = m.lists[v.id][1:]
			v.step(control.ObjectsListed{Kind: platform.KindCatalogue, List: m.documents[version].list(version)})
			m.requireAnswerInForce(t, v, version)
		},
		"list servers": func(t *rapid.T) {
			m.draw(t).step(control.ObjectsListed{Kind: platform.KindServer, List: platform.ObjectList{Revision: 1}})
		},
		"watch": func(t *rapid.T) {
			v := m.draw(t)
			if !v.m.Ready() || m.visible == 0 {
				t.Skip("no watch")
			}
			v.read(m.visible, m.documents[m.visible])
			m.requireAnswerInForce(t, v, m.visible)
		},
		"deliver": m.deliver,
		"lose":    func(*rapid.T) { m.messages = nil },
		"answer":  m.answer,
		"copy":    m.copy,
		"fetched": func(t *rapid.T) {
			v := m.draw(t)
			if len(m.copies[v.id]) == 0 {
				t.Skip("no copy")
			}
			v.step(m.copies[v.id][0])
			m.copies[v.id] = m.copies[v.id][1:]
		},
		"": func(t *rapid.T) {
			for _, id := range documentFleet {
				m.messages = append(m.messages, m.vms[id].sent...)
				m.vms[id].sent = nil
			}
			m.check(t)
		},
	}
}

func (m *claimModel) versions() []uint64 { return slices.Sorted(maps.Keys(m.documents)) }

func (m *claimModel) write(t *rapid.T) {
	next := maps.Clone(m.documents[m.latest])
	for range rapid.IntRange(1, 2).Draw(t, "changes") {
		name := rapid.SampledFrom(documentNames).Draw(t, "name")
		next[name] = rapid.IntRange(1, 2).Draw(t, "limit")
		if rapid.IntRange(0, 3).Draw(t, "delete") == 0 {
			delete(next, name)
		}
	}
	m.latest += uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	m.documents[m.latest], m.visible = next, m.latest
}

func (m *claimModel) deliver(t *rapid.T) {
	if len(m.messages) == 0 {
		t.Skip("no message")
	}
	i := rapid.IntRange(0, len(m.messages)-1).Draw(t, "message")
	next := m.messages[i]
	if rapid.Bool().Draw(t, "once") {
		m.messages = slices.Delete(m.messages, i, i+1)
	}
	m.vms[next.to].receive(next.message)
}

// copy starts a copy of all objects of another VM.
func (m *claimModel) copy(t *rapid.T) {
	to, from := m.draw(t), m.draw(t)
	if to == from {
		t.Skip("the same VM")
	}
	m.send(t, to, to.copyOf(from))
}

// answer answers a VM's own request for a copy, which has the digests of its objects.
func (m *claimModel) answer(t *rapid.T) {
	to := m.draw(t)
	if len(to.requests) == 0 {
		t.Skip("no request")
	}
	request := to.requests[0]
	to.requests = to.requests[1:]
	from := m.vms[request.From]
	from.step(control.FetchRequested{RequestID: 1, Request: request.Request})
	m.send(t, to, control.PeerFetched{From: from.id, Request: request.Request, Reply: from.reply})
}

// send puts a copy, or a part of it, on its way. A part does not tell up to which
// configuration its sender is complete.
func (m *claimModel) send(t *rapid.T, to *documentVM, reply control.PeerFetched) {
	if len(reply.Reply.Objects) > 0 && rapid.Bool().Draw(t, "part") {
		reply.Reply.Objects = reply.Reply.Objects[:rapid.IntRange(0, len(reply.Reply.Objects)-1).Draw(t, "objects")]
		reply.Reply.Complete = control.Completeness{}
	}
	m.copies[to.id] = append(m.copies[to.id], reply)
}

// claimCases is the number of cases of the search in a run of all tests.
const claimCases = 5000

// Whatever the order of starts, answers of the store, messages and copies, what a VM claims to
// hold is what it has in force.
func TestVMHoldsConfigurationUpToWhichItIsComplete(t *testing.T) {
	rapidseed.SetChecks(t, claimCases)
	rapid.Check(t, func(t *rapid.T) {
		m := newClaimModel()
		t.Repeat(m.actions())
		for _, id := range documentFleet {
			v := m.vms[id]
			v.step(control.ObjectsListed{Kind: platform.KindServer, List: platform.ObjectList{Revision: 1}})
			v.step(control.ObjectsListed{Kind: platform.KindCatalogue, List: m.documents[m.latest].list(m.latest)})
			if !maps.Equal(v.inForce(), m.documents[m.latest]) {
				t.Fatalf("%s holds %s, want %s", id, fmt.Sprint(v.inForce()), fmt.Sprint(m.documents[m.latest]))
			}
		}
	})
}
