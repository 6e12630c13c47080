package refresh

import "rowanlink/webhook/api"

// StartupGate is a Policy that starts no calls until it is opened: the stored endpoint list that a new process reads
// may be out of date. Webhooks are accepted and answered meanwhile.
type StartupGate struct {
	api.Policy
	open bool
}

// Open lets calls start from the next turn on.
func (g *StartupGate) Open() { g.open = true }

// EndTurn ends a turn if the gate is open. A Policy starts calls only here.
func (g *StartupGate) EndTurn() {
	if g.open {
		g.Policy.EndTurn()
	}
}

// Unwrap returns the Policy behind the gate.
func (g *StartupGate) Unwrap() api.Policy { return g.Policy }
