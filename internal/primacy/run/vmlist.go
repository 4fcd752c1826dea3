package run

import (
	"context"
	"maps"
	"slices"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
)

// readListIfDue starts to read the list of VMs if the known one is older than listInterval.
// The VM that reads the store for the fleet also keeps the record of the established VMs.
func (r *Refresher) readListIfDue() {
	r.mu.Lock()
	due := !r.listReading && clock.Boottime()-max(r.ledger.ListedAt(), r.list.asOf) >= listInterval
	r.listReading = r.listReading || due
	r.mu.Unlock()
	if !due {
		return
	}
	go func() {
		if _, err := r.ReadList(); err == nil { // its error is logged; the next read of the store repeats it
			r.recordEstablished()
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		r.listReading = false
	}()
}

// ReadList reads the list of VMs from the store.
func (r *Refresher) ReadList() (primacy.List, error) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	asOf := clock.Boottime()
	list, err := r.deps.Store.VMs(ctx)
	if err != nil {
		r.deps.Log.Debug("vm_list_not_read", "error", err)
		return primacy.List{}, err
	}
	return r.recordList(list, asOf), nil
}

// ObserveLists returns a store that is used like the given one. The refresher learns the
// lists of VMs that are read through it and need not read them itself.
func (r *Refresher) ObserveLists(s platform.Store) platform.Store {
	return &observedStore{Store: s, refresher: r}
}

type observedStore struct {
	platform.Store
	refresher *Refresher
}

// VMs implements platform.Store.
func (s *observedStore) VMs(ctx context.Context) (platform.VMList, error) {
	asOf := clock.Boottime()
	list, err := s.Store.VMs(ctx)
	if err == nil {
		s.refresher.recordList(list, asOf)
	}
	return list, err
}

// recordList keeps a list of VMs that was requested at asOf and returns it.
func (r *Refresher) recordList(vms platform.VMList, asOf time.Duration) primacy.List {
	list := primacy.List{Epoch: platform.EpochOf(vms.Revision), Registrations: vms.Registrations, Record: r.decodeEstablished(vms.Established)}
	for _, vm := range vms.VMs {
		list.IDs = append(list.IDs, vm.ID)
	}
	read := listRead{list: list, recordVersion: vms.Established.Version, asOf: asOf, arrived: clock.Boottime()}
	r.ledger.ConfirmEpoch(list.Epoch)
	r.mu.Lock()
	defer r.mu.Unlock()
	if asOf > r.list.asOf {
		r.list = read
	}
	r.tenure.Observe(list, asOf, read.arrived)
	return list
}

// confirmList takes over the last list of VMs once the designations have been read after
// it: a promotion reads the list after its designation, so a VM that knows a newer list
// than the promotion must know the designation. A list of an unsettled epoch may lack VMs.
func (r *Refresher) confirmList(designationsAsOf time.Duration) {
	r.mu.Lock()
	read := r.list
	r.mu.Unlock()
	if len(read.list.IDs) > 0 && read.arrived <= designationsAsOf && r.ledger.Settled(read.list.Epoch) {
		r.ledger.ConfirmList(read.list.IDs, read.asOf)
	}
}

// union returns the sorted IDs that are in at least one of the lists.
func union(lists ...[]string) []string {
	ids := map[string]bool{}
	for _, list := range lists {
		for _, id := range list {
			ids[id] = true
		}
	}
	return slices.Sorted(maps.Keys(ids))
}
