// Package settings parses and validates the settings file of a process, and watches it for changes.
package settings

import (
	"net"
	"strconv"
	"time"
)

// loopback is the address by which processes on one machine reach each other.
const loopback = "127.0.0.1"

// Process holds the validated settings of one process. The JSON names are those that `rowanctl settings check --json`
// prints; durations are in nanoseconds there.
type Process struct {
	NodeName string            `json:"NodeName"`
	Zone     string            `json:"Zone"`
	Region   string            `json:"Region"`
	IP       string            `json:"IP"`
	Serves   []string          `json:"Serves"`  // interfaces for outside callers
	Regions  map[string]string `json:"Regions"` // region by zone

	Bind       Bind     `json:"Bind"`
	FirstPort  int      `json:"FirstPort"` // FirstPort to LastPort are for calls among the system's processes
	LastPort   int      `json:"LastPort"`
	Seeds      []string `json:"Seeds"`    // control addresses of a few machines, possibly outdated
	FirstRun   bool     `json:"FirstRun"` // the very first start of the whole system
	CountsLoss bool     `json:"Counts"`   // this machine's loss counts toward FaultTolerance.MachineLosses
	StoreDir   string   `json:"StoreDir"` // empty on a machine without a disk

	Limits            Limits         `json:"Limits"`
	HeartbeatInterval time.Duration  `json:"BeatInterval"` // between two heartbeats of an endpoint
	FaultTolerance    FaultTolerance `json:"Withstand"`
	Bounds            Bounds         `json:"Bounds"`
}

// Bind holds the addresses, host:port, for outside callers; empty for interfaces that the process doesn't serve.
type Bind struct {
	Front     string `json:"Front"`     // clients' requests
	Ready     string `json:"Ready"`     // the platform's readiness checks
	Control   string `json:"Control"`   // operators and endpoints
	Directory string `json:"Directory"` // clients' look-ups
}

// Limits of the machine that one process may use.
type Limits struct {
	CPUFraction float64 `json:"CPUFraction"` // of a core
	CPUCores    float64 `json:"CPUCores"`    // speed of that core relative to an ordinary one
	MemoryMB    int     `json:"MemoryMB"`
	FileLimit   int     `json:"FileLimit"` // open file descriptors
	LinkMbps    float64 `json:"LinkMbps"`
	DiskMB      int     `json:"DiskMB"`
}

// FaultTolerance is what may fail at the same time without a violation of any bound.
type FaultTolerance struct {
	MachineLosses int `json:"MachineLosses"`
	Zones         int `json:"Zones"`
	Regions       int `json:"Regions"`
}

// Bounds are the service levels that operators require; docs/settings.md explains each.
type Bounds struct {
	SeedLag         time.Duration `json:"SeedLag"`
	AddressReuse    time.Duration `json:"AddressReuse"`
	QuorumContact   time.Duration `json:"Contact"`
	Acknowledgement time.Duration `json:"Acknowledge"`
	CatchUp         time.Duration `json:"CatchUp"`
	Drain           time.Duration `json:"Drain"`
	Grace           time.Duration `json:"Grace"`
	LossSlack       time.Duration `json:"LossSlack"`
	Activation      time.Duration `json:"Apply"`
	RevertSlack     time.Duration `json:"RevertSlack"`
	Stretch         time.Duration `json:"Stretch"`
	RetryRatio      float64       `json:"RetryRatio"`
	RetryWindow     time.Duration `json:"RetryWindow"`
	RetrySlack      float64       `json:"RetrySlack"`
	WarmUpExcess    float64       `json:"ColdExcess"`
	WarmUpSlack     float64       `json:"ColdSlack"`
	// ExposureShare of a service's requests may go to a bad version during its roll-out.
	ExposureShare    float64       `json:"ExposureShare"`
	Rollback         time.Duration `json:"Rollback"`
	Evacuation       time.Duration `json:"Evacuate"`
	Recovery         time.Duration `json:"Recovery"`
	StreamForwarding time.Duration `json:"Pass"`
	MaxTTL           time.Duration `json:"TTLMost"`
	Again            string        `json:"Again"` // without effect, see SettingsWithoutEffect
}

// SettingsWithoutEffect returns the keys of settings that have a value other than zero and that this release can't obey,
// since what they mean isn't known.
func (p *Process) SettingsWithoutEffect() (keys []string) {
	if value, err := strconv.ParseFloat(p.Bounds.Again, 64); p.Bounds.Again != "" && (err != nil || value != 0) {
		keys = append(keys, "bounds.again_s")
	}
	return keys
}

// InternalAddress returns the address at which the other processes of the system call this machine.
func (p *Process) InternalAddress() string { return net.JoinHostPort(p.IP, strconv.Itoa(p.FirstPort)) }

// SubscriptionAddress returns the loopback address at which the proxy of this machine polls its agent. Simulated
// machines that share one host have their own loopback addresses and use these, as the common one would clash.
func (p *Process) SubscriptionAddress() string {
	host := loopback
	if ip := net.ParseIP(p.IP); ip != nil && ip.IsLoopback() {
		host = p.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort+1))
}

// InternalAddressOf returns the internal address of the machine with a control address. The ports are the same on all
// machines.
func (p *Process) InternalAddressOf(control string) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort)), nil
}
