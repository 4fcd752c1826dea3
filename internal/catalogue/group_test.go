package catalogue_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"egretroad/internal/catalogue"
)

func TestGroupMergesStrictestEntrySettings(t *testing.T) {
	g := NewWithT(t)
	c := catalogue.New([]catalogue.Entry{
		{Name: "a", Group: "orders", ServerConnections: 16},
		{Name: "b", Group: "orders", ServerConnections: 8, SyncReplicas: 1},
		{Name: "c", Group: "ledger", SyncReplicas: 2},
		{Name: "d", Group: "orders"},
	})
	g.Expect(c.Group("orders")).To(Equal(catalogue.Group{ServerConnections: 8, SyncReplicas: 1}))
	g.Expect(c.Group("ledger")).To(Equal(catalogue.Group{SyncReplicas: 2}))
	g.Expect(c.Group("unknown")).To(BeZero())
	g.Expect((*catalogue.Catalogue)(nil).Group("orders")).To(BeZero())
}
