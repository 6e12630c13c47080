package register

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// simulatedDisk is a machine's disk as one run of its process uses it: saves fail once that run has ended. The data is
// in the machine's own simulatedDisk, which belongs to no run.
type simulatedDisk struct {
	machine *machine
	run     *processRun

	mutex      sync.Mutex // this and the fields below are used only in the machine's own disk
	saved      AcceptorState
	found      bool
	failsSaves bool
	isDamaged  bool
	delay      time.Duration
}

var errDiskFailure = errors.New("simulated disk failure")

func (d *simulatedDisk) Load() (AcceptorState, bool, error) {
	own := d.machine.disk
	own.mutex.Lock()
	defer own.mutex.Unlock()
	if own.isDamaged {
		own.isDamaged = false
		return AcceptorState{}, false, ErrStateLost
	}
	return own.saved, own.found, nil
}

func (d *simulatedDisk) Save(next AcceptorState) error {
	own := d.machine.disk
	own.mutex.Lock()
	delay := own.delay
	own.mutex.Unlock()
	time.Sleep(delay + time.Millisecond)
	if err := d.machine.simulation.faults.injectAtSave(beforeSave, d.run); err != nil {
		return err
	}
	if !d.run.isRunning() {
		return errDiskFailure
	}
	own.mutex.Lock()
	if own.failsSaves {
		own.mutex.Unlock()
		return errDiskFailure
	}
	own.saved = next
	own.found = true
	own.mutex.Unlock()
	return d.machine.simulation.faults.injectAtSave(afterSave, d.run)
}
