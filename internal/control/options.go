package control

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Options sets the intervals, time-outs and bounds of the control machine.
type Options struct {
	Heartbeat          time.Duration // interval of heartbeats to the monitors of this VM
	FarHeartbeat       time.Duration // interval of heartbeats to other data centres
	ProbeAfter         time.Duration // silence after which a VM is probed
	SilenceLimit       time.Duration // silence after which a monitor reports a VM
	Monitors           int           // number of VMs that monitor each VM
	Quorum             int           // monitors that must report a VM before it is declared dead
	FarPeers           int           // number of VMs in other data centres that receive heartbeats
	PauseLimit         time.Duration // gap between ticks after which the measurement of silence restarts
	FirstRejoinDelay   time.Duration // initial delay before rejoining after a false detection
	MaxRejoinDelay     time.Duration // upper bound of the rejoin delay
	WatchTimeout       time.Duration // time after which the store responds to a watch without changes, if every VM watches
	MinWatchInterval   time.Duration // minimum interval between two watches
	PollInterval       time.Duration // poll interval of VMs that do not watch; jittered by 25%
	WatcherVMsInterval time.Duration // interval at which the watcher reads the list of VMs
	VMsPollInterval    time.Duration // interval at which other VMs read the list of VMs
	InitialBackoff     time.Duration // initial back-off after a failed call to the store
	MaxBackoff         time.Duration // maximum back-off after a failed call to the store
	FetchDelay         time.Duration // how long digests must differ from a peer's before a fetch
	FetchTimeout       time.Duration // time-out of a fetch
	MinPublishInterval time.Duration // minimum interval between two snapshots
	ReportDelay        time.Duration // how long the watcher waits for the reports of the other VMs
	ReportRefresh      time.Duration // interval at which unchanged reports are repeated to the watcher
	WaitingLogInterval time.Duration // interval of log lines while there is no catalogue
	// SelfRegistration enables self-registration: each server registers as an object of
	// its own, and groups are built from the registrations instead of group objects.
	SelfRegistration bool
	// CatalogueIsDocument is set if the store keeps all catalogue entries as one document:
	// their versions are those of documents, and a document replaces the one before it.
	CatalogueIsDocument bool
	// VMListTimeout is how long a starting VM waits for the list of VMs before it
	// assigns homes; without the list it would consider itself the home of every
	// server. A slow store responds within a quarter of this time.
	VMListTimeout time.Duration
	// PrimaryClaimGrace is how long a server that was found to be primary may register as a
	// replica: its promotion takes effect some hundred milliseconds after the call.
	PrimaryClaimGrace time.Duration
	// LapsedRegistrationTTL is how long a server is kept after its registration ended
	// without notice: registrations lapse during a store outage and reappear shortly
	// after it.
	LapsedRegistrationTTL time.Duration
	// DataCentreSilenceLimit is the time without a message from any VM of another data
	// centre after which its servers get homes elsewhere: when all VMs of a data centre
	// fail at once, no monitor is left to report them. Used with SelfRegistration only.
	DataCentreSilenceLimit time.Duration
	// MaxVMsAllWatching is the fleet size up to which every VM watches the store, so that
	// updates do not depend on one VM per data centre. Larger fleets have one watcher
	// per data centre, since every waiting watch counts against the store's rate limit.
	MaxVMsAllWatching int
	// SharedWatchTimeout is the time after which the store responds without changes to a
	// watch on which other VMs depend.
	SharedWatchTimeout time.Duration
	// WatchContactLimit is the age of the last response to a watcher after which another VM
	// of its data centre watches as well: the store may refuse the watcher, or not respond
	// to it. It is longer than SharedWatchTimeout and the response time of a slow store.
	WatchContactLimit time.Duration
	// FollowLimit is the age of the last response to a watch on which this VM depends after
	// which it raises an alarm. Its callers may be served by an old configuration.
	FollowLimit time.Duration
	// TakeoverStep is the delay between the VMs of a data centre that take over its watch,
	// so that the first success keeps the others from calling the store. MaxTakeoverDelay
	// bounds the delay of the last one.
	TakeoverStep, MaxTakeoverDelay time.Duration
	// MinContactInterval is the minimum interval between two answers of the store of which a
	// watcher tells the other VMs.
	MinContactInterval time.Duration
	// VMsRegister is set if VMs write their entries in the list of VMs themselves. One that
	// is missing from the list then writes its entry again.
	VMsRegister bool
	// RestoredVMsTTL is how long a VM stays listed that is missing from the first list of a
	// new epoch of the store: it registers again as soon as it notices.
	RestoredVMsTTL time.Duration
	// DisableStatusReports disables the status objects that are written for operators.
	DisableStatusReports bool
}

// groupKind returns the object kind from which groups are built.
func (o Options) groupKind() string {
	if o.SelfRegistration {
		return platform.KindServer
	}
	return platform.KindGroup
}

// DefaultOptions returns the options of a proxy.
func DefaultOptions() Options {
	return Options{
		Heartbeat:          250 * time.Millisecond,
		FarHeartbeat:       time.Second,
		ProbeAfter:         500 * time.Millisecond,
		SilenceLimit:       time.Second,
		Monitors:           3,
		Quorum:             2,
		FarPeers:           2,
		PauseLimit:         500 * time.Millisecond,
		FirstRejoinDelay:   250 * time.Millisecond,
		MaxRejoinDelay:     30 * time.Second,
		WatchTimeout:       5 * time.Second,
		MinWatchInterval:   50 * time.Millisecond,
		PollInterval:       time.Minute,
		WatcherVMsInterval: 2 * time.Second,
		VMsPollInterval:    5 * time.Minute,
		InitialBackoff:     250 * time.Millisecond,
		MaxBackoff:         5 * time.Second,
		SharedWatchTimeout: time.Second,
		WatchContactLimit:  2 * time.Second,
		FollowLimit:        5 * time.Second,
		TakeoverStep:       50 * time.Millisecond,
		MaxTakeoverDelay:   500 * time.Millisecond,
		MinContactInterval: 500 * time.Millisecond,
		FetchDelay:         300 * time.Millisecond,
		FetchTimeout:       3 * time.Second,
		MinPublishInterval: 20 * time.Millisecond,
		ReportDelay:        time.Second,
		ReportRefresh:      10 * time.Second,
		WaitingLogInterval: 10 * time.Second,

		VMListTimeout:          time.Second,
		PrimaryClaimGrace:      2500 * time.Millisecond,
		LapsedRegistrationTTL:  2500 * time.Millisecond,
		DataCentreSilenceLimit: 3 * time.Second,
		RestoredVMsTTL:         5 * time.Second,
	}
}

// Config holds the options and the identity of a machine at start.
type Config struct {
	Options     Options
	Self        topology.VM
	Incarnation uint64        // must be higher than at any earlier start of this VM
	Seeds       []topology.VM // VMs from the settings, from which a copy is fetched at start
}
