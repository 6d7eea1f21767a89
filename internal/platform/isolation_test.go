package platform

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"strings"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/board"
	"indigodrift/internal/sip"
	"indigodrift/internal/sip/siptest"
)

// Guards against one client whose announcements make the controller close the connections of others, with set-ups open on
// them: their releases, which nobody confirms, filled the write queues of all connections within one step of the event loop.
func TestAnnouncementsOfOneClientCloseNoOtherConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, sw, usual := startServing(t)
		sw.Send(siptest.LoadReport(100, 100))
		flooder := h.connectCaller()
		var text []byte
		for n := range 4000 {
			m := siptest.SetUp(testCallID(1<<20+n), "voice", 2500, "dest:1;width:1;via:-1;at:s-0badcafe", "")
			text = sip.Append(text, &m)
		}
		flooder.SendRaw(string(text))
		go discardMessages(flooder)
		time.Sleep(190 * time.Millisecond)
		usual.Send(setUp(callID1, 1000)) // open during the round in which releases go to other connections
		first := sw.Expect(sip.Invite)
		another := h.connectCaller()
		another.Send(setUp(callID2, 1000)) // its first set-up: pending releases are offered on its connection
		second := sw.Expect(sip.Invite)
		time.Sleep(20 * time.Millisecond)
		sw.Answer(first, "first answer")
		sw.Answer(second, "second answer")
		for name, p := range map[string]*siptest.Peer{"the open set-up of the usual caller": usual, "a set-up on a new connection": another} {
			if !answeredAmongReleases(p) {
				t.Errorf("%s: the connection was closed without an answer", name)
			}
			go discardMessages(p)
		}
		h.shutDown()
		if log := h.log.String(); strings.Contains(log, "reads too slowly") || strings.Contains(log, "too much is queued") {
			t.Error("a connection was closed for its queue")
		}
	})
}

// answeredAmongReleases reads releases until the answer to a set-up comes. It returns false if none comes.
func answeredAmongReleases(p *siptest.Peer) bool {
	for {
		m, ok := p.Receive(100 * time.Millisecond)
		if !ok || m.Status != 0 {
			return ok && m.Status == sip.OK
		}
	}
}

// discardMessages reads until nothing comes for a second.
func discardMessages(p *siptest.Peer) {
	for {
		if _, ok := p.Receive(time.Second); !ok {
			return
		}
	}
}

// Guards against a crowd of callers that read nothing and together take more memory than the process has: the octets queued
// for all connections have a common bound, beyond which those go first that do not read.
func TestQueuedOctetsOfAllConnectionsAreBounded(t *testing.T) {
	server := newTestServer(t)
	reader, blocked := addTestConn(t, server), addTestConn(t, server)
	message := sip.Message{Method: sip.Bye, URI: "sip:x@net", CallID: callID1, CSeq: 1, Body: make([]byte, 15<<10)}
	blocked.enqueue(&message)
	blocked.takeQueue(nil) // its writer is in a write that the peer does not take
	blocked.writeStartedAt = blocked.writeStartedAt.Add(-unreadTimeout)
	limit := int(server.writeBudget.limit)
	for reader.queuedOctets() < limit*2/5 { // more than what the other has
		reader.enqueue(&message)
	}
	for range 10 {
		other := addTestConn(t, server)
		for other.queuedOctets() < limit/10 && !server.writeBudget.exceeded() {
			other.enqueue(&message)
		}
	}
	if !server.writeBudget.exceeded() {
		t.Fatalf("%d of %d octets queued", server.writeBudget.used.Load(), limit)
	}
	server.closeLargestQueues()
	if !blocked.discarded || server.writeBudget.exceeded() {
		t.Errorf("the connection that is not read is closed: %v; %d of %d octets queued", blocked.discarded, server.writeBudget.used.Load(), limit)
	}
	if blocked.enqueue(&message); blocked.queuedOctets() != 0 {
		t.Errorf("%d octets queued on a closed connection", blocked.queuedOctets())
	}
}

// Guards against a notice board that tells long lists faster than they are handled: few of them wait in the inbox.
func TestFewEventsOfTheNoticeBoardWaitInTheInbox(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		server := newTestServer(t)
		for range 3 * maxQueuedBoardEvents {
			go server.postBoardEvent(board.Event{})
		}
		synctest.Wait()
		queued := 0
		for range len(server.inbox) {
			if e := <-server.inbox; e.kind == boardEvent {
				queued++
			}
		}
		if queued != maxQueuedBoardEvents {
			t.Errorf("%d events wait", queued)
		}
		server.cancelRun()
	})
}

// newTestServer creates a controller that is not run.
func newTestServer(t *testing.T) *Server {
	config, err := ParseConfig(fmt.Appendf(nil, configTemplate, 256))
	if err != nil {
		t.Fatal(err)
	}
	unreachable := func(context.Context, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	server := New(config, newPolicy, unreachable, slog.New(slog.DiscardHandler))
	t.Cleanup(func() {
		close(server.stopped)
		server.goroutines.Wait()
	})
	return server
}

// addTestConn adds a connection without reader and writer.
func addTestConn(t *testing.T, server *Server) *connection {
	local, remote := net.Pipe()
	t.Cleanup(func() { local.Close(); remote.Close() })
	return server.addConn(local)
}
