package settings

import (
	"net"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// internalPorts is the number of ports that the processes on one machine need for calls among themselves.
const internalPorts = 2

// Table returns all settings, in the order of docs/settings.md. Other keys in a file are ignored, since operators may
// add keys at any time.
func Table() []Setting {
	return slices.Concat(
		identitySettings(),
		bindSettings(),
		clusterSettings(),
		limitSettings(),
		faultToleranceSettings(),
		boundSettings(),
	)
}

func identitySettings() []Setting {
	return []Setting{
		required(textSetting("node_name", "Name of the machine.", func(p *Process) *string { return &p.NodeName })),
		required(Setting{
			Key:   "ip_addr",
			Type:  typeIP,
			Doc:   "The machine's own address.",
			store: storeIP,
		}),
		required(textSetting("zone", "Zone of the machine.", func(p *Process) *string { return &p.Zone })),
		required(textSetting("region", "Region of the machine.", func(p *Process) *string { return &p.Region })),
		{Key: "serves", Type: typeWords, Doc: "Interfaces that this process serves to outside callers.", store: storeServes},
		{Key: "zones.", Pattern: true, Type: typeText, Doc: "Region of the zone NAME.", store: storeZone},
	}
}

func bindSettings() []Setting {
	return []Setting{
		addressSetting("bind.front_door", "Address for clients' requests.", func(p *Process) *string { return &p.Bind.Front }),
		addressSetting("bind.ready_addr", "Address for the platform's readiness checks.", func(p *Process) *string { return &p.Bind.Ready }),
		addressSetting("bind.control_addr", "Address for operators and endpoints.", func(p *Process) *string { return &p.Bind.Control }),
		addressSetting("bind.directory_addr", "Address for clients' look-ups of proxies.", func(p *Process) *string { return &p.Bind.Directory }),
	}
}

func clusterSettings() []Setting {
	return []Setting{
		required(Setting{
			Key:   "port_range",
			Type:  typePorts,
			Doc:   "Ports for calls among the system's own processes, the same on all machines; at least two.",
			store: storePorts,
		}),
		{Key: "seed_nodes", Type: typeSeedList, Doc: "Control addresses of a few machines to join through.", store: storeSeeds},
		boolSetting("first_run", "The very first start of the whole system, with empty disks.",
			func(p *Process) *bool { return &p.FirstRun }),
		boolSetting("counts_loss", "The loss of this machine counts toward `withstand.machine_losses`.",
			func(p *Process) *bool { return &p.CountsLoss }),
		textSetting("store_dir", "Folder for persistent data; empty on a machine without a disk.",
			func(p *Process) *string { return &p.StoreDir }),
		millisecondsSetting("beat_ms", "1000", "Time between two heartbeats of an endpoint.",
			func(p *Process) *time.Duration { return &p.HeartbeatInterval }),
	}
}

func limitSettings() []Setting {
	return []Setting{
		numberSetting("limits.cpu_fraction", "1", "Fraction of a core that the process may use.",
			func(p *Process) *float64 { return &p.Limits.CPUFraction }),
		numberSetting("limits.cpu_cores", "1", "Speed of that core relative to an ordinary one.",
			func(p *Process) *float64 { return &p.Limits.CPUCores }),
		integerSetting("limits.ram_mb", "256", "Memory that the process may use, in megabytes.",
			func(p *Process) *int { return &p.Limits.MemoryMB }),
		integerSetting("limits.file_limit", "1024", "File descriptors that the process may have open.",
			func(p *Process) *int { return &p.Limits.FileLimit }),
		numberSetting("limits.link_mbps", "1000", "Bandwidth of the machine's link, in megabits per second.",
			func(p *Process) *float64 { return &p.Limits.LinkMbps }),
		integerSetting("limits.disk_mb", "0", "Size of the disk, in megabytes.",
			func(p *Process) *int { return &p.Limits.DiskMB }),
	}
}

func faultToleranceSettings() []Setting {
	return []Setting{
		integerSetting("withstand.machine_losses", "0", "Machines with data that may be lost at once.",
			func(p *Process) *int { return &p.FaultTolerance.MachineLosses }),
		integerSetting("withstand.zones", "0", "Zones that may be lost at once.", func(p *Process) *int { return &p.FaultTolerance.Zones }),
		integerSetting("withstand.region_losses", "0", "Regions that may be lost at once.",
			func(p *Process) *int { return &p.FaultTolerance.Regions }),
	}
}

func storeIP(p *Process, _, value string) error {
	p.IP = value
	if net.ParseIP(value) == nil {
		return errors.New("not an IP address")
	}
	return nil
}

func storeServes(p *Process, _, value string) error {
	p.Serves = splitList(value)
	return nil
}

func storeZone(p *Process, zone, region string) error {
	if zone == "" || region == "" {
		return errors.New("a zone and a region are required")
	}
	p.Regions[zone] = region
	return nil
}

func storePorts(p *Process, _, value string) (err error) {
	ports := splitList(value)
	if len(ports) != 2 {
		return errors.New("not two ports")
	}
	if p.FirstPort, err = parsePort(ports[0]); err != nil {
		return err
	}
	if p.LastPort, err = parsePort(ports[1]); err != nil {
		return err
	}
	if p.LastPort-p.FirstPort < internalPorts-1 {
		return errors.Newf("at least %d ports are required", internalPorts)
	}
	return nil
}

func storeSeeds(p *Process, _, value string) error {
	p.Seeds = splitList(value)
	for _, seed := range p.Seeds {
		if err := checkAddress(seed); err != nil {
			return err
		}
	}
	return nil
}
