package control

import (
	"encoding/json"
	"sort"

	"egretroad/internal/platform"
	"egretroad/internal/topology"
)

// vmsRecord converts the platform's list of VMs to a replicated object.
func vmsRecord(l platform.VMList) ObjectRecord {
	value, err := json.Marshal(l)
	if err != nil {
		// A list of VMs holds only strings and numbers, which always encode.
		panic(&ValueError{Object: kindVMs, Cause: err})
	}
	return ObjectRecord{Kind: kindVMs, Name: nameVMs, Version: max(l.Revision, 1), Value: value}
}

// sameVMs reports whether a list holds the same VMs as the one in force, in any order.
func (m *Machine) sameVMs(l platform.VMList) bool {
	o := m.objects.objects[objectKey{kindVMs, nameVMs}]
	if o == nil || o.vms == nil || len(o.vms.VMs) != len(l.VMs) {
		return false
	}
	a, b := sortedVMs(o.vms.VMs), sortedVMs(l.VMs)
	for i := range a {
		if a[i] != b[i] {
			return false
		}
	}
	return true
}

func sortedVMs(vms []topology.VM) []topology.VM {
	sorted := append([]topology.VM(nil), vms...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	return sorted
}
