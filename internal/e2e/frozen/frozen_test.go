// Package frozen_test plays homes that are frozen while their primary is replaced, on real
// processes and a platform that does not stop a replaced primary.
package frozen_test

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"egretroad/internal/standin/platformfleet"
)

const (
	awakeTime         = time.Second // of a home, in which it can reach the replaced primary
	writersEach       = 8
	statementLimit    = 15 * time.Second
	eventuallyTimeout = 60 * time.Second
)

// writer writes through one VM until stop is closed and records the acknowledged writes.
type writer struct {
	vm    *platformfleet.VM
	mu    sync.Mutex // guards acked
	acked []string
}

func (w *writer) run(stop <-chan struct{}) {
	var s *platformfleet.Session
	for n := 0; ; n++ {
		select {
		case <-stop:
			return
		default:
		}
		if s == nil {
			var err error
			if s, err = w.vm.Open("first"); err != nil {
				time.Sleep(10 * time.Millisecond) // the VM accepts no callers at the moment
				continue
			}
		}
		id := fmt.Sprintf("%s.%p.%d", w.vm.Name, w, n)
		code, err := s.Run(id, "WRITE lamp "+id, statementLimit)
		if err != nil {
			s.Close()
			s = nil
		} else if code == "" {
			w.mu.Lock()
			w.acked = append(w.acked, id)
			w.mu.Unlock()
		}
	}
}

func (w *writer) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.acked)
}

// setBlocked sets whether a server ignores all VMs but one.
func setBlocked(fleet *platformfleet.Fleet, server string, except *platformfleet.VM, blocked bool) {
	for _, v := range fleet.VMs {
		if v != except {
			fleet.Group().Server(server).Block(v.IP, blocked)
		}
	}
}

// play is a fleet with writers on all VMs.
type play struct {
	g       *WithT
	fleet   *platformfleet.Fleet
	writers []*writer
	running sync.WaitGroup
	stop    chan struct{}
}

// start starts a play. Fleets of one process share their addresses, so that plays do not run
// in parallel.
func start(t *testing.T) *play {
	p := &play{g: NewWithT(t), stop: make(chan struct{})}
	binary := filepath.Join(t.TempDir(), "egretroad")
	out, err := exec.Command("go", "build", "-o", binary, "egretroad/cmd/egretroad").CombinedOutput()
	p.g.Expect(err).NotTo(HaveOccurred(), string(out))
	p.fleet, err = platformfleet.Start(context.Background(), binary, t.TempDir(), platformfleet.Options{VMsEach: 1, KeepsOldPrimary: true})
	t.Cleanup(p.fleet.Stop)
	p.g.Expect(err).NotTo(HaveOccurred())
	for _, v := range p.fleet.VMs {
		for range writersEach {
			w := &writer{vm: v}
			p.writers = append(p.writers, w)
			p.running.Go(func() { w.run(p.stop) })
		}
	}
	return p
}

// awaitWrites waits until each writer has had further writes acknowledged.
func (p *play) awaitWrites() {
	for _, w := range p.writers {
		before := w.count()
		p.g.Eventually(w.count, eventuallyTimeout, "10ms").Should(BeNumerically(">", before+10), "writes on %s", w.vm.Name)
	}
}

// freezeHome freezes the home of the primary, with statements at work, while the others
// promote another server, and wakes it. Nobody else can make the old primary a replica before.
func (p *play) freezeHome() {
	p.awaitWrites()
	replaced := p.fleet.Group().Primary()
	home := p.fleet.VMs[replaced[len(replaced)-1]-'a'] // in the data centre of the server
	home.Signal(syscall.SIGSTOP)
	setBlocked(p.fleet, replaced, home, true)
	p.fleet.RegisterServer(replaced, "draining")
	p.g.Eventually(p.fleet.Group().Primary, eventuallyTimeout, "10ms").ShouldNot(Equal(replaced))
	home.Signal(syscall.SIGCONT)
	time.Sleep(awakeTime)
	setBlocked(p.fleet, replaced, home, false)
}

// end ends the writers and checks that no write was acknowledged that a replaced primary
// has committed.
func (p *play) end(t *testing.T) {
	close(p.stop)
	p.running.Wait()
	late := map[string]bool{}
	for _, c := range p.fleet.Group().LateCommits() {
		late[c.ID] = true
	}
	acknowledged := 0
	for _, w := range p.writers {
		acknowledged += len(w.acked)
		for _, id := range w.acked {
			p.g.Expect(late[id]).To(BeFalse(), "%s was acknowledged although the primary had been replaced", id)
		}
	}
	t.Logf("%d writes acknowledged, %d committed by a replaced primary", acknowledged, len(late))
}

// When the home wakes, the old primary would still commit what it sends.
func TestHomeFrozenAcrossPromotionAcknowledgesNothingLate(t *testing.T) {
	p := start(t)
	p.freezeHome()
	p.end(t)
}

// A home that wakes knows an earlier designation than the one that counts.
func TestWritesGoOnAfterHomeFrozenAcrossSecondPromotion(t *testing.T) {
	p := start(t)
	p.freezeHome()
	p.freezeHome()
	p.awaitWrites()
	p.end(t)
}
