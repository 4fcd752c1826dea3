package operate

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"strings"
	"time"

	"egretroad/internal/control"
	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// waitInterval is the time between two reads of the data centres' status.
const waitInterval = 250 * time.Millisecond

// FleetStatus is what the data centres last reported.
type FleetStatus struct {
	DataCentres []control.DataCentreStatus `json:"dataCentres"`
	Missing     []Lag                      `json:"missing,omitempty"` // VMs of the platform's list that no data centre reports
	Entries     int                        `json:"entries"`
	Groups      []GroupStatus              `json:"groups"`
}

// GroupStatus is one database group in short.
type GroupStatus struct {
	Database  string              `json:"database"`
	Version   uint64              `json:"version"`
	Term      uint64              `json:"term"`
	Primary   string              `json:"primary"`
	Servers   int                 `json:"servers"`
	Promotion *topology.Promotion `json:"promotion,omitempty"`
	Invalid   string              `json:"invalid,omitempty"`
}

// Status reads the fleet's status from the store.
func (o *Operator) Status(ctx context.Context) (FleetStatus, error) {
	status, err := o.fleet(ctx)
	if err != nil {
		return FleetStatus{}, err
	}
	entries, err := o.store.List(ctx, platform.KindCatalogue)
	if err != nil {
		return FleetStatus{}, err
	}
	groups, err := o.store.List(ctx, platform.KindGroup)
	if err != nil {
		return FleetStatus{}, err
	}
	status.Entries = len(entries.Objects)
	for _, object := range groups.Objects {
		status.Groups = append(status.Groups, groupStatus(object))
	}
	return status, nil
}

func groupStatus(object platform.Object) GroupStatus {
	s := GroupStatus{Database: object.Name, Version: object.Version}
	g, err := decodeGroup(object)
	if err != nil {
		s.Invalid = err.Error()
		return s
	}
	s.Term, s.Primary, s.Servers, s.Promotion = g.Term, g.Primary, len(g.Servers), g.Promotion
	return s
}

// fleet reads the data centres' status objects and the list of VMs.
func (o *Operator) fleet(ctx context.Context) (FleetStatus, error) {
	l, err := o.store.List(ctx, platform.KindStatus)
	if err != nil {
		return FleetStatus{}, err
	}
	vms, err := o.store.VMs(ctx)
	if err != nil {
		return FleetStatus{}, err
	}
	var status FleetStatus
	reported := map[string]bool{}
	for _, object := range l.Objects {
		var dc control.DataCentreStatus
		if err := json.Unmarshal(object.Value, &dc); err != nil {
			return FleetStatus{}, &InvalidObjectError{Object: object, Cause: err}
		}
		status.DataCentres = append(status.DataCentres, dc)
		reported[dc.DataCentre] = true
		for _, vm := range dc.VMs {
			reported[dc.DataCentre+"/"+vm.ID] = true
		}
	}
	for _, vm := range vms.VMs {
		if !reported[vm.DataCentre+"/"+vm.ID] {
			status.Missing = append(status.Missing, Lag{VM: vm.ID, DataCentre: vm.DataCentre})
		}
	}
	status.dropEmptied(vms.VMs)
	sort.Slice(status.DataCentres, func(i, j int) bool { return status.DataCentres[i].DataCentre < status.DataCentres[j].DataCentre })
	return status, nil
}

// dropEmptied drops the reports of data centres that have no VM any more.
func (s *FleetStatus) dropEmptied(vms []topology.VM) {
	has := map[string]bool{}
	for _, vm := range vms {
		has[vm.DataCentre] = true
	}
	var kept []control.DataCentreStatus
	for _, dc := range s.DataCentres {
		if has[dc.DataCentre] {
			kept = append(kept, dc)
		}
	}
	s.DataCentres = kept
}

// Lagging returns the VMs thought live that do not report version in force, and
// the data centres that report nothing. object names the changed object.
func (s FleetStatus) Lagging(version uint64, object string) []Lag {
	var lags []Lag
	reporting := map[string]bool{}
	for _, dc := range s.DataCentres {
		reporting[dc.DataCentre] = true
		for _, vm := range dc.VMs {
			lag := Lag{VM: vm.ID, DataCentre: dc.DataCentre, Revision: vm.Revision, Refused: refuses(vm, object)}
			if vm.Revision < version || lag.Refused {
				lags = append(lags, lag)
			}
		}
	}
	for _, missing := range s.Missing {
		if !reporting[missing.DataCentre] {
			reporting[missing.DataCentre] = true
			lags = append(lags, Lag{DataCentre: missing.DataCentre})
		}
	}
	return lags
}

func refuses(vm control.VMStatus, object string) bool {
	for _, name := range vm.Invalid {
		if strings.HasPrefix(name, object+"@") {
			return true
		}
	}
	return false
}

// Wait returns once every proxy thought live reports the version of an object in
// force, or *NotInForceError when ctx ends before. progress is told each time
// the proxies that are missing change.
func (o *Operator) Wait(ctx context.Context, kind, name string, version uint64, progress func([]Lag)) error {
	pending := &NotInForceError{Version: version}
	last := ""
	for {
		status, err := o.fleet(ctx)
		if err == nil {
			pending.Lags, pending.Cause = status.Lagging(version, kind+"/"+name), nil
		} else {
			pending.Cause = err
		}
		if err == nil && len(pending.Lags) == 0 {
			return nil
		}
		if text := fmt.Sprint(pending.Lags); text != last && progress != nil {
			last = text
			progress(pending.Lags)
		}
		select {
		case <-ctx.Done():
			return pending
		case <-time.After(waitInterval):
		}
	}
}
