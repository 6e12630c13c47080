package register

import "time"

// mishap draws what the network does to a message.
func (s *simulation) mishap() effect {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if !s.lossy || s.random.IntN(10) > 0 {
		return none
	}
	return []effect{lost, late, twice}[s.random.IntN(3)]
}

// heal ends all troubles but those of processes that don't run.
func (s *simulation) heal() {
	s.mutex.Lock()
	s.cut, s.mistaken, s.lossy = map[[2]string]bool{}, map[string]bool{}, false
	s.mutex.Unlock()
	for _, m := range s.all() {
		m.trouble(false, 0)
	}
}

// trouble sets whether the machine's disk refuses, and how slow it is.
func (m *machine) trouble(refuses bool, delay time.Duration) {
	m.disk.mutex.Lock()
	defer m.disk.mutex.Unlock()
	m.disk.refuses, m.disk.delay = refuses, delay
}
