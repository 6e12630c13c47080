// Package agent is the node agent, a process beside each proxy. It joins the gossip membership, publishes the newest
// record, endpoints and loads to the proxy over loopback, announces to other members whether the proxy is ready, and answers
// the directory look-ups of clients.
//
// The decisions (proxyMonitor, publisher, chooseAddresses, agentState) do no I/O and take the time as an argument; Run
// connects them with sockets, the other members and signals.
package agent
