package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"regexp"
	"strconv"
	"sync"
	"time"
)

// network is the network between the machines of a deployment, for cases that cut links. Each machine sees each other
// machine at an address of its own: machine I sees machine J at 127.S.I.J, and itself at 127.S.I.I, where alone it
// listens. At all other addresses the network listens and passes calls on, like a router that translates addresses:
// addresses in the calls between the system's processes are those that the receiver knows. It can drop what goes
// between two machines.
//
// All addresses are of equal length, since machines have one digit.
type network struct {
	prefix    string // 127.S.
	transport *http.Transport
	servers   []*http.Server
	listeners []net.Listener

	mutex sync.Mutex
	cut   map[[2]int]bool // by the two machines, the lower first
}

func newNetwork(prefix string) *network {
	return &network{
		prefix:    prefix,
		transport: &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second},
		cut:       map[[2]int]bool{},
	}
}

// address returns where machine viewer sees machine target.
func (n *network) address(viewer, target int) string {
	return n.prefix + strconv.Itoa(viewer) + "." + strconv.Itoa(target)
}

// listen opens the addresses at which the machines 1 to count see each other.
func (n *network) listen(count int) error {
	for viewer := 1; viewer <= count; viewer++ {
		for target := 1; target <= count; target++ {
			if viewer == target {
				continue
			}
			if err := n.listenPair(viewer, target); err != nil {
				return err
			}
		}
	}
	return nil
}

func (n *network) listenPair(viewer, target int) error {
	inner, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.address(viewer, target), firstPort))
	if err != nil {
		return err
	}
	server := &http.Server{Handler: n.translate(viewer, target)}
	n.servers = append(n.servers, server)
	go func() { _ = server.Serve(inner) }()

	control, err := net.Listen("tcp", fmt.Sprintf("%s:%d", n.address(viewer, target), portControl))
	if err != nil {
		return err
	}
	n.listeners = append(n.listeners, control)
	go passOn(control, fmt.Sprintf("%s:%d", n.address(target, target), portControl))
	return nil
}

func (n *network) close() {
	for _, server := range n.servers {
		_ = server.Close()
	}
	for _, listener := range n.listeners {
		_ = listener.Close()
	}
}

// setCut cuts or restores all links between two groups of machines.
func (n *network) setCut(some, others []int, cut bool) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	for _, a := range some {
		for _, b := range others {
			n.cut[[2]int{min(a, b), max(a, b)}] = cut
		}
	}
}

func (n *network) isCut(a, b int) bool {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cut[[2]int{min(a, b), max(a, b)}]
}

// translate passes on the calls of one machine to another.
func (n *network) translate(viewer, target int) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil || n.isCut(viewer, target) {
			n.drop(r.Context())
		}
		body = n.rewrite(body, viewer, target)
		address := fmt.Sprintf("%s:%d", n.address(target, target), firstPort)
		request, err := http.NewRequestWithContext(r.Context(), r.Method, "http://"+address+r.URL.RequestURI(), bytes.NewReader(body))
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		request.Header = r.Header.Clone()
		response, err := n.transport.RoundTrip(request)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		answer, err := io.ReadAll(response.Body)
		_ = response.Body.Close()
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if n.isCut(viewer, target) {
			n.drop(r.Context())
		}
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = w.Write(n.rewrite(answer, target, viewer)) // an error means that the caller has gone
	}
}

// drop leaves a call without an answer, until the caller gives up.
func (n *network) drop(ctx context.Context) {
	sleep(ctx, 20*time.Second)
	panic(http.ErrAbortHandler)
}

// rewrite replaces the addresses that one machine knows by those that another one knows.
func (n *network) rewrite(body []byte, from, to int) []byte {
	known := regexp.MustCompile(regexp.QuoteMeta(n.prefix) + strconv.Itoa(from) + `\.([0-9]):`)
	return known.ReplaceAll(body, []byte(n.prefix+strconv.Itoa(to)+".$1:"))
}

// passOn passes on the connections of endpoints, which reach all machines.
func passOn(listener net.Listener, address string) {
	for {
		from, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer func() { _ = from.Close() }()
			to, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer func() { _ = to.Close() }()
			go func() {
				_, _ = io.Copy(to, from) // the other direction ends the connection
				_ = to.(*net.TCPConn).CloseWrite()
			}()
			_, _ = io.Copy(from, to)
		}()
	}
}
