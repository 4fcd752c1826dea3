package objectclient

import "sync/atomic"

// Call names a kind of call to the platform.
type Call string

// Kinds of calls.
const (
	CallGet    Call = "get"
	CallList   Call = "list"
	CallPut    Call = "put"
	CallDelete Call = "delete"
	CallWatch  Call = "watch"
	CallVMs    Call = "vms"
)

// calls lists every kind of call; a kind's index is its place in usage.
var calls = [...]Call{CallGet, CallList, CallPut, CallDelete, CallWatch, CallVMs}

// CallCount is the use of one kind of call since the client's start.
type CallCount struct {
	Calls         uint64 `json:"calls"`
	Failed        uint64 `json:"failed"` // calls without a usable answer
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

type callUsage struct {
	calls, failed, sentBytes, receivedBytes atomic.Uint64
}

// usage counts calls by kind.
type usage struct {
	byCall [len(calls)]callUsage
}

func (u *usage) of(c Call) *callUsage {
	for i, known := range calls {
		if known == c {
			return &u.byCall[i]
		}
	}
	return &u.byCall[0]
}

func (u *usage) sent(c Call, bytes int) {
	u.of(c).calls.Add(1)
	u.of(c).sentBytes.Add(uint64(bytes))
}

func (u *usage) received(c Call, bytes int) { u.of(c).receivedBytes.Add(uint64(bytes)) }

func (u *usage) failed(c Call) { u.of(c).failed.Add(1) }

// Counts returns the use of each kind of call.
func (c *Client) Counts() map[Call]CallCount {
	counts := make(map[Call]CallCount, len(calls))
	for i, call := range calls {
		u := &c.usage.byCall[i]
		counts[call] = CallCount{
			Calls:         u.calls.Load(),
			Failed:        u.failed.Load(),
			SentBytes:     u.sentBytes.Load(),
			ReceivedBytes: u.receivedBytes.Load(),
		}
	}
	return counts
}
