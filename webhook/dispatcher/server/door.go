package server

import (
	"container/list"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"rowanlink/internal/socket"
	"rowanlink/webhook/api"
	"rowanlink/webhook/dispatcher/inflight"
)

// door lets connections in, so many at once at most. When all places are taken, a guest that has nothing to
// wait for goes: guards against silence, half heads and idle connections that keep usual clients out.
type door struct {
	net.Listener
	most  int
	spare int // idle ones at most: clients open no more than a part of the descriptors, and idle ones fill it
	mu    sync.Mutex
	freed *sync.Cond
	in    int
	left  api.Micros   // when a guest was last closed
	mute  list.List    // guests whose first or begun request has not come as a whole, longest in wait first
	idle  [3]list.List // those that were answered, by how many webhooks they have handed in, longest ago first
}

// guest is one client's connection. It counts the bytes of each request: guards against a length that says
// less than what has come, so that a webhook would be cut and its rest read as another request.
type guest struct {
	*net.TCPConn
	door  *door
	since api.Micros
	at    *list.List // mute or idle; nil while the webhook that it handed in is decided on
	place *list.Element
	gone  bool
	came  int // webhooks handed in, up to the last of idle

	seen, head int // bytes of this request so far; of its head, once that is whole
	match      int // bytes of the head's end that came last
}

// mayBeMute is how long a new connection keeps its place whatever comes: a usual client's request is with it.
const mayBeMute = inflight.AnswerTimeout / 2

// newDoor makes a door that has yet to be given its listener.
func newDoor(most, spare int) *door {
	d := &door{most: max(most, 1), spare: max(spare, 1)}
	d.freed = sync.NewCond(&d.mu)
	return d
}

// Accept waits for a connection, then for a place. Each webhook handed in is answered within a turn or so,
// and its place may then be had.
func (d *door) Accept() (net.Conn, error) {
	c, err := d.Listener.Accept()
	if err != nil {
		return nil, err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for d.in >= d.most {
		if out := d.dispensable(); out != nil {
			out.leave()
		} else {
			d.freed.Wait()
		}
	}
	d.in++
	g := &guest{TCPConn: c.(*net.TCPConn), door: d}
	g.move(&d.mute)
	return g, nil
}

// dispensable is who goes first: one silent for long, then of the idle those that handed in no webhook,
// then one webhook, then more. Guards against crowds that ask once and stay: usual clients use theirs again
// and again.
func (d *door) dispensable() *guest {
	first := d.silent()
	if first != nil && inflight.Now()-first.since > mayBeMute {
		return first
	}
	if g := d.idlest(); g != nil || first == nil {
		return g
	}
	return first
}

// silent is who has waited longest of the mute, but for those of whom something is yet to be read.
func (d *door) silent() *guest {
	for e := d.mute.Front(); e != nil; e = e.Next() {
		if g := e.Value.(*guest); !socket.HasUnread(g.TCPConn) {
			return g
		}
	}
	return nil
}

// idlest is who goes first of the idle. One whose next request has come is idle no longer: guards against
// a request that is lost with its connection before this process got to read it.
func (d *door) idlest() *guest {
	for i := range d.idle {
		for e := d.idle[i].Front(); e != nil; e = d.idle[i].Front() {
			g := e.Value.(*guest)
			if !socket.HasUnread(g.TCPConn) {
				return g
			}
			g.move(&d.mute)
		}
	}
	return nil
}

// crowded tells whether more are idle than may be.
func (d *door) crowded() bool {
	n := 0
	for i := range d.idle {
		n += d.idle[i].Len()
	}
	return n > d.spare
}

// deserted tells whether nobody is here, nor has been for so long that one whose connection was closed over
// its request would have come again.
func (d *door) deserted() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.in == 0 && inflight.Now()-d.left > inflight.AnswerTimeout
}

// move puts a guest where it stands now; the caller holds the lock.
func (g *guest) move(to *list.List) {
	if g.at != nil {
		g.at.Remove(g.place)
	}
	if g.at = to; to != nil && !g.gone {
		g.since, g.place = inflight.Now(), to.PushBack(g)
		g.door.freed.Signal()
	}
}

func (g *guest) leave() {
	if !g.gone {
		g.move(nil)
		g.gone = true
		g.door.in--
		g.door.left = inflight.Now()
		g.door.freed.Signal()
		g.TCPConn.Close()
	}
}

// asks notes that its webhook is decided on from now on, and tells whether it is still here.
func (g *guest) asks() bool {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.came = min(g.came+1, len(g.door.idle)-1); !g.gone {
		g.move(nil)
	}
	return !g.gone
}

// answered notes that it has its answer.
func (g *guest) answered() {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if g.seen, g.head, g.match = 0, 0, 0; !g.gone {
		g.move(&g.door.idle[g.came])
		if g.door.crowded() {
			if out := g.door.idlest(); g.door.crowded() { // of whom some may have asked meanwhile
				out.leave()
			}
		}
	}
}

// begins notes that one that was idle is no longer, and tells whether it is still here. Until then nothing of
// its request is read: guards against one that is read half and then dropped.
func (g *guest) begins() bool {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	if !g.gone && g.at == &g.door.idle[g.came] {
		g.move(&g.door.mute)
	}
	return !g.gone
}

// Close ends it, once.
func (g *guest) Close() error {
	g.door.mu.Lock()
	defer g.door.mu.Unlock()
	g.leave()
	return nil
}

// Read notes where the head of the request ends.
func (g *guest) Read(p []byte) (int, error) {
	const end = "\r\n\r\n"
	if g.seen == 0 {
		err := socket.WaitReadable(g.TCPConn)
		late := errors.Is(err, os.ErrDeadlineExceeded) && socket.HasUnread(g.TCPConn)
		if err == nil || late { // guards against a time that ends over a request that has come
			err = g.SetReadDeadline(time.Now().Add(within))
		}
		if err == nil && !g.begins() {
			err = net.ErrClosed
		}
		if err != nil {
			return 0, err
		}
	}
	n, err := g.TCPConn.Read(p)
	for i := 0; i < n && g.head == 0; i++ {
		switch {
		case p[i] == end[g.match]:
			g.match++
		case p[i] == end[0]:
			g.match = 1
		default:
			g.match = 0
		}
		if g.match == len(end) {
			g.head = g.seen + i + 1
		}
	}
	g.seen += n
	return n, err
}

// fits tells whether just one request with so many bytes of body has come.
func (g *guest) fits(body int) bool { return g.head > 0 && g.seen == g.head+body }
