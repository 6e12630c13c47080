package core

import (
	"sync"

	"rowanlink/serving/state"
)

// maxWaitingSaves bounds the number of waiting calls, in case the disk doesn't respond.
const maxWaitingSaves = 8192

// waitingSaves collects the endpoints for the next transaction from the calls that wait for it. It is safe for
// concurrent use.
type waitingSaves struct {
	mutex   sync.Mutex
	list    []state.Endpoint
	results []chan<- error // one for each waiting call
}

// add adds the endpoints of one call, which waits for the result. It returns false if maxWaitingSaves calls wait
// already.
func (w *waitingSaves) add(list []state.Endpoint, result chan<- error) bool {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	if len(w.results) == maxWaitingSaves {
		return false
	}
	w.list = append(w.list, list...)
	w.results = append(w.results, result)
	return true
}

// take removes and returns the endpoints and the result channels of all waiting calls.
func (w *waitingSaves) take() (list []state.Endpoint, results []chan<- error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list, results = w.list, w.results
	w.list, w.results = nil, nil
	return list, results
}
