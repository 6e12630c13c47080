package membership

import (
	"time"

	"rowanlink/serving/state"
)

// CountLive returns the number of live members with a role in a region, or in all regions if region is empty.
func (t *Table) CountLive(role state.Role, region string) (count int) {
	for _, tracked := range t.members {
		inRegion := region == "" || tracked.member.Region == region
		if tracked.isLive() && tracked.member.Role == role && inRegion {
			count++
		}
	}
	return count
}

// CountRecentlyLive returns the number of members with a role that were live at any time within the window that ends
// now. The table keeps the necessary data for twice RetentionPeriod after a member was live, which bounds the window.
func (t *Table) CountRecentlyLive(now time.Time, role state.Role, window time.Duration) (count int) {
	for _, tracked := range t.members {
		wasLive := tracked.isLive() || now.Sub(tracked.lastLiveAt) < window
		if tracked.member.Role == role && wasLive {
			count++
		}
	}
	for _, member := range t.removedMembers {
		if member.role == role && now.Sub(member.lastLiveAt) < window {
			count++
		}
	}
	return count
}
