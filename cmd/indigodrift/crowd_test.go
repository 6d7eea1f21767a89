package main

import (
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"indigodrift/internal/sip"
)

const (
	crowdClients  = 600  // more than the controller takes at once
	crowdSockets  = 1024 // the largest limit that the platform sets
	crowdDuration = 2500 * time.Millisecond
	crowdPause    = 20 * time.Millisecond // between the pieces of what is written slowly
)

// crowd is what each of hundreds of clients writes on a connection, piece by piece, before it connects again.
type crowd struct {
	name     string
	pieces   [][]byte
	pause    time.Duration // after each piece
	stay     bool          // keeps the connection until the controller closes it
	fullRate bool          // writes the pieces again and again
}

// cutIntoPieces cuts octets into pieces of a size.
func cutIntoPieces(text []byte, size int) (pieces [][]byte) {
	for len(text) > size {
		pieces, text = append(pieces, text[:size]), text[size:]
	}
	return append(pieces, text)
}

// encodedSetUp returns a set-up to an exchange that does not exist, with further header lines.
func encodedSetUp(lines, body string) []byte {
	m := floodSetUp("00000000000000c1", 1000, 900, "", body)
	return []byte(strings.Replace(string(sip.Append(nil, &m)), "\r\nCall-ID", lines+"\r\nCall-ID", 1))
}

func crowds() []crowd {
	const large = 15 << 10
	whole := encodedSetUp("", strings.Repeat("x", large))
	shortFields := encodedSetUp(strings.Repeat("\r\na:b", 50), strings.Repeat("x", large))
	manyFields := encodedSetUp(strings.Repeat("\r\na:", 3500), "")
	oneLongField := encodedSetUp("\r\nX: "+strings.Repeat("x", large), "")
	repeatedFields := encodedSetUp(strings.Repeat("\r\nl:1", 3000), "")
	return []crowd{
		{name: "half of a large request", pieces: [][]byte{whole[:len(whole)-1]}, stay: true},
		{name: "half of a large head", pieces: [][]byte{oneLongField[:large]}, stay: true},
		{name: "large requests written slowly", pieces: cutIntoPieces(whole, 256), pause: crowdPause},
		{name: "large heads written slowly", pieces: cutIntoPieces(oneLongField, 256), pause: crowdPause},
		{name: "heads of very many short fields", pieces: [][]byte{manyFields}, stay: true},
		{name: "heads of very many short fields written slowly", pieces: cutIntoPieces(manyFields, 256), pause: crowdPause},
		{name: "heads that repeat a field", pieces: [][]byte{repeatedFields}, stay: true},
		{name: "large requests with short fields at full speed", pieces: [][]byte{shortFields}, fullRate: true},
		{name: "large requests at full speed", pieces: [][]byte{whole}, fullRate: true},
		{name: "large heads at full speed", pieces: [][]byte{oneLongField}, fullRate: true},
		{name: "nothing", stay: true},
	}
}

// Guards against hundreds of clients that together bring the controller over its memory limit, or keep it from answering others,
// with what they write slowly, in part, or in very many fields.
func TestCrowdsHarmNoOtherCaller(t *testing.T) {
	for _, c := range crowds() {
		t.Run(c.name, func(t *testing.T) {
			env, process := startUnderFlood(t, crowdSockets)
			usual := env.caller()
			placeCalls(t, usual, 50*time.Millisecond) // a call of it stands
			stop := make(chan struct{})
			var clients sync.WaitGroup
			var written atomic.Uint64
			for range crowdClients {
				clients.Go(func() {
					connectAgainAndAgain(env.listen, stop, func(conn net.Conn) { c.runOn(conn, &written, stop) })
				})
			}
			peakKB := &atomic.Int64{}
			go samplePeak(process, peakKB, stop)
			calls := placeCalls(t, usual, crowdDuration)
			close(stop)
			clients.Wait()
			if peakKB.Load() > floodMemoryMB<<10 {
				t.Errorf("%d KiB of %d KiB used", peakKB.Load(), floodMemoryMB<<10)
			}
			t.Logf("%d pieces of the crowd, %d usual calls, %d KiB", written.Load(), calls, peakKB.Load())
		})
	}
}

// runOn writes the pieces on a connection, and reads what comes, until it ends or stop is closed.
func (c *crowd) runOn(conn net.Conn, written *atomic.Uint64, stop <-chan struct{}) {
	closed, finish := discardInput(conn)
	defer finish()
	for again := true; again; again = c.fullRate {
		for _, piece := range c.pieces {
			conn.SetWriteDeadline(time.Now().Add(time.Second))
			if _, err := conn.Write(piece); err != nil {
				return
			}
			written.Add(1)
			select {
			case <-closed:
				return
			case <-stop:
				return
			case <-time.After(c.pause):
			}
		}
	}
	if c.stay {
		select {
		case <-closed:
		case <-stop:
		}
	}
}
