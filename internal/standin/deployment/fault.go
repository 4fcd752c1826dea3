package deployment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PathFault is the fault injection endpoint at the platform's address. The request
// body is a FaultRequest and the response body a FaultReply, with status 400 if the
// fault is rejected.
const PathFault = "/standin/fault"

// Fault actions and their arguments.
const (
	ActionStopPrimary  = "stop-primary"  // DB: the primary closes its connections and refuses new ones
	ActionCut          = "cut"           // DC: partitioned from all other data centres and the platform
	ActionHeal         = "heal"          // ends cuts, stops, silence and platform faults, but not lag
	ActionPlatformDown = "platform-down" // the platform answers no calls
	ActionPlatformUp   = "platform-up"
	ActionPlatformSlow = "platform-slow" // MS: delay added to every call
	ActionLag          = "lag"           // DB MS: replication lag
	ActionSilence      = "silence"       // SERVER: its open connections stop responding for good
)

// actionArguments lists the arguments of each action.
var actionArguments = map[string][]string{
	ActionStopPrimary:  {"DB"},
	ActionCut:          {"DC"},
	ActionHeal:         {},
	ActionPlatformDown: {},
	ActionPlatformUp:   {},
	ActionPlatformSlow: {"MS"},
	ActionLag:          {"DB", "MS"},
	ActionSilence:      {"SERVER"},
}

// FaultRequest is the body of a request to PathFault.
type FaultRequest struct {
	Action string   `json:"action"`
	Args   []string `json:"args"`
}

// FaultReply is the response to a FaultRequest. Error is empty on success.
type FaultReply struct {
	Error string `json:"error,omitempty"`
}

// UnknownActionError reports an undefined action.
type UnknownActionError struct{ Action string }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("unknown fault %q, want one of %s", e.Action, strings.Join(Actions(), ", "))
}

// ArgumentError reports missing, extra or malformed arguments of an action.
type ArgumentError struct {
	Action string
	Want   string
	Got    []string
}

func (e *ArgumentError) Error() string {
	return fmt.Sprintf("fault %s takes %s, got %q", e.Action, e.Want, e.Got)
}

// UnknownDatabaseError reports a database that does not exist in the deployment.
type UnknownDatabaseError struct{ Name string }

func (e *UnknownDatabaseError) Error() string { return fmt.Sprintf("unknown database %q", e.Name) }

// UnknownServerError reports a backend server ID that does not exist in the
// deployment.
type UnknownServerError struct{ ID string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown server %q", e.ID) }

// Actions returns the usage of all actions: the name followed by the arguments.
func Actions() []string {
	usages := []string{
		ActionStopPrimary, ActionCut, ActionHeal, ActionPlatformDown, ActionPlatformUp, ActionPlatformSlow,
		ActionLag, ActionSilence,
	}
	for i, a := range usages {
		usages[i] = strings.TrimSpace(a + " " + strings.Join(actionArguments[a], " "))
	}
	return usages
}

// Fault injects a fault. Invalid actions and arguments return a typed error and
// change nothing.
func (d *Deployment) Fault(action string, args ...string) error {
	want, ok := actionArguments[action]
	if !ok {
		return &UnknownActionError{Action: action}
	}
	if len(args) != len(want) {
		return &ArgumentError{Action: action, Want: argumentUsage(want), Got: args}
	}
	switch action {
	case ActionStopPrimary:
		g, ok := d.Groups[args[0]]
		if !ok {
			return &UnknownDatabaseError{Name: args[0]}
		}
		g.Primary().Stop()
	case ActionCut:
		return d.Network.Cut(args[0])
	case ActionHeal:
		return d.healAll()
	case ActionPlatformDown:
		d.Platform.Outage(true)
	case ActionPlatformUp:
		d.Platform.Outage(false)
	case ActionPlatformSlow:
		return d.applyMillis(action, args, 0, d.Platform.Slow)
	case ActionLag:
		g, ok := d.Groups[args[0]]
		if !ok {
			return &UnknownDatabaseError{Name: args[0]}
		}
		return d.applyMillis(action, args, 1, g.SetLag)
	case ActionSilence:
		s := d.Server(args[0])
		if s == nil {
			return &UnknownServerError{ID: args[0]}
		}
		s.Silence()
	}
	return nil
}

func argumentUsage(want []string) string {
	if len(want) == 0 {
		return "no arguments"
	}
	return strings.Join(want, " ")
}

func (d *Deployment) applyMillis(action string, args []string, index int, apply func(time.Duration)) error {
	ms, err := strconv.ParseInt(args[index], 10, 32)
	if err != nil || ms < 0 {
		return &ArgumentError{Action: action, Want: argumentUsage(actionArguments[action]), Got: args}
	}
	apply(time.Duration(ms) * time.Millisecond)
	return nil
}

// healAll ends every fault except the replication lag, which keeps its last value.
func (d *Deployment) healAll() error {
	d.Network.Heal()
	d.Platform.Outage(false)
	d.Platform.Slow(0)
	for _, g := range d.Groups {
		for _, s := range g.Servers() {
			s.EndSilence()
			if err := s.Restart(); err != nil {
				return err
			}
		}
	}
	return nil
}

func (d *Deployment) faultHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var request FaultRequest
		err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 1<<16)).Decode(&request)
		if err == nil {
			err = d.Fault(request.Action, request.Args...)
		}
		var reply FaultReply
		w.Header().Set("Content-Type", "application/json")
		if err != nil {
			reply.Error = err.Error()
			w.WriteHeader(http.StatusBadRequest)
		}
		_ = json.NewEncoder(w).Encode(reply)
	})
}
