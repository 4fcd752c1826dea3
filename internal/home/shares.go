package home

import (
	"sort"

	"egretroad/internal/admission"
	"egretroad/internal/catalogue"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
)

// serverView is a server and its group in one topology snapshot.
type serverView struct {
	snapshot *topology.Snapshot
	group    *topology.Group
	spec     topology.Server
}

func (v serverView) isPrimary() bool { return v.group.Primary == v.spec.ID }

// admissionConfig returns the admission queue's configuration for a server: its
// slots, its connection limit and its share of each catalogue entry's limits.
//
// An entry's limits hold across the whole fleet without messages between proxies:
// each server has one queue that sees all its work, and a limit is split over the
// servers that may run the entry. Writes run only on the primary, which gets the
// whole limit. A limit on reads is split evenly; replicas get the remainder first.
func admissionConfig(v serverView, limits pool.Options) *admission.Config {
	config := &admission.Config{
		Slots:           max(1, v.spec.Slots),
		ConnectionLimit: limits.Limit(v.spec.MaxConnections),
	}
	if v.snapshot.Catalogue == nil {
		return config
	}
	for _, name := range v.snapshot.Catalogue.Names() {
		e, _ := v.snapshot.Catalogue.Entry(name)
		if e.Database != v.group.Database || e.Access == catalogue.AccessWrite && !v.isPrimary() {
			continue
		}
		config.Entries = append(config.Entries, entryConfig(e, v))
	}
	return config
}

func entryConfig(e catalogue.Entry, v serverView) admission.EntryConfig {
	ec := admission.EntryConfig{
		Entry: e.Name, Kind: e.Kind, Owner: e.Owner, Rank: e.Rank,
		Floor:         float64(e.FloorPercent) / 100,
		MaxQueue:      e.MaxQueueLength,
		Limited:       e.MaxConcurrent > 0,
		MaxConcurrent: e.MaxConcurrent,
		RatePerSecond: e.RatePerSecond,
	}
	if e.Access == catalogue.AccessWrite {
		return ec
	}
	index, count := readShareIndex(v)
	ec.MaxConcurrent = splitLimit(e.MaxConcurrent, index, count)
	ec.RatePerSecond = e.RatePerSecond / float64(count)
	return ec
}

// readShareIndex returns the server's index among its group's servers, replicas
// first, and the number of servers.
func readShareIndex(v serverView) (index, count int) {
	servers := append([]topology.Server(nil), v.group.Servers...)
	sort.Slice(servers, func(i, j int) bool {
		iPrimary, jPrimary := servers[i].ID == v.group.Primary, servers[j].ID == v.group.Primary
		if iPrimary != jPrimary {
			return jPrimary
		}
		return servers[i].ID < servers[j].ID
	})
	for i, s := range servers {
		if s.ID == v.spec.ID {
			return i, len(servers)
		}
	}
	return 0, max(1, len(servers))
}

// splitLimit divides total into count integer parts and returns the one at index.
func splitLimit(total, index, count int) int {
	part := total / count
	if index < total%count {
		part++
	}
	return part
}
