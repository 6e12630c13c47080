package serving

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// fault is a time during which a process is away: killed, suspended, shut down, or starting.
type fault struct{ begin, end time.Time }

// touchRecord decides which machines are in touch, by the rules' own definition: throughout contactTime before a moment
// nothing has happened to the machine's processes nor to any core machine.
type touchRecord struct {
	cores  []fault
	fronts map[int][]fault // by the index of the machine
}

func newTouchRecord() *touchRecord { return &touchRecord{fronts: map[int][]fault{}} }

// addCore records the fault of a core machine.
func (r *touchRecord) addCore(begin, end time.Time) { r.cores = append(r.cores, fault{begin, end}) }

// addFront records the fault of an agent or a proxy.
func (r *touchRecord) addFront(number int, begin, end time.Time) {
	r.fronts[number] = append(r.fronts[number], fault{begin, end})
}

// isInTouch reports whether the machine with the agent and proxy of an index was in touch.
func (r *touchRecord) isInTouch(front int, moment time.Time) bool {
	return !isDisturbed(r.cores, moment) && !isDisturbed(r.fronts[front], moment)
}

// calmFrom returns when all machines are in touch after the faults so far.
func (r *touchRecord) calmFrom() (calm time.Time) {
	all := slices.Clone(r.cores)
	for _, faults := range r.fronts {
		all = append(all, faults...)
	}
	for _, f := range all {
		if from := f.end.Add(contactTime); from.After(calm) {
			calm = from
		}
	}
	return calm
}

// isDisturbed reports whether a fault lasted at some time within contactTime before a moment.
func isDisturbed(faults []fault, moment time.Time) bool {
	for _, f := range faults {
		if moment.After(f.begin) && moment.Before(f.end.Add(contactTime)) {
			return true
		}
	}
	return false
}

// TestTouchRecord: the moments at which a machine just is and just isn't in touch.
func TestTouchRecord(t *testing.T) {
	start := time.Now()
	at := func(after time.Duration) time.Time { return start.Add(after) }
	r := newTouchRecord()
	r.addFront(1, at(time.Second), at(2*time.Second))
	r.addCore(at(20*time.Second), at(21*time.Second))
	for _, test := range []struct {
		front   int
		after   time.Duration
		inTouch bool
	}{
		{1, time.Second, true},
		{1, time.Second + 1, false},
		{1, 2*time.Second + contactTime - 1, false},
		{1, 2*time.Second + contactTime, true},
		{0, 1500 * time.Millisecond, true},
		{0, 20*time.Second + 1, false},
		{0, 21*time.Second + contactTime - 1, false},
		{1, 21*time.Second + contactTime, true},
	} {
		assert.Equal(t, test.inTouch, r.isInTouch(test.front, at(test.after)), "front %d after %v", test.front, test.after)
	}
	assert.Equal(t, at(21*time.Second+contactTime), r.calmFrom())
}
