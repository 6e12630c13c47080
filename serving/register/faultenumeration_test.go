package register

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// story is the run in which each fault strikes at each numbered point in turn: configurations and evacuations through
// all machines one after the other, and two configurations at once on the same version.
func (s *simulation) story() {
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

func runStory(t *testing.T, machines int, at point, number int, what effect) (struck bool) {
	synctest.Test(t, func(t *testing.T) {
		s := newSimulation(t, machines, uint64(number))
		defer s.stopAll()
		s.startAll()
		s.awaitSettled(3 * time.Second)
		s.faults.arm(at, number, what)
		s.story()
		struck = s.faults.hasStruck()
		time.Sleep(2*stallTime + lateDelay)
		s.awaitSettled(3 * time.Second)
		s.judge(t)
		time.Sleep(lateDelay)
	})
	return struck
}

// Every fault strikes at every point of the story that it can strike at, one in each run.
func TestEachFaultAtEachPointInTurn(t *testing.T) {
	for at := range faultKinds {
		for _, what := range faultKinds[at] {
			t.Run(fmt.Sprintf("point%d/effect%d", at, what), func(t *testing.T) {
				number := 1
				for ; runStory(t, 3, at, number, what) && !t.Failed(); number++ {
				}
				t.Logf("%d runs", number)
				assert.Greater(t, number, 10, "the story passes the point often")
			})
		}
	}
}
