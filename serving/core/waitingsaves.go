package core

import (
	"sync"

	"rowanlink/serving/state"
)

// maxWaitingSaves bounds the calls that wait for a disk that doesn't respond.
const maxWaitingSaves = 8192

// waitingSaves are the endpoints to be saved by the next transaction. It is safe for concurrent use.
type waitingSaves struct {
	mutex   sync.Mutex
	list    []state.Endpoint
	results []chan<- error // of the calls that wait for them
}

// add adds endpoints; false where too many calls wait already.
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

// take removes and returns all.
func (w *waitingSaves) take() (list []state.Endpoint, results []chan<- error) {
	w.mutex.Lock()
	defer w.mutex.Unlock()
	list, results = w.list, w.results
	w.list, w.results = nil, nil
	return list, results
}
