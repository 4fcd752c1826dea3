package session

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/topology"
)

func choiceGroup() *topology.Group {
	return &topology.Group{Database: "orders", Primary: "p", Servers: []topology.Server{
		{ID: "n", DataCentre: "a", Region: "r"}, {ID: "p", DataCentre: "b", Region: "s"}, {ID: "f", DataCentre: "c", Region: "t"},
	}}
}

func choose(known map[string]learned, n need, now time.Duration) string {
	s, _ := DefaultChoiceOptions().pick(choiceGroup(), topology.VM{DataCentre: "a", Region: "r"}, n, func(id string) learned { return known[id] }, now)
	return s.ID
}

func TestPick(t *testing.T) {
	g := NewWithT(t)
	now := time.Hour
	g.Expect(choose(nil, need{}, now)).To(Equal("n"), "the data centre's own replica")
	busy := map[string]learned{"n": {load: 200 * time.Millisecond, loadAt: now}}
	g.Expect(choose(busy, need{}, now)).To(Equal("f"), "a replica of another region goes before the primary")
	g.Expect(choose(busy, need{}, now+DefaultChoiceOptions().LoadLifetime)).To(Equal("n"), "what was learned loses its weight")
	behind := map[string]learned{"n": {behindTill: now + 1}, "f": {failedTill: now + 1}}
	g.Expect(choose(behind, need{}, now)).To(Equal("p"))
	behind["p"] = learned{failedTill: now + 1}
	g.Expect(choose(behind, need{}, now)).To(Equal("n"), "an avoided server is better than none")
	g.Expect(choose(nil, need{primary: true}, now)).To(Equal("p"))
	g.Expect(choose(nil, need{primary: true, excluded: map[string]bool{"p": true}}, now)).To(BeEmpty())
}

// A sample that is used must cover every commit acknowledged before the time asked
// for, whatever was learned in whatever order.
func TestSamplesCover(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var known []sample
		// The true log: the position at a time only rises, and with a new term it may
		// fall back below what the old one had.
		at, mark := time.Duration(1), topology.Mark{Database: "orders", Term: 1, Position: 1}
		truth := []sample{{mark: mark, at: at}}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			at += time.Duration(rapid.IntRange(1, 200).Draw(t, "ms")) * time.Millisecond
			if rapid.IntRange(0, 9).Draw(t, "promotion") == 0 {
				mark.Term++
				mark.Position -= min(mark.Position-1, uint64(rapid.IntRange(0, 3).Draw(t, "rolled back")))
			} else {
				mark.Position += uint64(rapid.IntRange(0, 3).Draw(t, "commits"))
			}
			truth = append(truth, sample{mark: mark, at: at})
			learnt := truth[rapid.IntRange(max(0, len(truth)-4), len(truth)-1).Draw(t, "learnt")]
			known = addSample(known, learnt)
		}
		since := time.Duration(rapid.IntRange(0, int(at/time.Millisecond)).Draw(t, "since")) * time.Millisecond
		s, found := oldestAfter(known, since)
		if !found {
			return
		}
		for _, was := range truth {
			if was.at <= since && was.mark.Term == s.mark.Term && s.mark.Less(was.mark) {
				t.Fatalf("sample %v does not cover %v of before %v", s, was, since)
			}
		}
		if s.at < since || len(known) > maxSamples {
			t.Fatalf("sample %v is older than %v, or %d samples are kept", s, since, len(known))
		}
	})
}

func TestServersThatAreGoneAreForgotten(t *testing.T) {
	g := NewWithT(t)
	c := newChooser(DefaultChoiceOptions(), topology.VM{})
	c.answered("p", 0, "", time.Second)
	c.answered("gone", 0, "", time.Second)
	c.keep(&topology.Snapshot{Groups: map[string]*topology.Group{"orders": choiceGroup()}})
	g.Expect(c.dump()).To(HaveLen(1))
}
