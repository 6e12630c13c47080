package member

import (
	"time"

	"rowanlink/serving/state"
)

// SetClientAddress changes where the own member's proxy takes clients' requests, host:port.
func (m *Service) SetClientAddress(front string) {
	m.run(func(now time.Time, n *node) {
		if n.members.Self().ProxyAddress != front {
			n.updateSelf(now, func(member *state.Member) { member.ProxyAddress = front })
		}
	})
}
