package run

import (
	"context"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"egretroad/internal/clock"
	"egretroad/internal/platform"
	"egretroad/internal/primacy"
)

// recordInterval is the minimum time between two writes of the record of the established VMs
// by one VM, and how long one waits for VMs that become established soon.
const recordInterval = 5 * time.Second

// decodeEstablished decodes the record of the established VMs; zero if there is none or it
// cannot be read. It is then written anew.
func (r *Refresher) decodeEstablished(o platform.Object) primacy.EstablishedRecord {
	var record primacy.EstablishedRecord
	if o.Version == 0 {
		return record
	}
	if err := json.Unmarshal(o.Value, &record); err != nil {
		r.deps.Log.Error("established_vms_unreadable", "version", o.Version, "error", err)
		return primacy.EstablishedRecord{}
	}
	return record
}

// recordEstablished writes the record of the established VMs if the last list shows that the
// store's is out of date. A write without a response, or one that conflicts with that of
// another VM, is judged by the next list.
func (r *Refresher) recordEstablished() {
	now := clock.Boottime()
	r.mu.Lock()
	next, isDue := r.tenure.NextRecord(recordInterval)
	version := r.list.recordVersion
	if isDue = isDue && now-r.recordedAt >= recordInterval; isDue {
		r.recordedAt = now
	}
	r.mu.Unlock()
	if !isDue {
		return
	}
	value, err := json.Marshal(next)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if _, err := r.deps.Store.Put(ctx, platform.KindVMs, platform.NameEstablished, version, value); err != nil {
		r.deps.Log.Warn("established_vms_not_recorded", "epoch", next.Epoch, "error", err)
		return
	}
	r.deps.Log.Info("established_vms_recorded", "epoch", next.Epoch, "vms", slices.Sorted(maps.Keys(next.VMs)))
}
