package refresh

import "rowanlink/webhook/api"

// Hold is a module that makes no calls until it is opened: what a new process was last told may be old.
// Webhooks are taken on and answered meanwhile.
type Hold struct {
	api.Policy
	open bool
}

// Open lets calls go out from the next turn on.
func (h *Hold) Open() { h.open = true }

// EndTurn closes a turn, in which alone a module makes calls.
func (h *Hold) EndTurn() {
	if h.open {
		h.Policy.EndTurn()
	}
}

// Unwrap is the module that is held.
func (h *Hold) Unwrap() api.Policy { return h.Policy }
