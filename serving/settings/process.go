// Package settings reads and checks the settings file of a process.
package settings

import (
	"net"
	"strconv"
	"time"
)

// loopback is the address at which processes of one machine reach each other.
const loopback = "127.0.0.1"

// Process holds the settings of one process, checked.
type Process struct {
	NodeName string
	Zone     string
	Region   string
	IP       string
	Serves   []string
	Regions  map[string]string // region by zone

	Bind       Bind
	FirstPort  int // ports from FirstPort to LastPort are for calls between the system's processes
	LastPort   int
	Seeds      []string // control addresses of a few machines, as the operator's list stood
	FirstRun   bool     // the very first start of the whole system
	CountsLoss bool     // this machine's loss counts toward what must be withstood
	StoreDir   string   // empty on a machine without a disk

	Limits            Limits
	HeartbeatInterval time.Duration // between two heartbeats of an endpoint
	FaultTolerance    FaultTolerance
	Bounds            Bounds
}

// Bind holds the addresses, host:port, that outside callers use; empty where the process serves none.
type Bind struct {
	Front     string // clients' requests
	Ready     string // the platform's readiness checks
	Control   string // operators and endpoints
	Directory string // clients' look-ups
}

// Limits of the machine that one process may use.
type Limits struct {
	CPUFraction float64
	CPUCores    float64
	MemoryMB    int
	FileLimit   int
	LinkMbps    float64
	DiskMB      int
}

// FaultTolerance says what may be lost at the same time while everything promised still holds.
type FaultTolerance struct {
	MachineLosses int
	Zones         int
	Regions       int
}

// Bounds are the times and shares that operators hold the system to.
type Bounds struct {
	SeedLag          time.Duration
	AddressReuse     time.Duration
	QuorumContact    time.Duration
	Acknowledgement  time.Duration
	CatchUp          time.Duration
	Drain            time.Duration
	Grace            time.Duration
	LossSlack        time.Duration
	Activation       time.Duration
	RevertSlack      time.Duration
	Stretch          time.Duration
	RetryRatio       float64
	RetryWindow      time.Duration
	RetrySlack       float64
	WarmUpExcess     float64
	WarmUpSlack      float64
	Evacuation       time.Duration
	Recovery         time.Duration
	StreamForwarding time.Duration
	MaxTTL           time.Duration
}

// InnerAddress is where the other processes of the system call this machine.
func (p *Process) InnerAddress() string { return net.JoinHostPort(p.IP, strconv.Itoa(p.FirstPort)) }

// FeedAddress is where the proxy of this machine asks its agent, over loopback. Machines that are played on one
// host by loopback addresses of their own ask there, as they would meet at the common one.
func (p *Process) FeedAddress() string {
	host := loopback
	if ip := net.ParseIP(p.IP); ip != nil && ip.IsLoopback() {
		host = p.IP
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort+1))
}

// InnerAddressOf is where the machine of a control address takes calls of the system's processes: ports are
// alike on all machines.
func (p *Process) InnerAddressOf(control string) (string, error) {
	host, _, err := net.SplitHostPort(control)
	if err != nil {
		return "", err
	}
	return net.JoinHostPort(host, strconv.Itoa(p.FirstPort)), nil
}
