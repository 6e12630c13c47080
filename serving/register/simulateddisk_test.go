package register

import (
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// disk is a machine's disk as one life of its process sees it; saves fail once that life has ended.
type disk struct {
	machine *machine
	life    *process

	mutex   sync.Mutex // of the machine's own disk, the one without a life
	saved   AcceptorState
	found   bool
	refuses bool
	damaged bool
	delay   time.Duration
}

var errDisk = errors.New("simulated disk refuses")

func (d *disk) Load() (AcceptorState, bool, error) {
	own := d.machine.disk
	own.mutex.Lock()
	defer own.mutex.Unlock()
	if own.damaged {
		own.damaged = false
		return AcceptorState{}, false, ErrStateLost
	}
	return own.saved, own.found, nil
}

func (d *disk) Save(next AcceptorState) error {
	own := d.machine.disk
	own.mutex.Lock()
	delay := own.delay
	own.mutex.Unlock()
	time.Sleep(delay + time.Millisecond)
	if err := d.machine.simulation.faults.pass(beforeSave, d.life); err != nil {
		return err
	}
	if !d.life.runs() {
		return errDisk
	}
	own.mutex.Lock()
	if own.refuses {
		own.mutex.Unlock()
		return errDisk
	}
	own.saved, own.found = next, true
	own.mutex.Unlock()
	if err := d.machine.simulation.faults.pass(afterSave, d.life); err != nil {
		return err
	}
	return nil
}
