package routing

import (
	"time"

	"egretroad/internal/outcome"
	"egretroad/internal/topology"
)

// Table holds the state of the servers as one proxy knows it from their answers and
// refusals. It is not safe for concurrent use.
type Table struct {
	options Options
	views   map[string]*ServerView
}

// ServerView is the last known state of one backend server.
type ServerView struct {
	Status         topology.ServerStatus
	LearnedAt      time.Duration // when Status was received; 0: never
	Out            bool          // removed from the rotation of reads, for its lag or for refusals as "behind"
	LowLagSince    time.Duration // start of the current run of lags up to ReturnLag; 0: none
	Refusals       int           // consecutive refusals with reason "behind"
	NextProbe      time.Duration
	ProbeBackoff   time.Duration
	AvoidUntil     time.Duration
	JoiningSince   time.Duration // when the server was first seen joining; 0: never
	JoiningOffered uint64        // reads considered during the ramp-up
	JoiningTaken   uint64        // reads accepted during the ramp-up
}

// NewTable returns an empty table.
func NewTable(o Options) *Table { return &Table{options: o, views: map[string]*ServerView{}} }

// Learn records the server status that an answer carried.
func (t *Table) Learn(status topology.ServerStatus, now time.Duration) {
	if status.Server == "" {
		return
	}
	view := t.serverView(status.Server)
	view.Status = status
	view.LearnedAt = now
	view.Refusals = 0
	if status.Role != topology.RoleReplica {
		view.Out = false
		return
	}
	t.updateRotation(view, status.Lag, now)
}

// updateRotation removes a replica from the rotation or returns it. The two thresholds
// and the hold time (hysteresis) prevent it from flapping.
func (t *Table) updateRotation(view *ServerView, lag, now time.Duration) {
	if lag > t.options.LeaveLag {
		t.removeFromRotation(view, now)
		return
	}
	if lag > t.options.ReturnLag {
		view.LowLagSince = 0
		return
	}
	if view.LowLagSince == 0 {
		view.LowLagSince = now
	}
	if !view.Out {
		return
	}
	view.ProbeBackoff = t.options.ProbeInterval
	view.NextProbe = min(view.NextProbe, now+view.ProbeBackoff)
	if now-view.LowLagSince >= t.options.ReturnHold {
		view.Out = false
	}
}

func (t *Table) removeFromRotation(view *ServerView, now time.Duration) {
	view.LowLagSince = 0
	if !view.Out {
		view.Out = true
		view.ProbeBackoff = t.options.ProbeInterval
		view.NextProbe = now + view.ProbeBackoff
	}
}

// Refused records that a server's home refused a request.
func (t *Table) Refused(id string, reason outcome.Reason, now time.Duration) {
	view := t.serverView(id)
	switch reason {
	case outcome.ReasonBehind:
		view.Refusals++
		if view.Refusals >= t.options.LeaveBehindRefusals {
			t.removeFromRotation(view, now)
		}
	case outcome.ReasonNoServer, outcome.ReasonConnect, outcome.ReasonHomeLost, outcome.ReasonNotHome,
		outcome.ReasonQueueFull, outcome.ReasonLeaving, outcome.ReasonUnavailable, outcome.ReasonConnLost,
		outcome.ReasonShuttingDown:
		view.AvoidUntil = now + t.options.AvoidTime
	}
}

// Keep deletes the state of servers for which known returns false.
func (t *Table) Keep(known func(id string) bool) {
	for id := range t.views {
		if !known(id) {
			delete(t.views, id)
		}
	}
}

// Servers returns a copy of the known states, by server ID.
func (t *Table) Servers() map[string]ServerView {
	snapshot := make(map[string]ServerView, len(t.views))
	for id, view := range t.views {
		snapshot[id] = *view
	}
	return snapshot
}

// admitJoining reports whether a joining server takes this read. Its share of the
// reads grows linearly over JoinRampUp.
func (t *Table) admitJoining(view *ServerView, now time.Duration) bool {
	if view.JoiningSince == 0 {
		view.JoiningSince = max(now, 1)
	}
	elapsed := now - view.JoiningSince
	view.JoiningOffered++
	if elapsed >= t.options.JoinRampUp {
		return true
	}
	if float64(view.JoiningTaken) >= float64(view.JoiningOffered)*float64(elapsed)/float64(t.options.JoinRampUp) {
		return false
	}
	view.JoiningTaken++
	return true
}

// admitProbe reports whether this read probes a server outside the rotation, and
// schedules the next probe with exponential back-off.
func (t *Table) admitProbe(view *ServerView, now time.Duration) bool {
	if now < view.NextProbe {
		return false
	}
	view.ProbeBackoff = min(2*max(view.ProbeBackoff, t.options.ProbeInterval), t.options.MaxProbeInterval)
	view.NextProbe = now + view.ProbeBackoff
	return true
}

// freshLag returns the server's last reported lag, if it is recent enough to use.
func (t *Table) freshLag(view *ServerView, now time.Duration) (time.Duration, bool) {
	if view.LearnedAt == 0 || now-view.LearnedAt > t.options.StatusMaxAge {
		return 0, false
	}
	return view.Status.Lag, true
}

func (t *Table) serverView(id string) *ServerView {
	view, ok := t.views[id]
	if !ok {
		view = &ServerView{}
		t.views[id] = view
	}
	return view
}
