package topology

import (
	"errors"
	"fmt"
	"net/netip"
)

// MaxGroupServers is the maximum number of servers in a group.
const MaxGroupServers = 64

// MaxIDBytes is the maximum length of the ID of a server, VM, data centre or database.
const MaxIDBytes = 63

// GroupError reports an invalid field of a group.
type GroupError struct {
	Database string
	Field    string
	Value    string
	Want     string
}

func (e *GroupError) Error() string {
	return fmt.Sprintf("group %q: %s is %s, want %s", e.Database, e.Field, e.Value, e.Want)
}

// Check validates the group. It joins one *GroupError for each invalid field.
func (g *Group) Check() error {
	var faults []error
	report := func(field, value, want string) {
		faults = append(faults, &GroupError{Database: g.Database, Field: field, Value: fmt.Sprintf("%.80q", value), Want: want})
	}
	if !validID(g.Database) {
		report("database", g.Database, fmt.Sprintf("1 to %d bytes", MaxIDBytes))
	}
	if n := len(g.Servers); n < 1 || n > MaxGroupServers {
		report("servers", fmt.Sprint(n), fmt.Sprintf("1 to %d servers", MaxGroupServers))
	}
	seen := make(map[string]bool, len(g.Servers))
	for _, s := range g.Servers {
		if seen[s.ID] {
			report("servers.id", s.ID, "an ID that no other server has")
		}
		seen[s.ID] = true
		s.check(report)
	}
	if g.Primary != "" && !seen[g.Primary] {
		report("primary", g.Primary, "the ID of one of the servers")
	}
	return errors.Join(faults...)
}

func (s Server) check(report func(field, value, want string)) {
	if !validID(s.ID) {
		report("servers.id", s.ID, fmt.Sprintf("1 to %d bytes", MaxIDBytes))
	}
	if !validID(s.DataCentre) {
		report("servers.dataCentre", s.DataCentre, fmt.Sprintf("1 to %d bytes", MaxIDBytes))
	}
	if _, err := netip.ParseAddrPort(s.Addr); err != nil {
		report("servers.addr", s.Addr, "IP:port")
	}
	switch s.State {
	case ServerActive, ServerJoining, ServerLeaving:
	default:
		report("servers.state", string(s.State), `"active", "joining" or "leaving"`)
	}
	if s.Slots < 1 {
		report("servers.slots", fmt.Sprint(s.Slots), "at least 1")
	}
	if s.MaxConnections < 1 {
		report("servers.maxConnections", fmt.Sprint(s.MaxConnections), "at least 1")
	}
}

func validID(id string) bool { return id != "" && len(id) <= MaxIDBytes }
