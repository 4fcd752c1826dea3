package objectclient

import "sync/atomic"

// Call is a kind of API call.
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

// calls lists every kind of call. Its indexes are those of usage.byCall.
var calls = [...]Call{CallGet, CallList, CallPut, CallDelete, CallWatch, CallVMs}

// CallCount holds the totals of one kind of call since the client was created.
type CallCount struct {
	Calls         uint64 `json:"calls"`
	Failed        uint64 `json:"failed"` // calls without a complete response
	SentBytes     uint64 `json:"sentBytes"`
	ReceivedBytes uint64 `json:"receivedBytes"`
}

type callUsage struct {
	calls, failed, sentBytes, receivedBytes atomic.Uint64
}

// usage counts calls and bytes by kind of call. It is safe for concurrent use.
type usage struct {
	byCall [len(calls)]callUsage
}

func (u *usage) counters(c Call) *callUsage {
	for i, call := range calls {
		if call == c {
			return &u.byCall[i]
		}
	}
	return &u.byCall[0]
}

func (u *usage) addSent(c Call, bytes int) {
	u.counters(c).calls.Add(1)
	u.counters(c).sentBytes.Add(uint64(bytes))
}

func (u *usage) addReceived(c Call, bytes int) { u.counters(c).receivedBytes.Add(uint64(bytes)) }

func (u *usage) addFailed(c Call) { u.counters(c).failed.Add(1) }

// Counts returns the totals of every kind of call.
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
