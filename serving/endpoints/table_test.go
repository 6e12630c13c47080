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

// epoch is when the tests' steady clock begins.
var epoch = time.Unix(1000, 0)

const testInterval = 1200 * time.Millisecond

// script is a table with a clock, driven by the commands of testdata/histories.
type script struct {
	now    time.Time
	table  *Table
	judged map[string]bool
	since  uint64
}

func newScript() *script {
	s := &script{now: epoch, judged: map[string]bool{"self": true}}
	s.table = NewTable(Options{Self: "self", HeartbeatInterval: testInterval,
		IsResponsibleFor: func(receiver string) bool { return s.judged[receiver] }})
	return s
}

// TestTable runs the histories of testdata/histories. Each file is one table; "at" is the time in milliseconds.
func TestTable(t *testing.T) {
	datadriven.Walk(t, "testdata/histories", func(t *testing.T, path string) {
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
	case "beat":
		endpoint, change := s.table.ReceiveHeartbeat(s.now, word(t, d, "id"), beatOf(t, d))
		return show(endpoint) + fmt.Sprintf("%+v\n", change)
	case "sign-off":
		endpoint, change := s.table.Deregister(s.now, word(t, d, "id"))
		return show(endpoint) + fmt.Sprintf("%+v\n", change)
	case "mark-replicated":
		held, _ := s.table.Get(s.now, word(t, d, "id"))
		s.table.MarkReplicated(held)
		return ""
	case "merge":
		return fmt.Sprintf("%v\n", s.table.Merge(s.now, endpointOf(t, d)))
	case "sweep":
		return showAll(s.table.Sweep(s.now))
	case "judge":
		s.judged[word(t, d, "receiver")] = true
		return ""
	case "live":
		return showAll(s.table.Live(s.now))
	case "changes":
		return s.changes()
	}
	d.Fatalf(t, "unknown command %s", d.Cmd)
	return ""
}

func (s *script) changes() string {
	changed, forgotten, position, complete := s.table.ChangesSince(s.now, s.since)
	s.since = position
	return showAll(changed) + fmt.Sprintf("forgotten %v position %d complete %v\n", forgotten, position, complete)
}

func beatOf(t *testing.T, d *datadriven.TestData) Heartbeat {
	return Heartbeat{Service: "s", Address: text(t, d, "address", "10.0.0.1:80"), Zone: "z", Slots: 6,
		Closing: d.HasArg("closing"), Sequence: number(t, d, "seq"),
		WarmUpRemaining: time.Duration(number(t, d, "cold")) * time.Millisecond,
		Remaining:       time.Duration(number(t, d, "remaining")) * time.Millisecond}
}

func endpointOf(t *testing.T, d *datadriven.TestData) state.Endpoint {
	e := state.Endpoint{ID: word(t, d, "id"), Service: "s", Address: text(t, d, "address", "10.0.0.1:80"), Zone: "z",
		Slots: 6, Sequence: number(t, d, "seq"), Unresponsive: d.HasArg("silent"), Receiver: text(t, d, "receiver", "other"),
		WarmupLeftMillis: int64(number(t, d, "cold")), RemovalInMillis: int64(number(t, d, "remaining"))}
	if d.HasArg("closing") {
		e.State = state.EndpointDraining
	}
	if d.HasArg("gone") {
		e.State = state.EndpointDeparted
	}
	if d.HasArg("bare") {
		e = state.Endpoint{ID: e.ID, Sequence: e.Sequence, State: e.State}
	}
	return e
}

func word(t *testing.T, d *datadriven.TestData, key string) string {
	value := text(t, d, key, "")
	require.NotEmpty(t, value, "%s wants %s", d.Pos, key)
	return value
}

func text(t *testing.T, d *datadriven.TestData, key, otherwise string) string {
	if d.HasArg(key) {
		d.ScanArgs(t, key, &otherwise)
	}
	return otherwise
}

func number(t *testing.T, d *datadriven.TestData, key string) uint64 {
	value := text(t, d, key, "0")
	if value == "max" {
		return signedOffSequence
	}
	parsed, err := strconv.ParseUint(value, 10, 64)
	require.NoError(t, err)
	return parsed
}

func showAll(list []state.Endpoint) string {
	var lines strings.Builder
	for _, e := range list {
		lines.WriteString(show(e))
	}
	if len(list) == 0 {
		return "none\n"
	}
	return lines.String()
}

func show(e state.Endpoint) string {
	line := fmt.Sprintf("%s %s", e.ID, [...]string{"accepting", "closing", "gone"}[e.State])
	if e.Unresponsive {
		line += " silent"
	}
	sequence := strconv.FormatUint(e.Sequence, 10)
	if e.Sequence == signedOffSequence {
		sequence = "max"
	}
	line += fmt.Sprintf(" %s@%s seq=%s receiver=%s", e.Service, e.Address, sequence, e.Receiver)
	if e.WarmupLeftMillis != 0 {
		line += fmt.Sprintf(" cold=%d", e.WarmupLeftMillis)
	}
	if e.RemovalInMillis != 0 {
		line += fmt.Sprintf(" remaining=%d", e.RemovalInMillis)
	}
	return line + "\n"
}
