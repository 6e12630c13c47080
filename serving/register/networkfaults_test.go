package register

import "time"

// randomNetworkFault returns a random fault for a message while the network is lossy.
func (s *simulation) randomNetworkFault() faultEffect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.lossy || s.random.IntN(10) > 0 {
		return noFault
	}
	return []faultEffect{messageLost, messageDelayed, messageDuplicated}[s.random.IntN(3)]
}

// clearFaults ends all faults of networks and disks. It starts no process.
func (s *simulation) clearFaults() {
	s.mutex.Lock()
	s.partitioned = map[[2]string]bool{}
	s.falselyDown = map[string]bool{}
	s.lossy = false
	s.mutex.Unlock()
	for _, m := range s.all() {
		m.setDiskFaults(false, 0)
	}
}

// setDiskFaults sets whether saves to the machine's disk fail, and how long they take.
func (m *machine) setDiskFaults(failsSaves bool, delay time.Duration) {
	m.disk.mutex.Lock()
	defer m.disk.mutex.Unlock()
	m.disk.failsSaves = failsSaves
	m.disk.delay = delay
}
