//go:build review

package standin

import (
	"syscall"
	"time"
)

// Times of the partition, from its begin.
const (
	partitionTime   = 5500 * time.Millisecond // as long as the site's longest cut of machines from the store
	newVMAfter      = 300 * time.Millisecond  // start of the new VM
	oldVMEndsAfter  = time.Second             // SIGTERM of the VM that it replaces
	registrationEnd = 3600 * time.Millisecond // three heartbeat intervals
)

// playSplit separates the half of the VMs that is with the primary from the other half, the
// replicas and the store. Meanwhile a new VM replaces one on the far side, as planned.
func playSplit(c *cluster, trouble bool) ([]string, error) {
	if err := c.restartInTurn(); err != nil {
		return nil, err
	}
	w := startWriters(c, 2, 20*time.Millisecond)
	time.Sleep(3 * time.Second)
	primary := c.group.leader
	if trouble {
		ips := map[string]bool{}
		for _, v := range c.vms {
			ips[v.ip] = v.side == sideNear
		}
		if err := c.network.cuts.Cut(sideNear); err != nil {
			return nil, err
		}
		c.group.partition(map[string]bool{primary.id: true}, ips)
		note("%s, %s and %s, with %s, are separated from the other VMs, the other servers and the store", c.vms[0].name, c.vms[1].name, c.vms[3].name, primary.id)
		time.AfterFunc(registrationEnd, func() {
			c.store.Delete("servers", primary.id)
			note("the entry of %s has expired", primary.id)
		})
	}
	began := time.Now()
	time.Sleep(newVMAfter)
	added, err := c.addVM("torino-nord", sideFar)
	if err != nil {
		return nil, err
	}
	if err := added.start(); err != nil {
		return nil, err
	}
	note("%s is added", added.name)
	time.Sleep(time.Until(began.Add(oldVMEndsAfter)))
	c.vms[4].remove()
	time.Sleep(time.Until(began.Add(partitionTime)))
	if trouble {
		c.network.cuts.Heal()
		c.group.partition(nil, nil)
		c.report(primary)
		note("the partition has ended")
		time.AfterFunc(oldPrimaryLimit, func() { c.group.endOldPrimary(primary) })
	}
	time.Sleep(6 * time.Second)
	writes := w.finish()
	time.Sleep(500 * time.Millisecond)
	return c.checkOnePrimary(writes), nil
}

// listInterval is the time after which each VM has read the list of VMs again.
const listInterval = 6 * time.Second

// restartInTurn restarts all VMs one after the other, before the case begins. VMs that start
// together learn of each other from announcements first, with addresses that lead past the
// relays; a VM that starts later reads the complete list.
func (c *cluster) restartInTurn() error {
	time.Sleep(listInterval)
	for _, v := range c.vms {
		v.signal(syscall.SIGKILL)
		time.Sleep(time.Second)
		if err := c.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(listInterval)
	return nil
}

// remove stops a VM for good.
func (v *vm) remove() {
	v.mu.Lock()
	v.stopping = true
	v.mu.Unlock()
	v.signal(syscall.SIGTERM)
	note("%s is removed", v.name)
}
