package harness

import (
	"cmp"
	"fmt"
	"time"

	"rowanlink/webhook/api"
)

// Options is what a cluster is started with. Zero values stand for the defaults.
type Options struct {
	Binary           string                     // from Build
	Members          int                        // 3 to 12; 0: 3
	RaftNodes        int                        // the first so many members; 0: 3, or 5 from 8 members on
	LeaseTTL         time.Duration              // 0: 3 s
	ClockDrift       float64                    // the bound that the operator file states; 0: 0.05
	ClockRates       map[string]float64         // by member; missing: 1
	Ranges           int                        // 0: 16
	SpareMembers     int                        // the last so many members are in no operator file yet
	MemberSettings   func(member string) string // further lines of a member's block
	ConfigBlocks     string                     // further blocks of the operator file
	Destinations     []api.DestinationID        // nil: 1 to 4, with an endpoint each
	Weight           float64                    // of each endpoint in the list, in calls a second; 0: 200
	SubscriberLists  map[string][]api.DestinationID
	DiskMB           float64    // limits.disk_mb; 0: 64
	Settings         string     // in place of the default settings
	Slack            api.Micros // of the checker; 0: 5 s
	WaitsBindAll     bool       // a Retry-After binds all members, not only the one that received it
	CheckedResources []string   // resources whose holders do operations at the lease checker
	Env              []string
	Standalone       bool // members are bin/rowanlink, and know nothing of each other
	NotStarted       bool // no member is started
}

// defaultSettings are the settings of the platform's page, with an event type for each rule. The verb is the number of
// members.
const defaultSettings = `{"classes":[
 {"name":"status","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"pure"},
 {"name":"paid","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"token",
  "group":"all","window":20000000000},
 {"name":"charge","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"side_effect"},
 {"name":"ride","aim":1000000000,"deadline":20000000000,"worth":1,"lateValue":0.3,"repeat":"pure",
  "oneAtATime":true}],
 "kinds":["bulk"],"zones":["a"],"fleetSize":%d,"period":5000000,
 "familyInfo":{"slots":32,"batchByKind":[1],"kindApart":[false]},"weightSource":"nominal",
 "limits":{"openCap":2000,"maxAttempts":8,"connectTimeout":300000000,"keepalive":5000000000,"cancel":true,
 "retryAfter":true,"maxRetryAfter":3000000000},
 "rules":{"drainGrace":500000000,"startCapacity":0.15,"warmAfter":3000000000,"fallMultiple":2.5,
 "tipAfter":2000000000}}`

func (o Options) withDefaults() Options {
	o.Members = cmp.Or(o.Members, 3)
	if o.RaftNodes == 0 {
		o.RaftNodes = 3
		if o.Members >= 8 {
			o.RaftNodes = 5
		}
	}
	o.LeaseTTL = cmp.Or(o.LeaseTTL, 3*time.Second)
	o.ClockDrift = cmp.Or(o.ClockDrift, 0.05)
	o.Ranges = cmp.Or(o.Ranges, 16)
	o.DiskMB = cmp.Or(o.DiskMB, 64)
	o.Weight = cmp.Or(o.Weight, 200)
	o.Slack = cmp.Or(o.Slack, 5*api.Second)
	if o.Destinations == nil {
		o.Destinations = []api.DestinationID{1, 2, 3, 4}
	}
	if o.Settings == "" {
		o.Settings = fmt.Sprintf(defaultSettings, o.Members)
	}
	return o
}
