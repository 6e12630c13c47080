package main

import (
	"github.com/cockroachdb/errors"

	"rowanlink/serving/operator/client"
	"rowanlink/serving/settings"
)

// errNoAddress is the error of commands without an address to call.
var errNoAddress = errors.New("no address: give --control or --settings")

// targets are the addresses that a command may call, host:port.
type targets struct {
	control []string // of the operators' API
	members []string // of members that report their state; core members do so at their control address too
}

// targets returns the addresses that a command may call. The control addresses are those of --control, else the seeds
// in the settings file. The members' addresses are those of --member, else those of --control, else the internal
// addresses of the settings file's own machine and of its seeds.
func (l *commandLine) targets() (targets, error) {
	addresses := targets{control: l.Control, members: l.Member}
	if len(addresses.members) == 0 {
		addresses.members = l.Control
	}
	if l.Settings == "" {
		return addresses, nil
	}
	processSettings, err := settings.Load(l.Settings)
	if err != nil {
		return addresses, err
	}
	if len(addresses.control) == 0 {
		addresses.control = processSettings.Seeds
	}
	if len(addresses.members) > 0 {
		return addresses, nil
	}
	addresses.members = []string{processSettings.InternalAddress()}
	for _, seed := range processSettings.Seeds {
		address, err := processSettings.InternalAddressOf(seed)
		if err != nil {
			return addresses, errors.Wrap(err, "seed")
		}
		addresses.members = append(addresses.members, address)
	}
	return addresses, nil
}

// operatorClient returns a client of the operators' API, or errNoAddress if there is no control address.
func (s *session) operatorClient() (*client.Client, error) {
	if len(s.targets.control) == 0 {
		return nil, errNoAddress
	}
	return &client.Client{Addresses: s.targets.control}, nil
}
