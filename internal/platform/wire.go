package platform

import (
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"indigodrift/internal/b2bua"
	"indigodrift/internal/sip"
)

const (
	callerMost  = 256 << 10 // octets that may wait to be written to a caller
	switchMost  = 512 << 10 // and to a switch
	writeWithin = 2 * time.Second

	// lingerMost is how long a connection that is closed is still read from, and what comes thrown away: closing a socket on
	// unread octets sends a reset, which destroys an answer that the far end has not read yet.
	lingerMost = 100 * time.Millisecond

	cancelsMost = 1024 // ids of CANCELs read on one connection that the owner has not seen yet
)

// wire is one connection and what waits to be written to it. No write is waited for: a far end that reads too slowly
// loses its connection.
type wire struct {
	id   b2bua.Conn
	c    net.Conn
	most int
	wake chan struct{}
	gone atomic.Bool // its reader has seen its end

	mu        sync.Mutex
	pending   []byte
	setUps    []span // set-ups among what is pending
	cancelled map[string]struct{}
	closing   bool
	wrote     bool
}

// span is where a set-up lies in what is pending.
type span struct {
	from, to int
	id       string
	seq      uint32
}

func newWire(id b2bua.Conn, c net.Conn, most int) *wire {
	return &wire{id: id, c: c, most: most, wake: make(chan struct{}, 1)}
}

// put queues a message. A CANCEL takes back its set-up where that has not gone out: it would begin long after its caller has
// left. False: too much waits already, and the connection is given up.
func (w *wire) put(m *sip.Message) bool {
	w.mu.Lock()
	if !w.closing && !(m.Method == sip.Cancel && w.takeBack(m)) {
		from := len(w.pending)
		w.pending = sip.Append(w.pending, m)
		if m.Method == sip.Invite {
			w.setUps = append(w.setUps, span{from, len(w.pending), m.CallID, m.CSeq})
		}
	}
	full := len(w.pending) > w.most
	w.mu.Unlock()
	if full {
		w.c.Close()
		return false
	}
	w.tell()
	return true
}

func (w *wire) takeBack(m *sip.Message) bool {
	i := slices.IndexFunc(w.setUps, func(s span) bool { return s.id == m.CallID && s.seq == m.CSeq })
	if i < 0 {
		return false
	}
	out := w.setUps[i]
	w.pending = slices.Delete(w.pending, out.from, out.to)
	w.setUps = slices.Delete(w.setUps, i, i+1)
	for j := i; j < len(w.setUps); j++ {
		w.setUps[j].from -= out.to - out.from
		w.setUps[j].to -= out.to - out.from
	}
	return true
}

// finish has the connection closed once what waits has been written.
func (w *wire) finish() {
	w.mu.Lock()
	w.closing = true
	w.mu.Unlock()
	w.tell()
}

func (w *wire) finishing() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.closing
}

// cancels notes a CANCEL as soon as it is read: it may lie a while until the owner sees it, and no try may begin meanwhile.
func (w *wire) cancels(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cancelled == nil {
		w.cancelled = map[string]struct{}{}
	}
	if len(w.cancelled) < cancelsMost {
		w.cancelled[id] = struct{}{}
	}
}

// seen forgets a CANCEL that the owner has before it.
func (w *wire) seen(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancelled, id)
}

// left tells that the far end has gone, or has cancelled a call, though the owner may not have seen so.
func (w *wire) left(id string) bool {
	if w.gone.Load() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.cancelled[id]
	return ok
}

func (w *wire) tell() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// write writes until the connection fails or is finished. Then the connection is closed, by its reader where that still reads on.
func (w *wire) write() {
	var buf []byte
	for range w.wake {
		w.mu.Lock()
		buf, w.pending, w.setUps = w.pending, buf[:0], w.setUps[:0]
		closing := w.closing
		w.wrote = w.wrote || len(buf) > 0
		w.mu.Unlock()
		if len(buf) > 0 {
			if err := w.c.SetWriteDeadline(time.Now().Add(writeWithin)); err != nil {
				break
			}
			if _, err := w.c.Write(buf); err != nil {
				break
			}
		}
		if closing {
			if w.wrote && w.halfClose() {
				return
			}
			break
		}
		if cap(buf) > 4<<10 { // a connection without traffic holds no buffer
			buf = nil
		}
	}
	w.c.Close()
}

// halfClose ends this side of the connection and has its reader stop soon. False: it cannot be done here.
func (w *wire) halfClose() bool {
	half, ok := w.c.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil && w.c.SetReadDeadline(time.Now().Add(lingerMost)) == nil
}
