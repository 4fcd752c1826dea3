package history

import (
	"fmt"
	"math"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for one key's order; past it the key is
// reported as undecided.
const checkTimeout = 10 * time.Second

// registerInput is one operation on a key.
type registerInput struct {
	write bool
	value string
}

// registerModel is a register: a read returns the last value written.
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

// registerKey is one row of one database.
type registerKey struct{ database, key string }

// CheckReadYourWrites checks with porcupine that the operations on each key
// have an order in which each read sees the latest write before it. Operations
// must be by one caller that changes proxies, or by callers that connect anew
// for each operation: both must see every write acknowledged before.
func CheckReadYourWrites(ops []Operation, l *Ledger) []Violation {
	keys := map[registerKey][]Operation{}
	for _, op := range ops {
		k := registerKey{op.Database, op.Key}
		keys[k] = append(keys[k], op)
	}
	var found []Violation
	for _, k := range sortedKeys(keys) {
		ordered, early := registerOperations(keys[k], l)
		found = append(found, early...)
		switch porcupine.CheckOperationsTimeout(registerModel, ordered, checkTimeout) {
		case porcupine.Illegal:
			found = append(found, Violation{RuleReadYourWrites, k.key, describe(ordered)})
		case porcupine.Unknown:
			found = append(found, Violation{RuleUndecided, k.key, fmt.Sprintf("%d operations not ordered in %v", len(ordered), checkTimeout)})
		}
	}
	return found
}

// never is the return of a write that was not answered: it may take its place at
// any time after its call.
const never = int64(math.MaxInt64)

// registerOperations converts the operations on one key to those that the search
// must order. Three reductions keep the search short without a change of its
// verdict, as values are unique:
//   - A write that was never acknowledged and that a promotion dropped may be seen
//     and vanish again. It never replaces a value that later reads need, so a read
//     of it is allowed from the write's call on, and neither needs an order. Reads
//     before the call are returned as violations.
//   - A write without an answer that no read saw can come last.
//   - A write without an answer that reads saw comes immediately before one of them,
//     so after the first of their calls and before the first of their ends.
func registerOperations(ops []Operation, l *Ledger) ([]porcupine.Operation, []Violation) {
	dropped := map[string]time.Duration{} // value to the write's call
	reads := map[string]seen{}
	for _, op := range ops {
		switch {
		case op.Kind == Write && op.Outcome != OK && l.fate(op) == Dropped:
			dropped[op.Value] = op.Call
		case op.Kind == Read && op.Outcome == OK:
			reads[op.Value] = reads[op.Value].and(op)
		}
	}
	var ordered []porcupine.Operation
	var early []Violation
	for i, op := range ops {
		call, lost := dropped[op.Value]
		switch {
		case lost && op.Kind == Read && op.Outcome == OK && op.Return < call:
			early = append(early, Violation{RuleReadYourWrites, op.Key, fmt.Sprintf("value %q was read before it was written", op.Value)})
		case lost:
		default:
			if o, ok := registerOperation(op, l, reads); ok {
				o.ClientId = i
				ordered = append(ordered, o)
			}
		}
	}
	return ordered, early
}

// seen tells when a value was read.
type seen struct {
	known     bool
	firstCall time.Duration
	firstEnd  time.Duration
}

func (s seen) and(read Operation) seen {
	if !s.known {
		return seen{true, read.Call, read.Return}
	}
	return seen{true, min(s.firstCall, read.Call), min(s.firstEnd, read.Return)}
}

// registerOperation converts an operation whose effect lasts; those without effect
// or answer are left out.
func registerOperation(op Operation, l *Ledger, reads map[string]seen) (porcupine.Operation, bool) {
	o := porcupine.Operation{
		Input: registerInput{write: op.Kind == Write, value: op.Value}, Output: op.Value,
		Call: int64(op.Call), Return: int64(op.Return),
	}
	if op.Outcome == OK {
		return o, true
	}
	read := reads[op.Value]
	if op.Kind == Read || l.fate(op) == Never || !read.known {
		return o, false
	}
	o.Return = never
	if read.firstEnd >= op.Call {
		o.Call, o.Return = int64(max(op.Call, read.firstCall)), int64(read.firstEnd)
	}
	return o, true
}

func sortedKeys(keys map[registerKey][]Operation) []registerKey {
	all := make([]registerKey, 0, len(keys))
	for k := range keys {
		all = append(all, k)
	}
	sort.Slice(all, func(i, j int) bool {
		if all[i].database != all[j].database {
			return all[i].database < all[j].database
		}
		return all[i].key < all[j].key
	})
	return all
}

// describe lists a key's operations in the order of their calls.
func describe(ops []porcupine.Operation) string {
	sort.Slice(ops, func(i, j int) bool { return ops[i].Call < ops[j].Call })
	var b strings.Builder
	b.WriteString("no order explains:")
	for _, o := range ops {
		end := "never"
		if o.Return != never {
			end = time.Duration(o.Return).Round(time.Microsecond).String()
		}
		fmt.Fprintf(&b, " [%v-%s %s]", time.Duration(o.Call).Round(time.Microsecond), end,
			registerModel.DescribeOperation(o.Input, o.Output))
	}
	return b.String()
}
