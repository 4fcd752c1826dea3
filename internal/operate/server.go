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

// ServerItem is one backend server with its group.
type ServerItem struct {
	topology.Server
	Database string `json:"database"`
	Term     uint64 `json:"term"`
	Primary  bool   `json:"primary"`
	Version  uint64 `json:"version"` // of the group's object
}

// ServerResult says what a change of a server's mark did.
type ServerResult struct {
	Server    string `json:"server"`
	Database  string `json:"database"`
	Version   uint64 `json:"version"`
	Unchanged bool   `json:"unchanged,omitempty"`
	// HandOver is set when the leaving server is the primary: a planned promotion
	// hands it over first.
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

// Join adds a server to a group, or marks one of its servers, as joining. An
// empty address keeps that of a known server.
func (o *Operator) Join(ctx context.Context, database string, server topology.Server) (ServerResult, error) {
	server.State = topology.ServerJoining
	return o.editGroup(ctx, database, server.ID, func(g *topology.Group) (bool, error) {
		for i, known := range g.Servers {
			if known.ID != server.ID {
				continue
			}
			if server.Addr == "" {
				server = known
				server.State = topology.ServerJoining
			}
			changed := known != server && (known.State == topology.ServerLeaving || known.Addr != server.Addr)
			if changed {
				g.Servers[i] = server
			}
			return changed, nil
		}
		if server.Addr == "" {
			return false, &NotFoundError{What: "server", Name: server.ID, Hint: "give --addr, --data-centre, --region, --slots and --max-connections to add it"}
		}
		g.Servers = append(g.Servers, server)
		return true, nil
	})
}

// Activate marks a joining server as active.
func (o *Operator) Activate(ctx context.Context, id string) (ServerResult, error) {
	return o.mark(ctx, id, topology.ServerActive)
}

// Leave marks a server as leaving: it gets no new work, and a primary is handed
// over by a planned promotion.
func (o *Operator) Leave(ctx context.Context, id string) (ServerResult, error) {
	return o.mark(ctx, id, topology.ServerLeaving)
}

func (o *Operator) mark(ctx context.Context, id string, state topology.ServerState) (ServerResult, error) {
	database, err := o.databaseOf(ctx, id)
	if err != nil {
		return ServerResult{}, err
	}
	return o.editGroup(ctx, database, id, func(g *topology.Group) (bool, error) {
		for i := range g.Servers {
			if g.Servers[i].ID == id {
				changed := g.Servers[i].State != state
				g.Servers[i].State = state
				return changed, staysUsable(g, id)
			}
		}
		return false, notAServer(id)
	})
}

// staysUsable refuses to mark the last server of a group as leaving.
func staysUsable(g *topology.Group, id string) error {
	for _, s := range g.Servers {
		if s.State != topology.ServerLeaving {
			return nil
		}
	}
	return &StateError{Server: id, Detail: "it is the last server of database " + g.Database + " that is not leaving; join another one first"}
}

// Remove takes a leaving server that is not the primary out of its group.
func (o *Operator) Remove(ctx context.Context, id string) (ServerResult, error) {
	database, err := o.databaseOf(ctx, id)
	if err != nil {
		return ServerResult{}, err
	}
	return o.editGroup(ctx, database, id, func(g *topology.Group) (bool, error) {
		for i, s := range g.Servers {
			switch {
			case s.ID != id:
				continue
			case s.State != topology.ServerLeaving:
				return false, &StateError{Server: id, Detail: `it is ` + string(s.State) + `; run "egretroad server leave ` + id + `" first`}
			case g.Primary == id:
				return false, &StateError{Server: id, Detail: "it is still the primary; wait until the planned promotion has handed it over"}
			}
			g.Servers = append(g.Servers[:i:i], g.Servers[i+1:]...)
			return true, nil
		}
		return false, nil
	})
}

func notAServer(id string) error {
	return &NotFoundError{What: "server", Name: id, Hint: `"egretroad server list" shows all`}
}

func (o *Operator) databaseOf(ctx context.Context, id string) (string, error) {
	items, err := o.Servers(ctx)
	if err != nil {
		return "", err
	}
	for _, item := range items {
		if item.ID == id {
			return item.Database, nil
		}
	}
	return "", notAServer(id)
}

// editGroup changes a group with conditional updates; a conflict with a change
// of another part of the group starts again from the group as it is then. edit
// reports whether it changed anything.
func (o *Operator) editGroup(ctx context.Context, database, id string, edit func(*topology.Group) (bool, error)) (ServerResult, error) {
	for {
		object, err := o.store.Get(ctx, platform.KindGroup, database)
		var missing *platform.NotFoundError
		if errors.As(err, &missing) {
			return ServerResult{}, &NotFoundError{What: "database", Name: database, Hint: `"egretroad server list" shows all`}
		}
		if err != nil {
			return ServerResult{}, err
		}
		result, err := o.editOnce(ctx, object, id, edit)
		var conflict *platform.ConflictError
		if !errors.As(err, &conflict) {
			return result, err
		}
	}
}

func (o *Operator) editOnce(ctx context.Context, object platform.Object, id string, edit func(*topology.Group) (bool, error)) (ServerResult, error) {
	result := ServerResult{Server: id, Database: object.Name, Version: object.Version}
	g, err := decodeGroup(object)
	if err != nil {
		return result, err
	}
	changed, err := edit(g)
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

// decodeGroup refuses groups with unknown fields: writing them back would lose
// those.
func decodeGroup(object platform.Object) (*topology.Group, error) {
	g := &topology.Group{}
	if err := catalogue.DecodeStrict(object.Value, g); err != nil {
		return nil, &InvalidObjectError{Object: object, Cause: err}
	}
	return g, nil
}
