package operate

import (
	"context"
	"encoding/json"
	"errors"
	"sort"

	"egretroad/internal/catalogue"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// ServerItem is a backend server with properties of its database group.
type ServerItem struct {
	topology.Server
	Database string `json:"database"`
	Term     uint64 `json:"term"`
	Primary  bool   `json:"primary"`
	Version  uint64 `json:"version"` // version of the group's object
}

// ServerResult is the outcome of a change to a server's state.
type ServerResult struct {
	Server    string `json:"server"`
	Database  string `json:"database"`
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
	// HandOver is set if the leaving server is the primary. A planned promotion then
	// moves the primary role to another server first.
	HandOver bool `json:"handOver,omitempty"`
}

// Servers returns every backend server, sorted by ID.
func (o *Operator) Servers(ctx context.Context) ([]ServerItem, error) {
	l, err := o.store.List(ctx, platform.KindGroup)
	if err != nil {
		return nil, err
	}
	var items []ServerItem
	for _, object := range l.Objects {
		g, err := decodeGroup(object)
		if err != nil {
			return nil, err
		}
		for _, s := range g.Servers {
			items = append(items, ServerItem{Server: s, Database: g.Database, Term: g.Term, Primary: s.ID == g.Primary, Version: object.Version})
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].ID < items[j].ID })
	return items, nil
}

// Join adds a server to a group in state joining. It also sets an existing server
// to joining if the server is leaving or its address changes. If server.Addr is
// empty, the properties of the existing server are kept.
func (o *Operator) Join(ctx context.Context, database string, server topology.Server) (ServerResult, error) {
	server.State = topology.ServerJoining
	return o.updateGroup(ctx, database, server.ID, func(g *topology.Group) (bool, error) {
		for i, existing := range g.Servers {
			if existing.ID != server.ID {
				continue
			}
			if server.Addr == "" {
				server = existing
				server.State = topology.ServerJoining
			}
			changed := existing != server && (existing.State == topology.ServerLeaving || existing.Addr != server.Addr)
			if changed {
				g.Servers[i] = server
			}
			return changed, nil
		}
		if server.Addr == "" {
			return false, &NotFoundError{Resource: "server", Name: server.ID, Hint: "give --addr, --data-centre, --region, --slots and --max-connections to add it"}
		}
		g.Servers = append(g.Servers, server)
		return true, nil
	})
}

// Activate sets the state of a server to active.
func (o *Operator) Activate(ctx context.Context, id string) (ServerResult, error) {
	return o.setServerState(ctx, id, topology.ServerActive)
}

// Leave sets the state of a server to leaving: it receives no new work, and if it
// is the primary, a planned promotion replaces it. The last server of a group that
// is not leaving is rejected with *StateError.
func (o *Operator) Leave(ctx context.Context, id string) (ServerResult, error) {
	return o.setServerState(ctx, id, topology.ServerLeaving)
}

func (o *Operator) setServerState(ctx context.Context, id string, state topology.ServerState) (ServerResult, error) {
	database, err := o.findDatabase(ctx, id)
	if err != nil {
		return ServerResult{}, err
	}
	return o.updateGroup(ctx, database, id, func(g *topology.Group) (bool, error) {
		for i := range g.Servers {
			if g.Servers[i].ID == id {
				changed := g.Servers[i].State != state
				g.Servers[i].State = state
				return changed, checkServersRemain(g, id)
			}
		}
		return false, serverNotFound(id)
	})
}

// checkServersRemain returns *StateError if every server of the group is leaving.
func checkServersRemain(g *topology.Group, id string) error {
	for _, s := range g.Servers {
		if s.State != topology.ServerLeaving {
			return nil
		}
	}
	return &StateError{Server: id, Detail: "it is the last server of database " + g.Database + " that is not leaving; join another server first"}
}

// Remove deletes a server from its group. The server must be leaving and must not
// be the primary.
func (o *Operator) Remove(ctx context.Context, id string) (ServerResult, error) {
	database, err := o.findDatabase(ctx, id)
	if err != nil {
		return ServerResult{}, err
	}
	return o.updateGroup(ctx, database, id, func(g *topology.Group) (bool, error) {
		for i, s := range g.Servers {
			switch {
			case s.ID != id:
				continue
			case s.State != topology.ServerLeaving:
				return false, &StateError{Server: id, Detail: `it is ` + string(s.State) + `; run "egretroad server leave ` + id + `" first`}
			case g.Primary == id:
				return false, &StateError{Server: id, Detail: "it is still the primary; wait until the planned promotion has completed"}
			}
			g.Servers = append(g.Servers[:i:i], g.Servers[i+1:]...)
			return true, nil
		}
		return false, nil
	})
}

func serverNotFound(id string) error {
	return &NotFoundError{Resource: "server", Name: id, Hint: `"egretroad server list" lists all servers`}
}

func (o *Operator) findDatabase(ctx context.Context, id string) (string, error) {
	items, err := o.Servers(ctx)
	if err != nil {
		return "", err
	}
	for _, item := range items {
		if item.ID == id {
			return item.Database, nil
		}
	}
	return "", serverNotFound(id)
}

// updateGroup applies update to a group in a compare-and-swap loop: after a conflict
// with a concurrent write, it reads the group again and retries. update reports
// whether it changed the group.
func (o *Operator) updateGroup(ctx context.Context, database, id string, update func(*topology.Group) (bool, error)) (ServerResult, error) {
	for {
		object, err := o.store.Get(ctx, platform.KindGroup, database)
		var missing *platform.NotFoundError
		if errors.As(err, &missing) {
			return ServerResult{}, &NotFoundError{Resource: "database", Name: database, Hint: `"egretroad server list" lists all databases`}
		}
		if err != nil {
			return ServerResult{}, err
		}
		result, err := o.updateGroupOnce(ctx, object, id, update)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return result, err
		}
	}
}

func (o *Operator) updateGroupOnce(ctx context.Context, object platform.Object, id string, update func(*topology.Group) (bool, error)) (ServerResult, error) {
	result := ServerResult{Server: id, Database: object.Name, Version: object.Version}
	g, err := decodeGroup(object)
	if err != nil {
		return result, err
	}
	changed, err := update(g)
	if err != nil {
		return result, err
	}
	server, present := g.Server(id)
	result.HandOver = present && g.Primary == id && server.State == topology.ServerLeaving
	if !changed {
		result.Unchanged = true
		return result, nil
	}
	if err := g.Check(); err != nil {
		return result, err
	}
	value, err := json.Marshal(g)
	if err != nil {
		return result, &platform.InvalidValueError{Kind: platform.KindGroup, Name: object.Name, Cause: err}
	}
	written, err := platform.PutOwn(ctx, o.store, platform.KindGroup, object.Name, object.Version, value, platform.SameValue(value))
	result.Version = written.Version
	return result, err
}

// decodeGroup rejects groups with unknown fields, which would be lost when the
// group is written back.
func decodeGroup(object platform.Object) (*topology.Group, error) {
	g := &topology.Group{}
	if err := catalogue.DecodeStrict(object.Value, g); err != nil {
		return nil, &InvalidObjectError{Object: object, Cause: err}
	}
	return g, nil
}
