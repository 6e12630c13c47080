package cluster

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestResource_OwnedRange(t *testing.T) {
	for resource, want := range map[Resource]struct {
		id    RangeID
		owned bool
	}{
		RangeOwnerResource(7):         {7, true},
		CoordinatorResource:           {0, false},
		SiteSenderResource("depot"):   {0, false},
		DepartureSlotResource(2):      {0, false},
		rangeOwnerPrefix + "no range": {0, false},
	} {
		id, owned := resource.OwnedRange()
		assert.Equal(t, want.owned, owned, resource)
		if owned {
			assert.Equal(t, want.id, id, resource)
		}
	}
}
