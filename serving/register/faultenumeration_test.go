package register

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// runFaultWorkload makes the changes during which faults are injected: configurations and evacuations through all
// machines one after the other, then two concurrent configurations based on the same version.
func (s *simulation) runFaultWorkload() {
	version := uint64(0)
	for number, m := range s.machines {
		if s.replace(m, number, version, version+2) == nil {
			version += 2
		}
		_ = s.evacuate(m, "z", number%2 == 0)
		if record, err := s.read(m, number); err == nil {
			version = record.Configuration.Version
		}
	}
	done := make(chan struct{})
	for number, m := range s.machines[:2] {
		go func() {
			_ = s.replace(m, number, version, version+uint64(1+number))
			done <- struct{}{}
		}()
	}
	<-done
	<-done
}

// runWithFault runs the workload and injects one fault at the event of a point with the given number. It reports
// whether there was such an event.
func runWithFault(t *testing.T, machines int, point faultPoint, number int, fault faultEffect) (injected bool) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, uint64(number))
		defer s.stopAll()
		s.startAll()
		s.awaitStable(3 * time.Second)
		s.faults.arm(point, number, fault)
		s.runFaultWorkload()
		injected = s.faults.hasInjected()
		time.Sleep(2*hangDuration + longDelay)
		s.awaitStable(3 * time.Second)
		s.checkHistory(t)
		time.Sleep(longDelay)
	})
	return injected
}

// TestEnumeratedFaults injects each possible fault at each event of the workload, one fault per run.
func TestEnumeratedFaults(t *testing.T) {
	for point := range faultsAtPoint {
		for _, fault := range faultsAtPoint[point] {
			t.Run(fmt.Sprintf("point%d/effect%d", point, fault), func(t *testing.T) {
				number := 1
				for ; runWithFault(t, 3, point, number, fault) && !t.Failed(); number++ {
				}
				t.Logf("%d runs", number)
				assert.Greater(t, number, 10, "the workload has too few events of this point")
			})
		}
	}
}
