package platform

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// MemberView is the platform as one member reaches it.
type MemberView struct {
	Name      string
	AgentAddr string // LB_DISCOVERY

	platform       *Platform
	endpointAddrs  map[*Endpoint]string
	discoveryMuted bool
	muteChanged    chan struct{} // closed when discoveryMuted changes
}

// View returns a member's view, which it adds at the first call.
func (p *Platform) View(member string) (*MemberView, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if v := p.views[member]; v != nil {
		return v, nil
	}
	v := &MemberView{
		Name:          member,
		platform:      p,
		endpointAddrs: map[*Endpoint]string{},
		muteChanged:   make(chan struct{}),
	}
	agent := http.NewServeMux()
	agent.HandleFunc("GET /registry/instances", v.serveInstances)
	agent.HandleFunc("POST /v2/finals", v.serveFinals)
	port, err := p.listen(agent)
	if err != nil {
		return nil, err
	}
	v.AgentAddr = port.Addr
	for _, e := range p.endpoints {
		if err := v.addEndpoint(e); err != nil {
			return nil, err
		}
	}
	p.views[member] = v
	return v, nil
}

// addEndpoint adds an address of an endpoint for the member.
func (v *MemberView) addEndpoint(e *Endpoint) error {
	listener, err := newEndpointListener(func(rw http.ResponseWriter, r *http.Request) { e.serveCall(v, rw, r) })
	if err != nil {
		return err
	}
	v.platform.ports = append(v.platform.ports, listener.port)
	v.platform.closers = append(v.platform.closers, listener.refuse)
	v.endpointAddrs[e] = listener.port.Addr
	e.listeners = append(e.listeners, listener)
	return nil
}

// EndpointList returns the complete list as the member sees it: `known` of LB_CONFIG.
func (v *MemberView) EndpointList() string {
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	list, _ := v.changesSince(0)
	return list
}

// changesSince returns the list of what changed after a generation, and the endpoints in it that don't serve. With
// generation 0 the list is complete.
func (v *MemberView) changesSince(generation int) (list string, draining []*Endpoint) {
	var instances []string
	for _, e := range v.platform.endpoints {
		if e.generation <= generation || generation == 0 && e.lifecycle == deleted {
			continue
		}
		instances = append(instances, fmt.Sprintf(`{"instanceId":%q,"hostPort":%q,"zone":%q,"machineType":%q,"cell":%d,`+
			`"lifecycle":%q,"weight":%g,"startedAtMs":0}`, e.Name, v.endpointAddrs[e], e.zone, e.destination.Kind,
			e.destination.ID, e.lifecycle, e.destination.Weight))
		if e.lifecycle != serving {
			draining = append(draining, e)
		}
	}
	list = fmt.Sprintf(`{"generation":%d,"reset":%t,"instances":[%s]}`, v.platform.generation, generation == 0,
		strings.Join(instances, ","))
	return list, draining
}

// keepAlivePeriod is the protocol's: an empty line is sent so often while nothing changes.
const keepAlivePeriod = 2 * time.Second

// serveInstances serves the list of endpoints, and with follow=1 its changes until the client disconnects.
func (v *MemberView) serveInstances(rw http.ResponseWriter, r *http.Request) {
	generation, err := parseGeneration(r.URL.Query().Get("since"))
	if err != nil {
		http.Error(rw, "since is no number", http.StatusBadRequest)
		return
	}
	follow := r.URL.Query().Get("follow") == "1"
	keepAlive := time.NewTicker(keepAlivePeriod)
	defer keepAlive.Stop()
	for {
		v.platform.mu.Lock()
		listChanged, muteChanged := v.platform.listChanged, v.muteChanged
		isMuted, current := v.discoveryMuted, v.platform.generation
		list, draining := v.changesSince(generation)
		v.platform.mu.Unlock()
		if !isMuted && (current != generation || !follow) {
			sendLine(rw, list)
			for _, e := range draining {
				v.platform.Checker.RecordNotified(v.platform.Now(), v.Name, e.Name)
			}
			generation = current
			if !follow {
				return
			}
		}
		select {
		case <-r.Context().Done():
			return
		case <-muteChanged:
		case <-listChanged:
		case <-keepAlive.C:
			if !isMuted {
				sendLine(rw, "")
			}
		}
	}
}

// parseGeneration parses a generation; "" is 0.
func parseGeneration(text string) (generation int, err error) {
	if text == "" {
		return 0, nil
	}
	_, err = fmt.Sscan(text, &generation)
	return generation, err
}

// sendLine sends a line at once. If the client is gone, its request's context ends.
func sendLine(rw http.ResponseWriter, line string) {
	_, _ = io.WriteString(rw, line+"\n")
	rw.(http.Flusher).Flush()
}

// MuteDiscovery lets discovery fail for the member: its watch stays open and silent. Notices are accepted as before.
func (v *MemberView) MuteDiscovery(mute bool) {
	v.platform.mu.Lock()
	defer v.platform.mu.Unlock()
	v.discoveryMuted = mute
	close(v.muteChanged)
	v.muteChanged = make(chan struct{})
}
