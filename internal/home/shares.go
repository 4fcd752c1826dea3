package home

import (
	"sort"

	"egretroad/internal/admission"
	"egretroad/internal/catalogue"
	"egretroad/internal/pool"
	"egretroad/internal/topology"
)

// view is a server as one snapshot shows it.
type view struct {
	snapshot *topology.Snapshot
	group    *topology.Group
	spec     topology.Server
}

func (v view) isPrimary() bool { return v.group.Primary == v.spec.ID }

// admissionConfig returns the size and the limits of a server in a snapshot.
//
// Limits of an entry hold over the whole fleet without a message between
// proxies: each server has one queue that sees all its work, and a limit is split
// over the servers that may run the entry. A write kind runs only at the primary,
// which has the whole limit. A read kind's limit is split evenly, the remainder
// to replicas first.
func admissionConfig(v view, limits pool.Options) *admission.Config {
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

func entryConfig(e catalogue.Entry, v view) admission.EntryConfig {
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
	index, count := readIndex(v)
	ec.MaxConcurrent = split(e.MaxConcurrent, index, count)
	ec.RatePerSecond = e.RatePerSecond / float64(count)
	return ec
}

// readIndex returns the server's place among its group's servers, replicas first.
func readIndex(v view) (index, count int) {
	servers := append([]topology.Server(nil), v.group.Servers...)
	sort.Slice(servers, func(i, j int) bool {
		pi, pj := servers[i].ID == v.group.Primary, servers[j].ID == v.group.Primary
		if pi != pj {
			return pj
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

// split returns part index of total divided into count whole parts.
func split(total, index, count int) int {
	part := total / count
	if index < total%count {
		part++
	}
	return part
}
