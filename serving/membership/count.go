package membership

import (
	"time"

	"rowanlink/serving/state"
)

// CountLive returns how many members of a role are live, in a region or, where it is empty, in all.
func (t *Table) CountLive(role state.Role, region string) (count int) {
	for _, found := range t.members {
		inRegion := region == "" || found.member.Region == region
		if found.live() && found.member.Role == role && inRegion {
			count++
		}
	}
	return count
}

// CountRecentlyLive counts the members of a role that were live at some moment of the window that ends now.
func (t *Table) CountRecentlyLive(now time.Time, role state.Role, window time.Duration) (count int) {
	for _, found := range t.members {
		if found.member.Role == role && (found.live() || now.Sub(found.lastLive) < window) {
			count++
		}
	}
	for _, gone := range t.departed {
		if gone.role == role && now.Sub(gone.lastLive) < window {
			count++
		}
	}
	return count
}
