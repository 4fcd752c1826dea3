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

// referenceModel specifies the register without the reductions of the checker. The
// state holds the current value and the dropped values that reads may still return.
var referenceModel = porcupine.Model{
	Init: func() any { return [2]string{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.([2]string), input.(referenceInput)
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

type referenceInput struct {
	write, dropped bool
	value          string
}

// linearizable searches for an order of all operations, without the reductions.
func linearizable(ops []history.Operation, surviving map[string]bool) bool {
	const noReturn = 1 << 40
	var all []porcupine.Operation
	for i, op := range ops {
		survived, committed := surviving[op.Value]
		o := porcupine.Operation{ClientId: i, Call: int64(op.Call), Return: int64(op.Return), Output: op.Value}
		if op.Kind == history.Read {
			o.Input = referenceInput{}
		} else {
			o.Input = referenceInput{write: true, value: op.Value, dropped: op.Outcome != history.OK && committed && !survived}
			if op.Outcome != history.OK {
				o.Return = noReturn
				if !committed {
					continue
				}
			}
		}
		all = append(all, o)
	}
	return porcupine.CheckOperations(referenceModel, all)
}

// The reductions that keep the search short must not change its result.
func TestReadYourWritesAgreesWithReferenceSearch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var ops []history.Operation
		var commits []history.Commit
		surviving := map[string]bool{}
		values := []string{""}
		// Call and return times are distinct, as with the clock of the recorder.
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
			outcome := rapid.SampledFrom([]history.Outcome{history.OK, history.Unknown}).Draw(t, "outcome")
			ops = append(ops, write("k", value, outcome, time.Duration(call), time.Duration(end)))
			if outcome == history.OK || rapid.Bool().Draw(t, "committed") {
				surviving[value] = rapid.Bool().Draw(t, "surviving")
				commits = append(commits, committed("k", value, surviving[value]))
			}
		}
		got := len(history.CheckReadYourWrites(ops, history.NewCommitIndex(commits))) == 0
		if want := linearizable(ops, surviving); got != want {
			t.Fatalf("linearizable: %v, by the reference search: %v, operations: %+v", got, want, ops)
		}
	})
}
