package refresh

import "rowanlink/webhook/api"

// Hold is a module that makes no calls until it is opened: what a new process was last told may be old.
// Webhooks are taken on and answered meanwhile.
type Hold struct {
	api.Module
	open bool
}

// Open lets calls go out from the next turn on.
func (h *Hold) Open() { h.open = true }

// TurnOver closes a turn, in which alone a module makes calls.
func (h *Hold) TurnOver() {
	if h.open {
		h.Module.TurnOver()
	}
}

// Unwrap is the module that is held.
func (h *Hold) Unwrap() api.Module { return h.Module }
