package history

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout limits the search for an order of the operations on one key. A key
// whose search times out is reported as undecided.
const checkTimeout = 10 * time.Second

// registerInput is the input of an operation on the register model.
type registerInput struct {
	write bool
	value string
}

// registerModel specifies a register: a read returns the last value written.
var registerModel = porcupine.Model{
	Init: func() any { return "" },
	Step: func(state, input, output any) (bool, any) {
		in := input.(registerInput)
		if in.write {
			return true, in.value
		}
		return output.(string) == state.(string), state
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		in := input.(registerInput)
		if in.write {
			return fmt.Sprintf("write(%q)", in.value)
		}
		return fmt.Sprintf("read() = %q", output)
	},
}

// rowKey identifies a row of a database.
type rowKey struct{ database, key string }

// CheckReadYourWrites checks with porcupine that the operations on each key are
// linearizable: they have an order in which each read returns the latest write
// before it. The operations on a key must come from one caller that moves between
// proxies, or from callers that open a new connection for each operation. Both are
// guaranteed to see every write acknowledged before.
func CheckReadYourWrites(ops []Operation, index *CommitIndex) []Violation {
	opsByKey := map[rowKey][]Operation{}
	for _, op := range ops {
		k := rowKey{op.Database, op.Key}
		opsByKey[k] = append(opsByKey[k], op)
	}
	var violations []Violation
	for _, k := range sortedKeys(opsByKey) {
		ordered, earlyReads := toRegisterOperations(opsByKey[k], index)
		violations = append(violations, earlyReads...)
		switch porcupine.CheckOperationsTimeout(registerModel, ordered, checkTimeout) {
		case porcupine.Illegal:
			violations = append(violations, Violation{RuleReadYourWrites, k.key, describeHistory(ordered)})
		case porcupine.Unknown:
			violations = append(violations, Violation{RuleUndecided, k.key, fmt.Sprintf("no order of %d operations found within %v", len(ordered), checkTimeout)})
		}
	}
	return violations
}

// noReturn is the return time of a write without a response: it may take effect at
// any time after its call.
const noReturn = int64(math.MaxInt64)

// toRegisterOperations converts the operations on one key to those that the search
// must order. Three reductions keep the search short. As values are unique, they
// don't change its result:
//   - The value of an unacknowledged write that a promotion dropped may be read and
//     disappear again. It doesn't overwrite a value that later reads return, so reads
//     of it are valid at any time after the call of the write, and the search needs
//     neither the write nor these reads. Reads that end before the call are returned
//     as violations.
//   - A write without a response whose value no read returned can be ordered last.
//   - A write without a response whose value was read is ordered immediately before
//     one of these reads: after the earliest of their calls and before the earliest of
//     their returns.
func toRegisterOperations(ops []Operation, index *CommitIndex) ([]porcupine.Operation, []Violation) {
	droppedCalls := map[string]time.Duration{} // call time of the write, by value
	reads := map[string]readTimes{}
	for _, op := range ops {
		switch {
		case op.Kind == Write && op.Outcome != OK && index.commitState(op) == Dropped:
			droppedCalls[op.Value] = op.Call
		case op.Kind == Read && op.Outcome == OK:
			reads[op.Value] = reads[op.Value].include(op)
		}
	}
	var ordered []porcupine.Operation
	var earlyReads []Violation
	for i, op := range ops {
		call, dropped := droppedCalls[op.Value]
		switch {
		case dropped && op.Kind == Read && op.Outcome == OK && op.Return < call:
			earlyReads = append(earlyReads, Violation{RuleReadYourWrites, op.Key, fmt.Sprintf("value %q was read before it was written", op.Value)})
		case dropped:
		default:
			if o, ok := toRegisterOperation(op, index, reads); ok {
				o.ClientId = i
				ordered = append(ordered, o)
			}
		}
	}
	return ordered, earlyReads
}

// readTimes holds the earliest call and the earliest return among the reads of a
// value. The zero value means that no read returned the value.
type readTimes struct {
	valid       bool
	firstCall   time.Duration
	firstReturn time.Duration
}

func (t readTimes) include(read Operation) readTimes {
	if !t.valid {
		return readTimes{true, read.Call, read.Return}
	}
	return readTimes{true, min(t.firstCall, read.Call), min(t.firstReturn, read.Return)}
}

// toRegisterOperation converts an operation. It returns false for those that the
// search doesn't need: failed reads, and unacknowledged writes that were not
// committed or whose value no read returned.
func toRegisterOperation(op Operation, index *CommitIndex, reads map[string]readTimes) (porcupine.Operation, bool) {
	o := porcupine.Operation{
		Input: registerInput{write: op.Kind == Write, value: op.Value}, Output: op.Value,
		Call: int64(op.Call), Return: int64(op.Return),
	}
	if op.Outcome == OK {
		return o, true
	}
	times := reads[op.Value]
	if op.Kind == Read || index.commitState(op) == NotCommitted || !times.valid {
		return o, false
	}
	o.Return = noReturn
	if times.firstReturn >= op.Call {
		o.Call, o.Return = int64(max(op.Call, times.firstCall)), int64(times.firstReturn)
	}
	return o, true
}

func sortedKeys(opsByKey map[rowKey][]Operation) []rowKey {
	keys := make([]rowKey, 0, len(opsByKey))
	for k := range opsByKey {
		keys = append(keys, k)
	}
	sort.Slice(keys, func(i, j int) bool {
		if keys[i].database != keys[j].database {
			return keys[i].database < keys[j].database
		}
		return keys[i].key < keys[j].key
	})
	return keys
}

// describeHistory lists the operations on a key in the order of their calls.
func describeHistory(ops []porcupine.Operation) string {
	sort.Slice(ops, func(i, j int) bool { return ops[i].Call < ops[j].Call })
	var b strings.Builder
	b.WriteString("no linearizable order of:")
	for _, o := range ops {
		end := "never"
		if o.Return != noReturn {
			end = time.Duration(o.Return).Round(time.Microsecond).String()
		}
		fmt.Fprintf(&b, " [%v-%s %s]", time.Duration(o.Call).Round(time.Microsecond), end,
			registerModel.DescribeOperation(o.Input, o.Output))
	}
	return b.String()
}
