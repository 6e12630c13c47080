package harness

import (
	"regexp"
	"strconv"
	"time"

	"rowanlink/cluster"
	"rowanlink/cluster/transport"
	"rowanlink/test/checker/leasecheck"
	"rowanlink/test/integration/subprocess"
	"rowanlink/webhook/api"
)

// DebugLog has members log with microseconds, which the history of ownership needs.
const DebugLog = "ROWANLINK_LOG=debug"

const logTimeLayout = "2006/01/02 15:04:05.000000"

// The lines that members log about leases and ownership.
var (
	ownershipLine = regexp.MustCompile(`^(\d{4}/\d\d/\d\d \d\d:\d\d:\d\d\.\d{6}) INFO ` +
		`(lease acquired|lease no longer held|range ownership confirmed|range ownership switched) `)
	unconfirmedLine = regexp.MustCompile(` WARN proposal failed: range ownership (confirmed|switched) range=(\d+) .*` +
		regexp.QuoteMeta(transport.ErrOutcomeUnknown.Error()))
	resourceField = regexp.MustCompile(` resource=(\S+)`)
	rangeField    = regexp.MustCompile(` range=(\d+)`)
	epochField    = regexp.MustCompile(` epoch=(\d+)`)
)

// logLease is a lease by a member's log.
type logLease struct {
	epoch     uint64
	grantedAt api.Micros
	hasEnded  bool
}

// logReader derives events from one member's log. A grant was made before its line, and after the grant before it; a
// lease ended between the lines of its grant and its end, or before the process ended; an owner was published after the
// line of the grant and before its own.
type logReader struct {
	member    string
	events    map[cluster.Resource][]leasecheck.OwnershipEvent
	leases    map[cluster.Resource]*logLease
	lastGrant map[cluster.Resource]api.Micros // of the last lease that ended
	processes int                             // that run, by the harness's own lines
}

// addLogEvents adds the events in one member's log.
func addLogEvents(member string, lines []subprocess.Line, events map[cluster.Resource][]leasecheck.OwnershipEvent) {
	r := &logReader{
		member:    member,
		events:    events,
		leases:    map[cluster.Resource]*logLease{},
		lastGrant: map[cluster.Resource]api.Micros{},
	}
	for _, line := range lines {
		r.readProcessLine(line)
		r.readUnconfirmedLine(line)
		r.readOwnershipLine(line)
	}
	r.endAll(api.Never)
}

func (r *logReader) add(resource cluster.Resource, kind leasecheck.OwnershipEventKind, epoch uint64,
	from, until api.Micros) {
	r.events[resource] = append(r.events[resource], leasecheck.OwnershipEvent{
		Kind:   kind,
		Member: r.member,
		Epoch:  epoch,
		From:   from,
		Until:  until,
	})
}

func (r *logReader) endLease(resource cluster.Resource, until api.Micros) {
	lease := r.leases[resource]
	if lease == nil || lease.hasEnded {
		return
	}
	lease.hasEnded = true
	r.lastGrant[resource] = lease.grantedAt
	r.add(resource, leasecheck.Ended, lease.epoch, lease.grantedAt, until)
}

func (r *logReader) endAll(until api.Micros) {
	for resource := range r.leases {
		r.endLease(resource, until)
	}
}

// readProcessLine reads the harness's own lines about the start and the end of a process.
func (r *logReader) readProcessLine(line subprocess.Line) {
	at := api.Micros(line.At.UnixMicro())
	switch {
	case line.ContainsAll("# start " + r.member):
		r.endAll(at)
		r.processes++
	case line.ContainsAll("# " + r.member + " has ended"):
		r.processes--
		if r.processes == 0 { // else the next process has started already
			r.endAll(at)
		}
	}
}

// readUnconfirmedLine reads that an owner may have been published, with the response lost.
func (r *logReader) readUnconfirmedLine(line subprocess.Line) {
	match := unconfirmedLine.FindStringSubmatch(line.Text)
	if match == nil {
		return
	}
	resource := ownerResource(match[2])
	if lease := r.leases[resource]; lease != nil {
		r.add(resource, leasecheck.Published, lease.epoch, lease.grantedAt, api.Never)
	}
}

func (r *logReader) readOwnershipLine(line subprocess.Line) {
	match := ownershipLine.FindStringSubmatch(line.Text)
	if match == nil {
		return
	}
	loggedAt, err := time.ParseInLocation(logTimeLayout, match[1], time.Local)
	if err != nil {
		return
	}
	at := api.Micros(loggedAt.UnixMicro())
	switch match[2] {
	case "lease acquired":
		resource := cluster.Resource(resourceField.FindStringSubmatch(line.Text)[1])
		epoch, _ := strconv.ParseUint(epochField.FindStringSubmatch(line.Text)[1], 10, 64) // digits by the pattern
		r.endLease(resource, at)
		r.leases[resource] = &logLease{epoch: epoch, grantedAt: at}
		r.add(resource, leasecheck.Granted, epoch, r.lastGrant[resource], at)
	case "lease no longer held":
		r.endLease(cluster.Resource(resourceField.FindStringSubmatch(line.Text)[1]), at)
	default:
		resource := ownerResource(rangeField.FindStringSubmatch(line.Text)[1])
		if lease := r.leases[resource]; lease != nil {
			r.add(resource, leasecheck.Published, lease.epoch, lease.grantedAt, at)
		}
	}
}

// ownerResource returns the resource of the ownership of a range, by the digits of its ID.
func ownerResource(digits string) cluster.Resource {
	id, _ := strconv.ParseUint(digits, 10, 32) // digits by the pattern
	return cluster.RangeOwnerResource(cluster.RangeID(id))
}
