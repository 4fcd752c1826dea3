//go:build review

package standin

import (
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Sessions and statements that clients prepare on each of two VMs.
const (
	memorySessions  = 40
	memoryPrepared  = 80        // names of a session
	memoryShape     = 128 << 10 // bytes of a shape with the disruption
	ordinaryShape   = 200       // bytes of a shape without it
	endsThatCount   = 3         // ends of its own of a machine in a day
	machinesOfFault = 2         // a tenth of the machines in use, two at least
	memoryInterval  = 20 * time.Millisecond
)

// playMemory opens sessions that prepare statements and keep them, on two VMs, up to three
// times. A process beyond memory-mb is killed and started again, as the platform does.
func playMemory(c *cluster, trouble bool) ([]string, error) {
	size := ordinaryShape
	if trouble {
		size = memoryShape
	}
	ends := map[string]int{}
	for round := range endsThatCount {
		for _, v := range []*vm{c.vms[0], c.vms[3]} {
			ended, err := prepareMany(v, round, size)
			if err != nil {
				return nil, err
			}
			if ended {
				ends[v.name]++
			}
			for deadline := time.Now().Add(10 * time.Second); !v.isReady(); time.Sleep(50 * time.Millisecond) {
				if time.Now().After(deadline) {
					return nil, errors.New(v.name + " is not ready again")
				}
			}
		}
	}
	var often []string
	for name, n := range ends {
		note("%s ended %d times", name, n)
		if n >= endsThatCount {
			often = append(often, name)
		}
	}
	if len(often) < machinesOfFault {
		return nil, nil
	}
	return []string{fmt.Sprintf("the processes of %s ended %d times each because of their memory", strings.Join(often, " and "), endsThatCount)}, nil
}

// prepareMany opens sessions on a VM that prepare statements, and closes them afterwards.
// It reports whether the process exceeded its memory and was killed.
func prepareMany(v *vm, round, size int) (bool, error) {
	v.mu.Lock()
	pid, done := v.cmd.Process.Pid, v.done
	v.mu.Unlock()
	over := make(chan int, 1)
	finished := make(chan struct{})
	go watchMemory(pid, finished, over)
	var sessions []*client
	defer func() {
		close(finished)
		for _, s := range sessions {
			s.close()
		}
	}()
	acknowledged := 0
	for range memorySessions {
		s, err := connect(v.front(), hostBounded)
		if err != nil {
			return false, err
		}
		sessions = append(sessions, s)
	}
	for name := range memoryPrepared {
		for n, s := range sessions {
			shape := strings.Repeat(fmt.Sprintf("%d.%d.%d,", round, n, name), size)[:size]
			a, err := s.do(fmt.Sprintf("p%d-%d-%d", round, n, name), fmt.Sprintf("PARSE s%d READ %s", name, shape), 3*time.Second)
			if err == nil && a.ok() {
				acknowledged++
				continue
			}
			select {
			case <-done:
				note("%s: PARSE %d of session %d: no answer, the process has ended", v.name, name, n)
				return true, nil
			case <-time.After(200 * time.Millisecond):
				note("%s: PARSE %d of session %d: %s, error %v", v.name, name, n, a, err)
				return false, nil
			}
		}
		if name%10 == 0 {
			note("%s: %d statements prepared and acknowledged, %d bytes each, resident %d MB", v.name, acknowledged, size, residentMB(pid))
		}
		select {
		case mb := <-over:
			note("%s: %d MB resident after %d prepared statements, memory-mb is %d: the platform kills it", v.name, mb, acknowledged, memoryMB)
			<-done
			return true, nil
		default:
		}
	}
	note("%s: all %d statements prepared, resident %d MB", v.name, acknowledged, residentMB(pid))
	return false, nil
}

// watchMemory kills a process that exceeds memory-mb.
func watchMemory(pid int, finished <-chan struct{}, over chan<- int) {
	for {
		select {
		case <-finished:
			return
		case <-time.After(memoryInterval):
		}
		if mb := residentMB(pid); mb > memoryMB {
			over <- mb
			_ = syscall.Kill(pid, syscall.SIGKILL)
			return
		}
	}
}

// residentMB returns the resident memory of a process; 0 if it has ended.
func residentMB(pid int) int {
	raw, err := os.ReadFile("/proc/" + strconv.Itoa(pid) + "/statm")
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(raw))
	if len(fields) < 2 {
		return 0
	}
	pages, err := strconv.Atoi(fields[1])
	if err != nil {
		return 0
	}
	return pages * os.Getpagesize() >> 20
}
