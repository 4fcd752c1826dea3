package authority

import (
	"encoding/json"
	"sort"
)

// Lease identifies a lease: the right to acknowledge writes of a database in a
// term.
type Lease struct {
	Database string `json:"database" msgpack:"d"`
	Term     uint64 `json:"term" msgpack:"t"`
}

// LeaseObject is the value of the platform object of kind "lease" of one data
// centre. It stores no timestamps: each holder counts its lease's lifetime from
// the time at which it sent the request.
type LeaseObject struct {
	Delegate string `json:"delegate"` // VM that wrote the object last
	Nonce    string `json:"nonce"`    // identifies that write, to recognise it after a lost response
	// Holders maps the ID of each holder VM to its leases, by database, with
	// their terms.
	Holders map[string]map[string]uint64 `json:"holders,omitempty"`
	// Revoked maps a database to the highest revoked term; leases up to and
	// including that term are not granted or renewed.
	Revoked map[string]uint64 `json:"revoked,omitempty"`
}

// DecodeLeaseObject parses the JSON value of a lease object. Empty input yields an
// empty object, invalid input an *ObjectError.
func DecodeLeaseObject(value []byte) (LeaseObject, error) {
	o := LeaseObject{}
	if len(value) > 0 {
		if err := json.Unmarshal(value, &o); err != nil {
			return LeaseObject{}, &ObjectError{Kind: "lease", Cause: err}
		}
	}
	if o.Holders == nil {
		o.Holders = map[string]map[string]uint64{}
	}
	if o.Revoked == nil {
		o.Revoked = map[string]uint64{}
	}
	return o, nil
}

// Encode returns the JSON value of the object.
func (o LeaseObject) Encode() []byte { return encodeJSON(o) }

// clone returns a deep copy.
func (o LeaseObject) clone() LeaseObject {
	c := LeaseObject{Delegate: o.Delegate, Nonce: o.Nonce, Holders: map[string]map[string]uint64{}, Revoked: map[string]uint64{}}
	for vm, leases := range o.Holders {
		c.Holders[vm] = map[string]uint64{}
		for db, term := range leases {
			c.Holders[vm][db] = term
		}
	}
	for db, term := range o.Revoked {
		c.Revoked[db] = term
	}
	return c
}

// allows reports whether a lease may be granted: its term is not revoked.
func (o LeaseObject) allows(l Lease) bool { return l.Term > o.Revoked[l.Database] }

// setLease records a lease of a holder.
func (o LeaseObject) setLease(vm string, l Lease) {
	if o.Holders[vm] == nil {
		o.Holders[vm] = map[string]uint64{}
	}
	o.Holders[vm][l.Database] = l.Term
}

// dropLease removes the lease of a holder on a database.
func (o LeaseObject) dropLease(vm, database string) {
	delete(o.Holders[vm], database)
	if len(o.Holders[vm]) == 0 {
		delete(o.Holders, vm)
	}
}

// revoke revokes the database's terms up to and including the given one and
// returns the VMs that may still hold leases on them.
func (o LeaseObject) revoke(database string, term uint64) []string {
	if term > o.Revoked[database] {
		o.Revoked[database] = term
	}
	return o.holders(database, term)
}

// holders returns the VMs with a lease on the database in a term up to and
// including the given one, sorted.
func (o LeaseObject) holders(database string, term uint64) []string {
	var vms []string
	for vm, leases := range o.Holders {
		if t, ok := leases[database]; ok && t <= term {
			vms = append(vms, vm)
		}
	}
	sort.Strings(vms)
	return vms
}

// encodeJSON encodes a value of this package. It panics on failure, because such
// values always encode.
func encodeJSON(v any) []byte {
	b, err := json.Marshal(v)
	if err != nil {
		panic(&ObjectError{Kind: "value", Cause: err})
	}
	return b
}
