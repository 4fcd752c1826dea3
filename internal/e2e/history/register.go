package history

import (
	"fmt"
	"math"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/anishathalye/porcupine"
)

// checkTimeout bounds the search for one key's order; past it the key is
// reported as undecided.
const checkTimeout = 10 * time.Second

// registerState is the state of one key: the value that reads must see, and
// values that the primary showed before a promotion dropped them, comma separated.
type registerState struct {
	value   string
	dropped string
}

// registerInput is one operation on a key.
type registerInput struct {
	write   bool
	dropped bool // the write was committed, but not acknowledged, and then dropped
	value   string
}

// registerModel is a register in which a write that was never acknowledged may
// be seen and vanish again.
var registerModel = porcupine.Model{
	Init: func() any { return registerState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(registerState), input.(registerInput)
		switch {
		case in.dropped:
			return true, registerState{s.value, s.dropped + "," + in.value}
		case in.write:
			return true, registerState{in.value, s.dropped}
		}
		read := output.(string)
		if read == s.value || read != "" && slices.Contains(strings.Split(s.dropped, ","), read) {
			return true, s
		}
		return false, s
	},
	Equal: func(a, b any) bool { return a == b },
	DescribeOperation: func(input, output any) string {
		in := input.(registerInput)
		if in.write {
			return fmt.Sprintf("write(%q, dropped=%t)", in.value, in.dropped)
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
	keys := map[registerKey][]porcupine.Operation{}
	for i, op := range ops {
		if o, ok := registerOperation(op, l, i); ok {
			k := registerKey{op.Database, op.Key}
			keys[k] = append(keys[k], o)
		}
	}
	var found []Violation
	for _, k := range sortedKeys(keys) {
		switch porcupine.CheckOperationsTimeout(registerModel, keys[k], checkTimeout) {
		case porcupine.Illegal:
			found = append(found, Violation{RuleReadYourWrites, k.key, describe(keys[k])})
		case porcupine.Unknown:
			found = append(found, Violation{RuleUndecided, k.key, fmt.Sprintf("%d operations not ordered in %v", len(keys[k]), checkTimeout)})
		}
	}
	return found
}

// registerOperation converts an operation; those without effect or answer are
// left out.
func registerOperation(op Operation, l *Ledger, id int) (porcupine.Operation, bool) {
	o := porcupine.Operation{
		ClientId: id,
		Call:     int64(op.Call),
		Return:   int64(op.Return),
		Output:   op.Value,
	}
	if op.Kind == Read {
		o.Input = registerInput{}
		return o, op.Outcome == OK
	}
	fate := l.fate(op)
	o.Input = registerInput{write: true, value: op.Value, dropped: op.Outcome != OK && fate == Dropped}
	if op.Outcome == OK {
		return o, true
	}
	o.Return = math.MaxInt64
	return o, fate != Never
}

func sortedKeys(keys map[registerKey][]porcupine.Operation) []registerKey {
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
		if o.Return != math.MaxInt64 {
			end = time.Duration(o.Return).Round(time.Microsecond).String()
		}
		fmt.Fprintf(&b, " [%v-%s %s]", time.Duration(o.Call).Round(time.Microsecond), end,
			registerModel.DescribeOperation(o.Input, o.Output))
	}
	return b.String()
}
