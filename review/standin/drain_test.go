//go:build review

package standin

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

// Times of the clients' statements in a transaction, relative to SIGTERM. A series of
// statements without a pause is at work when half of the grace period ends, another one
// when the process ends.
const (
	firstSeries  = 2800 * time.Millisecond
	secondSeries = 5450 * time.Millisecond
	seriesLength = 3
)

// drainSessions is the number of sessions with an open transaction on the VM that stops.
const drainSessions = 40

// sent is one statement of a client and what became of it.
type sent struct {
	id       string
	at       time.Duration // since SIGTERM
	ended    time.Duration // the answer or the end of the connection, since SIGTERM
	answer   string
	answered bool
}

// playDrain stops the VMs in turn, as planned, while clients have transactions open on the
// one that stops.
func playDrain(c *cluster, trouble bool) ([]string, error) {
	c.group.workTime = 80 * time.Millisecond
	var violations []string
	for round, v := range c.vms {
		all, err := playStop(v, round, trouble)
		if err != nil {
			return nil, err
		}
		violations = append(violations, c.checkLost(all)...)
		if err := c.awaitReady(); err != nil {
			return nil, err
		}
	}
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	for _, r := range c.group.runs {
		note("server %s ran %s %q", r.server, r.id, r.text)
	}
	return violations, nil
}

// playStop stops one VM while clients have transactions open on it.
func playStop(v *vm, round int, trouble bool) ([]sent, error) {
	var mu sync.Mutex
	var all []sent
	var wg sync.WaitGroup
	start := time.Now().Add(time.Second) // of the stop
	for n := range drainSessions {
		session, err := connect(v.front(), hostBounded)
		if err != nil {
			return nil, err
		}
		wg.Go(func() {
			defer session.close()
			for _, s := range playTransaction(session, fmt.Sprintf("t%d-%d", round, n), start) {
				mu.Lock()
				all = append(all, s)
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(start))
	if trouble {
		v.signal(syscall.SIGTERM)
	}
	wg.Wait()
	time.Sleep(time.Second) // for what the servers still run, and for the restart
	return all, nil
}

// playTransaction runs one read-only transaction of 10 statements with pauses.
func playTransaction(session *client, name string, start time.Time) []sent {
	var all []sent
	do := func(text string) bool {
		s := sent{id: fmt.Sprintf("%s-%02d", name, len(all)), at: time.Since(start)}
		a, err := session.do(s.id, text, 3*time.Second)
		s.ended = time.Since(start)
		s.answered, s.answer = err == nil, a.String()
		if err != nil {
			s.answer = "no answer: " + err.Error()
		}
		note("client: %s %q sent %.3f s after the stop began, ended after %.3f s: %s", s.id, text, s.at.Seconds(), (s.ended - s.at).Seconds(), s.answer)
		all = append(all, s)
		return err == nil && a.ok()
	}
	until := func(at time.Duration) { time.Sleep(time.Until(start.Add(at))) }
	until(-300 * time.Millisecond)
	if !do("BEGIN READ") || !do("READ item-1") {
		return all
	}
	until(1200 * time.Millisecond)
	if !do("READ item-2") {
		return all
	}
	for _, series := range []time.Duration{firstSeries, secondSeries} {
		until(series)
		for range seriesLength {
			if !do("READ item-3") {
				return all
			}
		}
	}
	do("COMMIT")
	return all
}

// routeTimeout is timeout-ms of the clients' route. lossEnds is when the planned work ends,
// 1 s after grace-s.
const (
	routeTimeout = 1200 * time.Millisecond
	lossEnds     = (graceSeconds + 1) * time.Second
)

// checkLost returns the statements that had been passed on to a server and whose connection
// ended without an answer, before the route's time-out. Statements that were sent up to half
// of the grace period after SIGTERM don't count.
func (c *cluster) checkLost(all []sent) []string {
	c.group.mu.Lock()
	defer c.group.mu.Unlock()
	var violations []string
	for _, s := range all {
		server := c.group.arrived[s.id]
		if s.answered || server == "" || s.at <= graceSeconds*time.Second/2 || s.ended > lossEnds || s.ended-s.at >= routeTimeout {
			continue
		}
		violations = append(violations, fmt.Sprintf("%s was sent %.3f s after SIGTERM, reached server %q, and its connection ended without an answer %.3f s after SIGTERM", s.id, s.at.Seconds(), server, s.ended.Seconds()))
	}
	return violations
}
