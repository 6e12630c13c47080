package main

import (
	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

var roleNames = map[state.Role]string{state.RoleAgent: "agent", state.RoleCore: "core"}

var memberStateNames = map[state.MemberState]string{
	state.MemberStarting: "starting",
	state.MemberReady:    "ready",
	state.MemberLeaving:  "leaving",
	state.MemberLeft:     "left",
}

var endpointStateNames = map[state.EndpointState]string{
	state.EndpointAccepting: "accepting",
	state.EndpointDraining:  "closing",
	state.EndpointDeparted:  "gone",
}

// Names for states of members that the members don't report themselves.
const (
	stateDown    = "down"
	stateUnknown = "unknown"
)

// memberStateName returns the name of a member's state.
func memberStateName(member introspect.Member) string {
	if member.Down {
		return stateDown
	}
	return memberStateNames[member.Member.State]
}

// endpointStateName returns the name of an endpoint's state.
func endpointStateName(endpoint state.Endpoint) string {
	name := endpointStateNames[endpoint.State]
	if endpoint.Unresponsive {
		return name + ", silent"
	}
	return name
}
