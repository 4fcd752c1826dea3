package dispatch_test

import (
	"context"
	"net"
	"testing"

	"github.com/onsi/gomega"

	"egretroad/internal/dispatch"
	"egretroad/internal/eventlog"
	"egretroad/internal/metrics"
	"egretroad/internal/outcome"
	"egretroad/internal/peer"
	"egretroad/internal/topology"
	"egretroad/internal/txn"
)

// fakeHome is a txn.Home that returns fixed values and a fixed error.
type fakeHome struct{ err error }

func (h *fakeHome) Open(context.Context, txn.Request) (txn.Lane, error) { return nil, h.err }

func (h *fakeHome) Position(_ context.Context, server string) (topology.Mark, error) {
	return topology.Mark{Database: server, Term: 2, Position: 9}, h.err
}

func (h *fakeHome) WaitApplied(_ context.Context, server string, m topology.Mark) (topology.ServerStatus, error) {
	return topology.ServerStatus{Server: server, Position: m.Position}, h.err
}

func (h *fakeHome) Admin(_ context.Context, r txn.AdminRequest) (topology.ServerStatus, error) {
	return topology.ServerStatus{Server: r.Server, Term: r.Term}, h.err
}

// fleet starts VMs a and b and returns the dispatcher of VM a. The home of server s1 is
// VM a and the home of server s2 is VM b, which serves it with remote.
func fleet(t *testing.T, remote *fakeHome) *dispatch.Dispatcher {
	t.Helper()
	listen, err := net.Listen("tcp", "127.0.0.1:0")
	gomega.NewWithT(t).Expect(err).NotTo(gomega.HaveOccurred())
	start := func(self string, home txn.Home) (*peer.Node, *dispatch.Dispatcher) {
		source := topology.NewPublisher(&topology.Snapshot{
			Self:  self,
			VMs:   map[string]topology.VM{"a": {ID: "a"}, "b": {ID: "b", PeerAddr: listen.Addr().String()}},
			Homes: map[string]string{"s1": "a", "s2": "b"},
		})
		node := peer.NewNode(peer.DefaultOptions(self, "127.0.0.1", []byte("k")), source, eventlog.Discard(), metrics.NewRegistry())
		d := dispatch.New(source, node)
		d.SetLocal(home)
		node.ServeLanes(home)
		t.Cleanup(node.Stop)
		return node, d
	}
	_, a := start("a", &fakeHome{})
	b, _ := start("b", remote)
	b.Start(listen)
	return a
}

func TestLocalAndRemoteCalls(t *testing.T) {
	g := gomega.NewWithT(t)
	d := fleet(t, &fakeHome{})
	ctx := context.Background()
	for _, server := range []string{"s1", "s2"} {
		mark, err := d.Position(ctx, server)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(mark).To(gomega.Equal(topology.Mark{Database: server, Term: 2, Position: 9}))
		status, err := d.WaitApplied(ctx, server, mark)
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status.Position).To(gomega.Equal(uint64(9)))
		status, err = d.Admin(ctx, txn.AdminRequest{Server: server, Op: txn.AdminFence, Term: 3})
		g.Expect(err).NotTo(gomega.HaveOccurred())
		g.Expect(status.Term).To(gomega.Equal(uint64(3)))
	}
}

func TestOutcomeErrorsKeepTypeAcrossVMs(t *testing.T) {
	ctx := context.Background()
	for _, want := range []error{
		&outcome.NotRunError{Reason: outcome.ReasonBehind, Detail: "x"},
		&outcome.UnknownError{Reason: outcome.ReasonUnconfirmed, Detail: "x"},
		&outcome.FailedError{Code: "55000", Message: "x"},
	} {
		g := gomega.NewWithT(t)
		_, err := fleet(t, &fakeHome{err: want}).WaitApplied(ctx, "s2", topology.Mark{})
		g.Expect(err).To(gomega.Equal(want))
	}
	g := gomega.NewWithT(t)
	_, err := fleet(t, &fakeHome{}).Open(ctx, txn.Request{Server: "s3"})
	g.Expect(err).To(gomega.MatchError(gomega.ContainSubstring("has no home VM")))
}
