package membership

import (
	"time"

	"rowanlink/serving/state"
)

// CountLive returns the number of live members with a role, in a region or, where region is empty, in all regions.
func (t *Table) CountLive(role state.Role, region string) (count int) {
	for _, tracked := range t.members {
		inRegion := region == "" || tracked.member.Region == region
		if tracked.isLive() && tracked.member.Role == role && inRegion {
			count++
		}
	}
	return count
}

// CountRecentlyLive returns the number of members with a role that were live at some moment of the window that ends
// now. It retains members for at least twice RetentionPeriod after they were live.
func (t *Table) CountRecentlyLive(now time.Time, role state.Role, window time.Duration) (count int) {
	for _, tracked := range t.members {
		wasLive := tracked.isLive() || now.Sub(tracked.lastLiveAt) < window
		if tracked.member.Role == role && wasLive {
			count++
		}
	}
	for _, member := range t.forgotten {
		if member.role == role && now.Sub(member.lastLiveAt) < window {
			count++
		}
	}
	return count
}
