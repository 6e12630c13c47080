package register

import (
	"sync"
	"time"
)

// faultPoint is a kind of event at which a fault can be injected.
type faultPoint uint8

const (
	beforeRequest  faultPoint = iota // a request is sent
	beforeResponse                   // an answer is sent
	beforeSave                       // a replica is about to save
	afterSave                        // a replica has saved and not yet answered
)

// faultEffect is the effect of a fault.
type faultEffect uint8

const (
	noFault                faultEffect = iota
	messageLost                        // the message is dropped
	messageDelayed                     // it arrives long after the call has timed out
	messageDuplicated                  // it arrives twice
	processCrash                       // the process crashes and restarts
	powerFailure                       // all processes crash and restart
	diskLoss                           // the process crashes, loses its disk and restarts
	diskLossInPowerFailure             // one process loses its disk while all others crash and restart
	saveFails                          // this save fails
	saveHangs                          // the save takes hangDuration
)

// faultsAtPoint lists the effects that are possible at each point.
var faultsAtPoint = map[faultPoint][]faultEffect{
	beforeRequest:  {messageLost, messageDelayed, messageDuplicated},
	beforeResponse: {messageLost},
	beforeSave:     {processCrash, powerFailure, diskLoss, diskLossInPowerFailure, saveFails, saveHangs},
	afterSave:      {processCrash, powerFailure, diskLoss, diskLossInPowerFailure, saveFails, saveHangs},
}

// faultInjector counts the events of each point, and injects one fault at one of them.
type faultInjector struct {
	mutex  sync.Mutex
	counts [4]int

	armed       bool
	target      faultPoint
	targetCount int // counted from 1 when armed
	fault       faultEffect
	injected    bool
}

// arm chooses the fault and the event, counted from 1, and begins to count.
func (f *faultInjector) arm(point faultPoint, count int, fault faultEffect) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.counts = [4]int{}
	f.armed = true
	f.target = point
	f.targetCount = count
	f.fault = fault
}

func (f *faultInjector) hasInjected() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.injected
}

// next counts an event and returns the fault to inject at it.
func (f *faultInjector) next(at faultPoint) faultEffect {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if !f.armed {
		return noFault
	}
	f.counts[at]++
	if f.injected || f.target != at || f.counts[at] != f.targetCount {
		return noFault
	}
	f.injected = true
	return f.fault
}

const (
	restartDelay = 300 * time.Millisecond
	hangDuration = 5 * time.Second
)

// injectAtSave counts a save, applies the fault to its machine, and returns the error that the save fails with.
func (f *faultInjector) injectAtSave(at faultPoint, run *processRun) error {
	m := run.machine
	switch f.next(at) {
	case processCrash:
		m.crashAndRestart(restartDelay)
	case powerFailure:
		m.simulation.powerCycle(nil)
	case diskLoss:
		m.crash()
		m.wipe()
		time.AfterFunc(restartDelay, m.start)
	case diskLossInPowerFailure:
		m.simulation.powerCycle(m)
	case saveFails:
	case saveHangs:
		time.Sleep(hangDuration)
		return nil
	default:
		return nil
	}
	return errDiskFailure
}

// powerCycle crashes all processes at once and restarts them. The machine wiped, if not nil, loses its disk.
func (s *simulation) powerCycle(wiped *machine) {
	for _, m := range s.all() {
		m.crash()
	}
	if wiped != nil {
		wiped.wipe()
	}
	for _, m := range s.all() {
		time.AfterFunc(s.randomDuration(restartDelay, 2*restartDelay), m.start)
	}
}
