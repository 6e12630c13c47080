package placement

import "rowanlink/serving/settings"

// SetBounds takes in the operator's bounds, which may change in a process's life.
func (p *Picker) SetBounds(bounds settings.Bounds) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.options.Bounds = bounds
}
