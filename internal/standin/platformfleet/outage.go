package platformfleet

import (
	"net"
	"net/http"
	"strings"
	"time"
)

// OutageKind is the way in which the store fails.
type OutageKind string

// The kinds of outage. StoreCompacted is over at once; each other one lasts until it is ended.
const (
	StoreSilent    OutageKind = "silent"    // calls get no response
	StoreRefuses   OutageKind = "refuses"   // calls get status 503
	StoreSlow      OutageKind = "slow"      // calls take slowResponse longer
	ListsRefused   OutageKind = "lists"     // lists of the configuration and the servers get status 503
	ServersRefused OutageKind = "servers"   // all calls for the servers get status 503
	ConfigRefused  OutageKind = "config"    // all calls for the configuration get status 503
	AnswersLost    OutageKind = "lost"      // half of the calls are executed without a response
	StoreCompacted OutageKind = "compacted" // the store discards its history
)

// OutageKinds lists all kinds.
var OutageKinds = []OutageKind{StoreSilent, StoreRefuses, StoreSlow, ListsRefused, ServersRefused, ConfigRefused, AnswersLost, StoreCompacted}

// slowResponse is the additional response time of a slow store.
const slowResponse = 400 * time.Millisecond

// outage is an outage of the store towards some VMs.
type outage struct {
	kind     OutageKind
	vms      map[string]bool // their IP addresses
	executed int             // calls executed so far, if their responses get lost
}

// BeginOutage starts an outage of the store towards some VMs and ends the one before it.
func (f *Fleet) BeginOutage(kind OutageKind, vms []*VM) {
	if kind == StoreCompacted {
		f.store.Compact()
		return
	}
	o := &outage{kind: kind, vms: map[string]bool{}}
	for _, v := range vms {
		o.vms[v.IP] = true
	}
	f.Links.setOutage(o)
}

// EndOutage ends the outage of the store. Calls that got no response never get one.
func (f *Fleet) EndOutage() { f.Links.setOutage(nil) }

func (l *Links) setOutage(o *outage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = o
}

// outageOf returns the kind of the outage that affects a call, or "".
func (l *Links) outageOf(r *http.Request) OutageKind {
	ip, _, err := net.SplitHostPort(r.RemoteAddr)
	l.mu.Lock()
	defer l.mu.Unlock()
	if o := l.outage; o != nil && err == nil && o.vms[ip] && o.affects(r) {
		return o.kind
	}
	return ""
}

func (o *outage) affects(r *http.Request) bool {
	kind := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")[0]
	switch o.kind {
	case ListsRefused:
		return (kind == "config" || kind == "servers") && !r.URL.Query().Has("watch")
	case ServersRefused:
		return kind == "servers"
	case ConfigRefused:
		return kind == "config"
	default:
		return true
	}
}

// losesResponse reports whether the response to a call that was executed in an outage gets
// lost: that of each second one.
func (l *Links) losesResponse(kind OutageKind) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if kind != AnswersLost || l.outage == nil {
		return false
	}
	l.outage.executed++
	return l.outage.executed%2 == 0
}

// failCall lets a call fail as the outage demands and reports whether it did.
func failCall(w http.ResponseWriter, r *http.Request, kind OutageKind) bool {
	switch kind {
	case StoreSilent:
		<-r.Context().Done()
		panic(http.ErrAbortHandler) // ends the connection, which its caller has given up
	case StoreRefuses, ListsRefused, ServersRefused, ConfigRefused:
		w.WriteHeader(http.StatusServiceUnavailable)
		return true
	case StoreSlow:
		time.Sleep(slowResponse)
	}
	return false
}
