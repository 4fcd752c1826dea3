package history_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"pgregory.net/rapid"

	"egretroad/internal/e2e/history"
	"egretroad/internal/rapidseed"
)

func TestMain(m *testing.M) { rapidseed.Main(m) }

// plainModel is the register without the checker's reductions: the state is the
// value and the dropped values that may still be seen.
var plainModel = porcupine.Model{
	Init: func() any { return [2]string{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.([2]string), input.(plainInput)
		switch {
		case in.dropped:
			return true, [2]string{s[0], s[1] + "," + in.value}
		case in.write:
			return true, [2]string{in.value, s[1]}
		}
		read := output.(string)
		return read == s[0] || read != "" && slices.Contains(strings.Split(s[1], ","), read), s
	},
	Equal: func(a, b any) bool { return a == b },
}

type plainInput struct {
	write, dropped bool
	value          string
}

// plainVerdict searches for an order of all operations.
func plainVerdict(ops []history.Operation, surviving map[string]bool) bool {
	const never = 1 << 40
	var all []porcupine.Operation
	for i, op := range ops {
		kept, committed := surviving[op.Value]
		o := porcupine.Operation{ClientId: i, Call: int64(op.Call), Return: int64(op.Return), Output: op.Value}
		if op.Kind == history.Read {
			o.Input = plainInput{}
		} else {
			o.Input = plainInput{write: true, value: op.Value, dropped: op.Outcome != history.OK && committed && !kept}
			if op.Outcome != history.OK {
				o.Return = never
				if !committed {
					continue
				}
			}
		}
		all = append(all, o)
	}
	return porcupine.CheckOperations(plainModel, all)
}

// The reductions that keep the search short change no verdict.
func TestReadYourWritesAgreesWithAPlainSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ops []history.Operation
		var commits []history.Commit
		surviving := map[string]bool{}
		values := []string{""}
		// Calls and returns are distinct, as the recorder's clock makes them.
		times := rapid.Permutation([]int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15}).Draw(t, "times")
		for i := range rapid.IntRange(1, 8).Draw(t, "operations") {
			call, end := times[2*i], times[2*i+1]
			if call > end {
				call, end = end, call
			}
			if len(values) > 1 && rapid.Bool().Draw(t, "read") {
				value := rapid.SampledFrom(values).Draw(t, "value")
				ops = append(ops, read("k", value, time.Duration(call), time.Duration(end)))
				continue
			}
			value := fmt.Sprintf("v%d", i)
			values = append(values, value)
			result := rapid.SampledFrom([]history.Outcome{history.OK, history.Unknown}).Draw(t, "outcome")
			ops = append(ops, write("k", value, result, time.Duration(call), time.Duration(end)))
			if result == history.OK || rapid.Bool().Draw(t, "committed") {
				surviving[value] = rapid.Bool().Draw(t, "surviving")
				commits = append(commits, committed("k", value, surviving[value]))
			}
		}
		got := len(history.CheckReadYourWrites(ops, history.NewLedger(commits))) == 0
		if want := plainVerdict(ops, surviving); got != want {
			t.Fatalf("explained: %v, by a plain search: %v: %+v", got, want, ops)
		}
	})
}
