package admission

import (
	"time"

	"egretroad/internal/catalogue"
)

// KindStatus is the state of one scheduling class (kind and rank), for operators.
type KindStatus struct {
	Kind          string         `json:"kind"`
	Rank          catalogue.Rank `json:"rank"`
	Waiting       int            `json:"waiting"`
	Running       int            `json:"running"`
	Connections   int            `json:"connections"`
	Floor         float64        `json:"floor"`         // guaranteed share of the slots
	FloorCredit   float64        `json:"floorCredit"`   // slot seconds owed
	MeanServiceMS float64        `json:"meanServiceMs"` // mean service time of a statement
	SlotSeconds   float64        `json:"slotSeconds"`   // slot time used by completed statements
	OldestMS      int64          `json:"oldestMs"`      // queueing delay of the next work to be granted
}

// Status is the machine's state, for operators.
type Status struct {
	Slots           int          `json:"slots"`
	UsedSlots       int          `json:"usedSlots"`
	ConnectionLimit int          `json:"connectionLimit"`
	Connections     int          `json:"connections"`
	UsedConnections int          `json:"usedConnections"`
	Waiting         int          `json:"waiting"`
	QueuedBytes     int          `json:"queuedBytes"`
	Kinds           []KindStatus `json:"kinds"`
}

// Status returns the machine's state.
func (m *Machine) Status() Status {
	s := Status{
		Slots: m.serverSize.slots, UsedSlots: m.usedSlots,
		ConnectionLimit: m.serverSize.connectionLimit, Connections: m.connections, UsedConnections: m.usedConnections,
		Waiting: m.waiting, QueuedBytes: m.queuedBytes,
	}
	for _, c := range m.classes {
		s.Kinds = append(s.Kinds, m.kindStatus(c))
	}
	return s
}

func (m *Machine) kindStatus(c *class) KindStatus {
	k := KindStatus{
		Kind: c.kind, Rank: c.rank, Waiting: c.waiting, Running: c.running, Connections: c.connections,
		SlotSeconds: c.slotSeconds, Floor: c.floor.share, FloorCredit: c.floor.credit,
		MeanServiceMS: c.service.mean * float64(time.Second/time.Millisecond),
	}
	if c.statements.head != nil {
		k.OldestMS = (m.now - c.statements.head.enqueuedAt).Milliseconds()
	} else if c.eligible.len() > 0 {
		k.OldestMS = (m.now - c.eligible.top().head().enqueuedAt).Milliseconds()
	}
	return k
}
