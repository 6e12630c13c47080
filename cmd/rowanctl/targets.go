package main

import (
	"github.com/cockroachdb/errors"

	"rowanlink/serving/operator/client"
	"rowanlink/serving/settings"
)

// Errors of commands without an address to call.
var (
	errNoControlAddress = errors.New("no control address: give --control or --settings")
	errNoInnerAddress   = errors.New("no member address: give --inner or --settings")
)

// targets are the addresses that a command may call, host:port.
type targets struct {
	control []string // of the operators' API
	inner   []string // for calls between the system's processes
}

// targets returns the addresses in the flags and, for a flag that isn't set, those in the settings file.
func (l *commandLine) targets() (targets, error) {
	addresses := targets{control: l.Control, inner: l.Inner}
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
	if len(addresses.inner) > 0 {
		return addresses, nil
	}
	addresses.inner = []string{processSettings.InnerAddress()}
	for _, seed := range processSettings.Seeds {
		address, err := processSettings.InnerAddressOf(seed)
		if err != nil {
			return addresses, errors.Wrap(err, "seed")
		}
		addresses.inner = append(addresses.inner, address)
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
