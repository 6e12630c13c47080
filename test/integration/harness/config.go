package harness

import (
	"fmt"
	"os"
	"slices"
	"strings"

	"github.com/stretchr/testify/require"
	"github.com/tidwall/gjson"

	"rowanlink/test/checker/deliverycheck"
	"rowanlink/webhook/api"
	"rowanlink/webhook/config"
)

const fileMode = 0o600

// requirements returns what the checker checks: the settings, with the protocol's 50 ms of tolerance.
func (c *Cluster) requirements() (deliverycheck.Requirements, error) {
	const tolerance = 50 * api.Second / 1000
	settings := gjson.Parse(c.options.Settings)
	known, names, _, err := config.FromJSON(1, settings)
	drainGrace := api.Micros(settings.Get("rules.drainGrace").Int() / 1000) // from nanoseconds
	required := deliverycheck.Requirements{
		EventTypes:     map[string]api.EventType{},
		Settings:       known,
		Slack:          c.options.Slack,
		DrainGrace:     drainGrace + tolerance,
		NotifiedWithin: 6 * api.Second,
		WaitGrace:      api.Second / 10,
		WaitsBindAll:   c.options.WaitsBindAll,
	}
	for i, name := range names.EventTypes {
		required.EventTypes[name] = known.EventTypes[i]
	}
	return required, err
}

// createLinks creates the links between all members.
func (c *Cluster) createLinks() {
	if c.options.Standalone {
		return
	}
	for _, from := range c.Members {
		for _, to := range c.Members {
			if from != to {
				c.links[memberPair{from.Name, to.Name}] = c.createLink(from, to)
			}
		}
	}
}

func (c *Cluster) createLink(from, to *Member) (addrs peerAddrs) {
	var err error
	addrs.peer, err = c.Network.addLink(from.Name, to.Name, to.peerPort.Addr)
	require.NoError(c.t, err)
	if slices.Contains(c.RaftNodes(), to) {
		addrs.raft, err = c.Network.addLink(from.Name, to.Name, to.raftPort.Addr)
		require.NoError(c.t, err)
	}
	return addrs
}

// writeConfig writes a member's LB_CONFIG.
func (c *Cluster) writeConfig(m *Member) {
	view, err := c.Platform.View(m.Name)
	require.NoError(c.t, err)
	require.NoError(c.t, c.Platform.SetClientAddr(m.Name, m.ClientAddr))
	text := fmt.Sprintf(`{"name":%q,"listen":%q,"discovery":%q,"seed":"8c1f30d27a5be9%02x","known":%s,
		"limits":{"memory_mb":192,"sockets":1024,"disk_mb":%g},"settings":%s}`, m.Name, m.ClientAddr, view.AgentAddr,
		len(c.Members), view.EndpointList(), c.options.DiskMB, c.options.Settings)
	require.True(c.t, gjson.Valid(text), text)
	require.NoError(c.t, os.WriteFile(m.configPath, []byte(text), fileMode))
}

// OperatorFile returns the operator file as one member reads it, with further blocks. It has the members of the given
// names, or else all but the spare ones.
func (c *Cluster) OperatorFile(m *Member, blocks string, names ...string) string {
	if len(names) == 0 {
		names = c.Names()[:c.options.Members-c.options.SpareMembers]
	}
	out := &strings.Builder{}
	fmt.Fprintf(out, "fleet \"proof\" {\n  term = %q\n  clocks_apart = %g\n  ranges = %d\n}\n", c.options.LeaseTTL,
		c.options.ClockDrift, c.options.Ranges)
	for _, name := range names {
		c.writeMemberBlock(out, m, c.Member(name))
	}
	for name, destinations := range c.options.SubscriberLists {
		fmt.Fprintf(out, "list %q { subscribers = [%s] }\n", name, joinIDs(destinations))
	}
	return out.String() + blocks
}

// writeMemberBlock writes the block of a member in the file that a reader reads: with its own addresses, or with those
// of the reader's links to it.
func (c *Cluster) writeMemberBlock(out *strings.Builder, reader, m *Member) {
	addrs := peerAddrs{peer: m.peerPort.Addr, raft: m.raftPort.Addr}
	if m != reader {
		addrs = c.links[memberPair{reader.Name, m.Name}]
	}
	fmt.Fprintf(out, "member %q {\n  says = %q\n", m.Name, addrs.peer)
	if slices.Contains(c.RaftNodes(), m) {
		fmt.Fprintf(out, "  log = %q\n", addrs.raft)
	}
	if c.options.MemberSettings != nil {
		out.WriteString(c.options.MemberSettings(m.Name))
	}
	out.WriteString("}\n")
}

// WriteOperatorFiles writes every member's operator file with further blocks. SendHangup has a member read it.
func (c *Cluster) WriteOperatorFiles(blocks string, names ...string) {
	if c.options.Standalone {
		return
	}
	for _, m := range c.Members {
		require.NoError(c.t, os.WriteFile(m.operatorPath, []byte(c.OperatorFile(m, blocks, names...)), fileMode))
	}
}

// ReloadOperatorFiles writes the operator files with other blocks and has every member that runs read its file.
func (c *Cluster) ReloadOperatorFiles(blocks string, names ...string) {
	c.t.Helper()
	c.WriteOperatorFiles(blocks, names...)
	for _, m := range c.Members {
		if m.IsRunning() {
			m.SendHangup()
		}
	}
}

func joinIDs(ids []api.DestinationID) string {
	return strings.Trim(strings.Join(strings.Fields(fmt.Sprint(ids)), ", "), "[]")
}
