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

// statusPollInterval is the interval at which Wait reads the data centres' status.
const statusPollInterval = 250 * time.Millisecond

// FleetStatus combines the last reports of all data centres with a summary of the
// catalogue and the database groups.
type FleetStatus struct {
	DataCentres []control.DataCentreStatus `json:"dataCentres"`
	Missing     []Laggard                  `json:"missing,omitempty"` // VMs in the platform's list that no data centre reports
	Entries     int                        `json:"entries"`
	Groups      []GroupStatus              `json:"groups"`
}

// GroupStatus summarizes a database group.
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
	status, err := o.readFleet(ctx)
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

// readFleet reads the data centres' status objects and the platform's list of VMs.
func (o *Operator) readFleet(ctx context.Context) (FleetStatus, error) {
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
			status.Missing = append(status.Missing, Laggard{VM: vm.ID, DataCentre: vm.DataCentre})
		}
	}
	status.removeEmptyDataCentres(vms.VMs)
	sort.Slice(status.DataCentres, func(i, j int) bool { return status.DataCentres[i].DataCentre < status.DataCentres[j].DataCentre })
	return status, nil
}

// removeEmptyDataCentres removes the reports of data centres without any VM left.
func (s *FleetStatus) removeEmptyDataCentres(vms []topology.VM) {
	populated := map[string]bool{}
	for _, vm := range vms {
		populated[vm.DataCentre] = true
	}
	var remaining []control.DataCentreStatus
	for _, dc := range s.DataCentres {
		if populated[dc.DataCentre] {
			remaining = append(remaining, dc)
		}
	}
	s.DataCentres = remaining
}

// Lagging returns the VMs considered live that do not report version as in force or
// that rejected the object ("kind/name"), and the data centres without a report.
func (s FleetStatus) Lagging(version uint64, object string) []Laggard {
	var laggards []Laggard
	reporting := map[string]bool{}
	for _, dc := range s.DataCentres {
		reporting[dc.DataCentre] = true
		for _, vm := range dc.VMs {
			laggard := Laggard{VM: vm.ID, DataCentre: dc.DataCentre, Revision: vm.Revision, Refused: hasRefused(vm, object)}
			if vm.Revision < version || laggard.Refused {
				laggards = append(laggards, laggard)
			}
		}
	}
	for _, missing := range s.Missing {
		if !reporting[missing.DataCentre] {
			reporting[missing.DataCentre] = true
			laggards = append(laggards, Laggard{DataCentre: missing.DataCentre})
		}
	}
	return laggards
}

func hasRefused(vm control.VMStatus, object string) bool {
	for _, name := range vm.Invalid {
		if strings.HasPrefix(name, object+"@") {
			return true
		}
	}
	return false
}

// Wait polls the fleet's status until every proxy considered live reports the
// version of an object as in force, and returns *NotInForceError if ctx ends first. progress, if
// not nil, is called whenever the set of lagging proxies changes.
func (o *Operator) Wait(ctx context.Context, kind, name string, version uint64, progress func([]Laggard)) error {
	notInForce := &NotInForceError{Version: version}
	lastProgress := ""
	for {
		status, err := o.readFleet(ctx)
		if err == nil {
			notInForce.Lags, notInForce.Cause = status.Lagging(version, kind+"/"+name), nil
		} else {
			notInForce.Cause = err
		}
		if err == nil && len(notInForce.Lags) == 0 {
			return nil
		}
		if text := fmt.Sprint(notInForce.Lags); text != lastProgress && progress != nil {
			lastProgress = text
			progress(notInForce.Lags)
		}
		select {
		case <-ctx.Done():
			return notInForce
		case <-time.After(statusPollInterval):
		}
	}
}
