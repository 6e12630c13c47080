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

// endpointStateWords holds the names of endpoints' states, and the word that is added for an unresponsive endpoint.
type endpointStateWords struct {
	states       map[state.EndpointState]string
	unresponsive string
}

var (
	// tableStateWords are the words in tables.
	tableStateWords = endpointStateWords{
		states: map[state.EndpointState]string{
			state.EndpointAccepting: "accepting",
			state.EndpointDraining:  "draining",
			state.EndpointDeparted:  "departed",
		},
		unresponsive: "unresponsive",
	}
	// jsonStateWords are the words in JSON output. They must not change, since programs compare them.
	jsonStateWords = endpointStateWords{
		states: map[state.EndpointState]string{
			state.EndpointAccepting: "accepting",
			state.EndpointDraining:  "closing",
			state.EndpointDeparted:  "gone",
		},
		unresponsive: "silent",
	}
)

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

// endpointStateName returns the name of an endpoint's state in the given words.
func endpointStateName(endpoint state.Endpoint, words endpointStateWords) string {
	name := words.states[endpoint.State]
	if endpoint.Unresponsive {
		return name + ", " + words.unresponsive
	}
	return name
}
