// Package agent is the node agent, a process that runs on the machine of each proxy. It joins the gossip membership,
// publishes the newest record, endpoints and loads to the proxy over loopback, announces the proxy's state to other members,
// and serves the directory, in which clients look up the addresses of proxies.
//
// The code that makes the decisions (proxyMonitor, publisher, chooseAddresses, agentState) does no I/O and gets the time as
// an argument. Run connects it with the sockets and the other members.
package agent
