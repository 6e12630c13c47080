package endpoints

import (
	"fmt"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/stretchr/testify/require"

	"rowanlink/serving/state"
)

// epoch is the initial time of the tests' clock.
var epoch = time.Unix(1000, 0)

const testInterval = 1200 * time.Millisecond

// script runs the commands of testdata/scenarios on a table with a simulated clock.
type script struct {
	now         time.Time
	table       *Table
	responsible map[string]bool // by receiver
	since       uint64          // position of the last command "changes"
}

func newScript() *script {
	s := &script{now: epoch, responsible: map[string]bool{"self": true}}
	s.table = NewTable(Options{Self: "self", HeartbeatInterval: testInterval,
		IsResponsibleFor: func(receiver string) bool { return s.responsible[receiver] }})
	return s
}

// TestTable runs the scenarios of testdata/scenarios. Each file is one table; "at" is the time in milliseconds.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		s := newScript()
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.HasArg("at") {
				var at int
				d.ScanArgs(t, "at", &at)
				s.now = epoch.Add(time.Duration(at) * time.Millisecond)
			}
			return s.run(t, d)
		})
	})
}

func (s *script) run(t *testing.T, d *datadriven.TestData) string {
	switch d.Cmd {
	case "heartbeat":
		endpoint, change := s.table.ReceiveHeartbeat(s.now, requiredText(t, d, "id"), heartbeatOf(t, d))
		return format(endpoint) + fmt.Sprintf("%+v\n", change)
	case "deregister":
		endpoint, change := s.table.Deregister(s.now, requiredText(t, d, "id"))
		return format(endpoint) + fmt.Sprintf("%+v\n", change)
	case "resolve":
		warmupLeft := time.Duration(number(t, d, "warmup")) * time.Millisecond
		endpoint, registered := s.table.ResolveSuccessor(s.now, requiredText(t, d, "id"), d.HasArg("confirmed"), warmupLeft)
		if !registered {
			return "not registered\n"
		}
		return format(endpoint)
	case "mark-replicated":
		stored, _ := s.table.Get(s.now, requiredText(t, d, "id"))
		s.table.MarkReplicated(stored)
		return ""
	case "merge":
		return fmt.Sprintf("%v\n", s.table.Merge(s.now, endpointOf(t, d)))
	case "sweep":
		return formatAll(s.table.Sweep(s.now))
	case "be-responsible":
		s.responsible[requiredText(t, d, "receiver")] = true
		return ""
	case "live":
		return formatAll(s.table.Live(s.now))
	case "changes":
		return s.changes()
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (s *script) changes() string {
	delta := s.table.ChangesSince(s.now, s.since)
	s.since = delta.Position
	return formatAll(delta.Changed) +
		fmt.Sprintf("removed %v position %d complete %v\n", delta.Removed, delta.Position, delta.Complete)
}

func heartbeatOf(t *testing.T, d *datadriven.TestData) Heartbeat {
	return Heartbeat{Service: "s", Address: text(t, d, "address", "10.0.0.1:80"), Zone: "z", Slots: 6,
		Draining: d.HasArg("draining"), Sequence: number(t, d, "seq"),
		WarmupLeft: time.Duration(number(t, d, "warmup")) * time.Millisecond,
		RemovalIn:  time.Duration(number(t, d, "removal")) * time.Millisecond}
}

func endpointOf(t *testing.T, d *datadriven.TestData) state.Endpoint {
	e := state.Endpoint{ID: requiredText(t, d, "id"), Service: "s", Address: text(t, d, "address", "10.0.0.1:80"), Zone: "z",
		Slots: 6, Sequence: number(t, d, "seq"), Unresponsive: d.HasArg("unresponsive"), Receiver: text(t, d, "receiver", "other"),
		WarmupLeftMillis: int64(number(t, d, "warmup")), RemovalInMillis: int64(number(t, d, "removal"))}
	if d.HasArg("draining") {
		e.State = state.EndpointDraining
	}
	if d.HasArg("departed") {
		e.State = state.EndpointDeparted
	}
	if d.HasArg("unknown-service") {
		e = state.Endpoint{ID: e.ID, Sequence: e.Sequence, State: e.State}
	}
	return e
}

func requiredText(t *testing.T, d *datadriven.TestData, key string) string {
	value := text(t, d, key, "")
	require.NotEmpty(t, value, "%s wants %s", d.Pos, key)
	return value
}

func text(t *testing.T, d *datadriven.TestData, key, fallback string) string {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &fallback)
	}
	return fallback
}

func number(t *testing.T, d *datadriven.TestData, key string) uint64 {
	value := text(t, d, key, "0")
	if value == "max" {
		return deregisteredSequence
	}
	parsed, err := strconv.ParseUint(value, 10, 64)
	require.NoError(t, err)
	return parsed
}

func formatAll(list []state.Endpoint) string {
	var lines strings.Builder
	for _, e := range list {
		lines.WriteString(format(e))
	}
	if len(list) == 0 {
		return "none\n"
	}
	return lines.String()
}

func format(e state.Endpoint) string {
	line := fmt.Sprintf("%s %s", e.ID, [...]string{"accepting", "draining", "departed"}[e.State])
	if e.Unresponsive {
		line += " unresponsive"
	}
	sequence := strconv.FormatUint(e.Sequence, 10)
	if e.Sequence == deregisteredSequence {
		sequence = "max"
	}
	line += fmt.Sprintf(" %s@%s seq=%s receiver=%s", e.Service, e.Address, sequence, e.Receiver)
	if e.WarmupLeftMillis != 0 {
		line += fmt.Sprintf(" warmup=%d", e.WarmupLeftMillis)
	}
	if e.RemovalInMillis != 0 {
		line += fmt.Sprintf(" removal=%d", e.RemovalInMillis)
	}
	return line + "\n"
}
