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
	callerMost  = 256 << 10 // octets queued for one caller connection
	switchMost  = 512 << 10 // octets queued for one switch connection
	writeWithin = 2 * time.Second

	// lingerMost is how long input is still read and discarded after the write side is closed: closing a socket with unread
	// input sends a reset, which destroys an answer that the peer has not read yet.
	lingerMost = 100 * time.Millisecond

	cancelsMost = 1024 // CANCELs read on one connection and not yet handled by the event loop
)

// wire is one connection with its write queue. Queueing never blocks: a peer that reads too slowly loses its
// connection.
type wire struct {
	id   b2bua.Conn
	c    net.Conn
	most int
	wake chan struct{}
	gone atomic.Bool // the reader has seen the end of the stream

	mu        sync.Mutex
	pending   []byte
	setUps    []span // set-ups in pending
	cancelled map[string]struct{}
	closing   bool
	wrote     bool
}

// span is the position of a set-up in the queued octets.
type span struct {
	from, to int
	id       string
	seq      uint32
}

func newWire(id b2bua.Conn, c net.Conn, most int) *wire {
	return &wire{id: id, c: c, most: most, wake: make(chan struct{}, 1)}
}

// put queues a message. A CANCEL removes its set-up from the queue if that is not written yet: the try would begin long after
// its caller has left. It returns false if the queue is full, and closes the connection.
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

// takeBack removes the set-up that a CANCEL names from the queue.
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

// finish closes the connection after writing what is queued.
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

// cancels records a CANCEL as soon as it is read: it may wait in the inbox, and no try may begin meanwhile.
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

// seen removes the record of a CANCEL that the event loop has handled.
func (w *wire) seen(id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.cancelled, id)
}

// left reports whether the peer has closed the connection or cancelled a call, even if the event loop has not seen that.
func (w *wire) left(id string) bool {
	if w.gone.Load() {
		return true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	_, ok := w.cancelled[id]
	return ok
}

// tell wakes the writer.
func (w *wire) tell() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// write is the writer: it writes until the connection fails or finish is called, and closes the connection or, after a half-close,
// leaves that to the reader.
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
		if cap(buf) > 4<<10 { // idle connections keep no large buffer
			buf = nil
		}
	}
	w.c.Close()
}

// halfClose closes the write side of the connection and sets a deadline for its reader. It returns false if that fails.
func (w *wire) halfClose() bool {
	half, ok := w.c.(interface{ CloseWrite() error })
	return ok && half.CloseWrite() == nil && w.c.SetReadDeadline(time.Now().Add(lingerMost)) == nil
}
