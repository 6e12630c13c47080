package main

import (
	"rowanlink/serving/introspect"
	"rowanlink/serving/state"
)

var roleNames = map[state.Role]string{state.RoleAgent: "agent", state.RoleCore: "core"}

var stateNames = map[state.MemberState]string{
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

// Words for the states of members that these don't tell themselves.
const (
	downState    = "down"
	unknownState = "unknown"
)

// stateOf names the state of a member.
func stateOf(known introspect.Member) string {
	if known.Down {
		return downState
	}
	return stateNames[known.Member.State]
}

// lifeOf names the state of an endpoint.
func lifeOf(endpoint state.Endpoint) string {
	name := endpointStateNames[endpoint.State]
	if endpoint.Unresponsive {
		return name + ", silent"
	}
	return name
}
