package main

import (
	"github.com/cockroachdb/errors"

	"rowanlink/serving/operator/client"
	"rowanlink/serving/settings"
)

// Errors of commands without an address to call.
var (
	errNoControlAddress  = errors.New("no control address: give --control or --settings")
	errNoInternalAddress = errors.New("no member address: give --inner or --settings")
)

// targets are the addresses that a command may call, host:port.
type targets struct {
	control  []string // of the operators' API
	internal []string // for calls between the system's processes
}

// targets returns the addresses in the flags and, for a flag that isn't set, those in the settings file.
func (l *commandLine) targets() (targets, error) {
	addresses := targets{control: l.Control, internal: l.Inner}
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
	if len(addresses.internal) > 0 {
		return addresses, nil
	}
	addresses.internal = []string{processSettings.InternalAddress()}
	for _, seed := range processSettings.Seeds {
		address, err := processSettings.InternalAddressOf(seed)
		if err != nil {
			return addresses, errors.Wrap(err, "seed")
		}
		addresses.internal = append(addresses.internal, address)
	}
	return addresses, nil
}

// operatorClient returns a client of the operators' API. The error is errNoControlAddress.
func (s *session) operatorClient() (*client.Client, error) {
	if len(s.targets.control) == 0 {
		return nil, errNoControlAddress
	}
	return &client.Client{Addresses: s.targets.control}, nil
}
