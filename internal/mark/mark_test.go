package mark_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"egretroad/internal/mark"
	"egretroad/internal/topology"
)

var key = []byte("fleet key")

func TestRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := topology.Mark{
			Database: rapid.StringMatching(`[a-z][a-z0-9]{0,62}`).Draw(t, "database"),
			Term:     rapid.Uint64Min(1).Draw(t, "term"),
			Position: rapid.Uint64().Draw(t, "position"),
		}
		got, err := mark.Decode(key, mark.Encode(key, m), m.Database)
		if err != nil || got != m {
			t.Fatalf("got %v, %v; want %v", got, err, m)
		}
	})
}

func TestRefusesAlteredText(t *testing.T) {
	g := NewWithT(t)
	text := mark.Encode(key, topology.Mark{Database: "orders1", Term: 3, Position: 99})
	for i := range text {
		altered := []byte(text)
		altered[i] ^= 1
		_, err := mark.Decode(key, string(altered), "orders1")
		g.Expect(err).To(BeAssignableToTypeOf(&mark.InvalidError{}), "byte %d", i)
	}
}

func TestRefusesMalformedText(t *testing.T) {
	g := NewWithT(t)
	m := topology.Mark{Database: "orders1", Term: 3, Position: 99}
	for name, text := range map[string]string{
		"word":           "hello",
		"empty parts":    "1..",
		"other version":  strings.Replace(mark.Encode(key, m), "1.", "2.", 1),
		"other key":      mark.Encode([]byte("forged"), m),
		"other database": mark.Encode(key, topology.Mark{Database: "orders2", Term: 3, Position: 99}),
		"huge":           strings.Repeat("a", 10_000),
		"short body":     "1.AAAA.AAAA",
	} {
		_, err := mark.Decode(key, text, "orders1")
		g.Expect(err).To(BeAssignableToTypeOf(&mark.InvalidError{}), name)
	}
}
