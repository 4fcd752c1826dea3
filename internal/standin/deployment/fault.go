package deployment

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// PathFault is the endpoint of faults on the platform's address. Its body is a
// FaultRequest; the answer is a FaultReply, with status 400 for a bad request.
const PathFault = "/standin/fault"

// Actions of faults.
const (
	ActionStopPrimary  = "stop-primary"  // DB: the primary refuses and drops all connections
	ActionCut          = "cut"           // DC: separated from all others and the platform
	ActionHeal         = "heal"          // ends cuts, stops, silence and the platform's faults
	ActionPlatformDown = "platform-down" // the platform answers nothing
	ActionPlatformUp   = "platform-up"
	ActionPlatformSlow = "platform-slow" // MS: delay of every call
	ActionLag          = "lag"           // DB MS: replication lag
	ActionSilence      = "silence"       // SERVER: its open connections go silent for good
)

// actions are the arguments that each action takes.
var actions = map[string][]string{
	ActionStopPrimary:  {"DB"},
	ActionCut:          {"DC"},
	ActionHeal:         {},
	ActionPlatformDown: {},
	ActionPlatformUp:   {},
	ActionPlatformSlow: {"MS"},
	ActionLag:          {"DB", "MS"},
	ActionSilence:      {"SERVER"},
}

// FaultRequest is the body of a fault's call.
type FaultRequest struct {
	Action string   `json:"action"`
	Args   []string `json:"args"`
}

// FaultReply answers a fault's call; Error is empty when it was injected.
type FaultReply struct {
	Error string `json:"error,omitempty"`
}

// UnknownActionError reports an action that does not exist.
type UnknownActionError struct{ Action string }

func (e *UnknownActionError) Error() string {
	return fmt.Sprintf("unknown fault %q, want one of %s", e.Action, strings.Join(Actions(), ", "))
}

// ArgumentError reports wrong arguments of an action.
type ArgumentError struct {
	Action string
	Want   string
	Got    []string
}

func (e *ArgumentError) Error() string {
	return fmt.Sprintf("fault %s takes %s, got %q", e.Action, e.Want, e.Got)
}

// UnknownDatabaseError reports a database that the deployment lacks.
type UnknownDatabaseError struct{ Name string }

func (e *UnknownDatabaseError) Error() string { return fmt.Sprintf("unknown database %q", e.Name) }

// UnknownServerError reports a backend server that the deployment lacks.
type UnknownServerError struct{ ID string }

func (e *UnknownServerError) Error() string { return fmt.Sprintf("unknown server %q", e.ID) }

// Actions returns the forms of all actions.
func Actions() []string {
	order := []string{
		ActionStopPrimary, ActionCut, ActionHeal, ActionPlatformDown, ActionPlatformUp, ActionPlatformSlow,
		ActionLag, ActionSilence,
	}
	for i, a := range order {
		order[i] = strings.TrimSpace(a + " " + strings.Join(actions[a], " "))
	}
	return order
}

// Fault injects a fault. Errors are typed and leave everything as it was.
func (d *Deployment) Fault(action string, args ...string) error {
	want, ok := actions[action]
	if !ok {
		return &UnknownActionError{Action: action}
	}
	if len(args) != len(want) {
		return &ArgumentError{Action: action, Want: argumentForm(want), Got: args}
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
		return d.heal()
	case ActionPlatformDown:
		d.Platform.Outage(true)
	case ActionPlatformUp:
		d.Platform.Outage(false)
	case ActionPlatformSlow:
		return d.withMillis(action, args, 0, d.Platform.Slow)
	case ActionLag:
		g, ok := d.Groups[args[0]]
		if !ok {
			return &UnknownDatabaseError{Name: args[0]}
		}
		return d.withMillis(action, args, 1, g.SetLag)
	case ActionSilence:
		s := d.Server(args[0])
		if s == nil {
			return &UnknownServerError{ID: args[0]}
		}
		s.Silence()
	}
	return nil
}

func argumentForm(want []string) string {
	if len(want) == 0 {
		return "no arguments"
	}
	return strings.Join(want, " ")
}

func (d *Deployment) withMillis(action string, args []string, index int, f func(time.Duration)) error {
	ms, err := strconv.ParseInt(args[index], 10, 32)
	if err != nil || ms < 0 {
		return &ArgumentError{Action: action, Want: argumentForm(actions[action]), Got: args}
	}
	f(time.Duration(ms) * time.Millisecond)
	return nil
}

// heal ends every fault but the lag, which keeps its last setting.
func (d *Deployment) heal() error {
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
