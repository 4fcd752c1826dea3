package control

import (
	"time"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// Options sets the times and bounds of the control machine.
type Options struct {
	Heartbeat     time.Duration // between heartbeats to the monitors of this VM
	FarHeartbeat  time.Duration // between heartbeats to other data centres
	ProbeAfter    time.Duration // silence after which a VM is asked for a heartbeat
	SilenceLimit  time.Duration // silence after which a VM is reported
	Monitors      int           // VMs that monitor each VM
	Quorum        int           // monitors that must report a VM before it is thought dead
	FarPeers      int           // VMs of other data centres that get heartbeats
	PauseLimit    time.Duration // gap between ticks after which silence is counted anew
	FirstRejoinDelay   time.Duration // wait before the first return after a false death
	MaxRejoinDelay     time.Duration // longest wait before a return
	WatchTimeout     time.Duration // longest wait of one watch
	MinWatchInterval     time.Duration // least time between two watches
	PollInterval  time.Duration // between polls of VMs that do not watch; varies by a quarter
	WatcherVMsInterval   time.Duration // between reads of the list of VMs by the watcher
	VMsPollInterval       time.Duration // between reads of the list of VMs by other VMs
	FirstBackoff    time.Duration // first wait after a failed call to the store
	MaxBackoff      time.Duration // longest wait after a failed call to the store
	FetchDelay    time.Duration // how long a difference from a peer must last before a fetch
	FetchTimeout  time.Duration // how long a fetch may take
	MinPublishInterval   time.Duration // least time between two snapshots
	ReportDelay   time.Duration // how long the watcher waits for the VMs' reports
	ReportRefresh time.Duration // between repeated reports to the watcher
	WaitingLogInterval time.Duration // between log lines while there is no catalogue
	// Registrations says that servers register themselves, each as an object of
	// its own, and that no group objects exist.
	Registrations bool
	// ListWait is how long a VM that starts waits for the list of VMs before it gives
	// servers homes: before it, it would take itself for the home of all. A slow store
	// answers within a quarter of it.
	VMListTimeout time.Duration
	// RegistrationHold is how long a server whose registration ended without
	// notice is kept: registrations lapse while the store is away and return
	// shortly after it.
	LapsedRegistrationTTL time.Duration
	// DataCentreSilence is the time without a message of any VM of another data
	// centre after which its servers get homes elsewhere: VMs that all fail at once
	// have nobody left to report them. Used with Registrations.
	DataCentreSilenceLimit time.Duration
	// WatchAllUpTo is the number of VMs up to which each watches the store, so that
	// news does not depend on one VM of the data centre. Larger fleets have one
	// watcher a data centre, since every waiting watch counts against the store's rate.
	WatchAllUpTo int
	// NoReports leaves out the status objects for operators.
	NoReports bool
}

// groupKind returns the kind of object that groups are built from.
func (o Options) groupKind() string {
	if o.Registrations {
		return platform.KindServer
	}
	return platform.KindGroup
}

// DefaultOptions returns the options of a proxy.
func DefaultOptions() Options {
	return Options{
		Heartbeat:     250 * time.Millisecond,
		FarHeartbeat:  time.Second,
		ProbeAfter:    500 * time.Millisecond,
		SilenceLimit:  time.Second,
		Monitors:      3,
		Quorum:        2,
		FarPeers:      2,
		PauseLimit:    500 * time.Millisecond,
		FirstRejoinDelay:   250 * time.Millisecond,
		MaxRejoinDelay:     30 * time.Second,
		WatchTimeout:     5 * time.Second,
		MinWatchInterval:     50 * time.Millisecond,
		PollInterval:  time.Minute,
		WatcherVMsInterval:   2 * time.Second,
		VMsPollInterval:       5 * time.Minute,
		FirstBackoff:    250 * time.Millisecond,
		MaxBackoff:      5 * time.Second,
		FetchDelay:    300 * time.Millisecond,
		FetchTimeout:  3 * time.Second,
		MinPublishInterval:   20 * time.Millisecond,
		ReportDelay:   time.Second,
		ReportRefresh: 10 * time.Second,
		WaitingLogInterval: 10 * time.Second,

		VMListTimeout:          time.Second,
		LapsedRegistrationTTL:  2500 * time.Millisecond,
		DataCentreSilenceLimit: 3 * time.Second,
	}
}

// Config is what a machine knows at its start.
type Config struct {
	Options     Options
	Self        topology.VM
	Incarnation uint64        // higher than at any earlier start of this VM
	Seeds       []topology.VM // VMs from the settings, asked for a copy at the start
}
