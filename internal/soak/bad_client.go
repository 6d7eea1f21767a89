package soak

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"time"

	"indigodrift/internal/sip"
)

const (
	badClientTimeout   = 3 * time.Second // for the error answer or close
	badCallPrefix      = "bad"           // of the call ids of bad clients
	numCancelledSetUps = 200             // set-ups that one client sends and cancels at once
)

// badInputs are the inputs of bad clients. A controller must answer each with an error or close the connection, and must never answer 200.
var badInputs = []struct {
	name    string
	payload func(id string) []byte
}{
	{"nothing", func(string) []byte { return nil }},
	{"noise", func(string) []byte { return bytes.Repeat([]byte{0, 255, '\r', 'x'}, 100) }},
	{"half a message", func(id string) []byte {
		m := setUpTemplate(id)
		b := sip.Append(nil, &m)
		return b[:len(b)/2]
	}},
	{"an endless line", func(string) []byte { return bytes.Repeat([]byte("INVITE "), 4000) }},
	{"a negative length", func(string) []byte {
		return []byte("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: -5\r\n\r\n")
	}},
	{"a huge length", func(string) []byte {
		return []byte("INVITE sip:1@net SIP/2.0\r\nCall-ID: 1\r\nCSeq: 1 INVITE\r\nContent-Length: 60000000\r\n\r\n")
	}},
	{"an unknown bearer type", func(id string) []byte {
		m := setUpTemplate(id)
		m.Fields[0].Value = "no such class"
		return sip.Append(nil, &m)
	}},
	{"an abandon time that is not a number", func(id string) []byte {
		m := setUpTemplate(id)
		m.Fields[1].Value = "NaN"
		return sip.Append(nil, &m)
	}},
	{"no call id", func(string) []byte {
		m := setUpTemplate("")
		return sip.Append(nil, &m)
	}},
	{"values out of range", func(id string) []byte {
		m := setUpTemplate(id)
		m.Fields[2].Value = "dest:70000;width:-3;via:99999999999"
		return sip.Append(nil, &m)
	}},
	{"two set-ups with the same call id", func(id string) []byte {
		m := setUpTemplate(id)
		m.Fields[0].Value = "no such class"
		return sip.Append(sip.Append(nil, &m), &m)
	}},
	{"a release of an unknown call", func(id string) []byte {
		m := setUpTemplate(id)
		m.Method, m.CSeqMethod = sip.Bye, sip.Bye
		return sip.Append(nil, &m)
	}},
	{"set-ups with an unknown bearer type, cancelled at once", func(id string) []byte {
		var all []byte
		for i := range numCancelledSetUps {
			m := setUpTemplate(fmt.Sprintf("%s%04x", id[:12], i))
			m.Fields[0].Value = "no such class"
			all = sip.Append(all, &m)
			m.Method, m.CSeqMethod = sip.Cancel, sip.Cancel
			all = sip.Append(all, &m)
		}
		return all
	}},
}

// setUpTemplate returns a valid set-up for the inputs to modify.
func setUpTemplate(id string) sip.Message {
	return sip.Message{Method: sip.Invite, URI: "sip:7f3a9c21e0b4d655@net", CallID: id, CSeq: 1, CSeqMethod: sip.Invite, Body: []byte("offer"),
		Fields: []sip.Field{{Name: "Priority-Class", Value: bearerName}, {Name: "Expires-Ms", Value: "500"}, {Name: "P-Trunk-Info", Value: "dest:1;width:1;via:-1"}}}
}

// runBadClient connects, sends a random bad input and records the reaction: the status of the answer, 1 for a close or 0 for a time-out.
func runBadClient(log *Log, controller int, address string, random *rand.Rand) {
	input := badInputs[random.IntN(len(badInputs))]
	id := fmt.Sprintf(badCallPrefix+"%05x%08x", controller, random.Uint32())
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	startTime := log.Now()
	_ = conn.SetDeadline(time.Now().Add(2 * badClientTimeout)) // if it fails, so does the read
	_, _ = conn.Write(input.payload(id))                       // fails if the controller closes the connection, as it may
	reader := sip.NewReader(conn)
	response, err := reader.Read()
	for err == nil && response.Status == 0 { // skips releases
		response, err = reader.Read()
	}
	status := response.Status
	if err != nil && !isTimeout(err) {
		status = 1 // connection closed
	}
	log.Add(Event{Kind: BadClientServed, Controller: controller, Status: status, Duration: log.Now() - startTime, Detail: input.name})
}

// isTimeout reports whether a read or write timed out.
func isTimeout(err error) bool {
	netErr, ok := err.(net.Error) //nolint:errorlint // the connection returns it unwrapped
	return ok && netErr.Timeout()
}

// connectIdle connects and sends nothing until the controller closes the connection or the run ends.
func connectIdle(address string, done <-chan struct{}) {
	conn, err := net.DialTimeout("tcp", address, dialTimeout)
	if err != nil {
		return
	}
	defer conn.Close()
	closed := make(chan struct{})
	go func() {
		var b [1]byte
		_, _ = conn.Read(b[:]) // returns at the end of the connection
		close(closed)
	}()
	select {
	case <-closed:
	case <-done:
	}
}
