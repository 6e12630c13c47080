// Package agent is the node agent, a process beside each proxy. It joins the mesh of members, publishes the newest
// record, endpoints and loads to the proxy over loopback, announces in the mesh whether the proxy is ready, and answers
// the directory look-ups of clients.
//
// The decisions (proxyMonitor, publisher, chooseAddresses, agentState) do no I/O and take the time as an argument; Run
// connects them with sockets, the mesh and signals.
package agent
