package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// msg is one SIP message.
type msg struct {
	method string // of a request
	uri    string
	status int // of an answer
	callID string
	cseq   int
	cseqOf string // the method in CSeq
	fields [][2]string
	body   []byte
}

func (m *msg) get(name string) string {
	for _, f := range m.fields {
		if strings.EqualFold(f[0], name) {
			return f[1]
		}
	}
	return ""
}

func (m *msg) bytes() []byte {
	var b strings.Builder
	of := m.cseqOf
	if m.status != 0 {
		fmt.Fprintf(&b, "SIP/2.0 %d X\r\n", m.status)
	} else {
		fmt.Fprintf(&b, "%s %s SIP/2.0\r\n", m.method, m.uri)
		of = m.method
	}
	fmt.Fprintf(&b, "Via: SIP/2.0/TCP peer\r\nCall-ID: %s\r\nCSeq: %d %s\r\n", m.callID, m.cseq, of)
	for _, f := range m.fields {
		fmt.Fprintf(&b, "%s: %s\r\n", f[0], f[1])
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n", len(m.body))
	return append([]byte(b.String()), m.body...)
}

var errMessage = errors.New("not a message")

// readMsg reads one message.
func readMsg(r *bufio.Reader) (*msg, error) {
	line := func() (string, error) {
		s, err := r.ReadString('\n')
		return strings.TrimRight(s, "\r\n"), err
	}
	first, err := line()
	for err == nil && first == "" {
		first, err = line()
	}
	if err != nil {
		return nil, err
	}
	m := &msg{}
	parts := strings.SplitN(first, " ", 3)
	switch {
	case len(parts) >= 2 && parts[0] == "SIP/2.0":
		if m.status, err = strconv.Atoi(parts[1]); err != nil {
			return nil, errMessage
		}
	case len(parts) == 3 && parts[2] == "SIP/2.0":
		m.method, m.uri = parts[0], parts[1]
	default:
		return nil, errMessage
	}
	length := 0
	for {
		s, err := line()
		if err != nil {
			return nil, io.ErrUnexpectedEOF
		}
		if s == "" {
			break
		}
		name, value, ok := strings.Cut(s, ":")
		if !ok {
			return nil, errMessage
		}
		value = strings.TrimSpace(value)
		switch strings.ToLower(name) {
		case "content-length":
			if length, err = strconv.Atoi(value); err != nil || length < 0 || length > 16<<10 {
				return nil, errMessage
			}
		case "call-id":
			m.callID = value
		case "cseq":
			n, of, _ := strings.Cut(value, " ")
			m.cseq, _ = strconv.Atoi(n)
			m.cseqOf = of
		default:
			m.fields = append(m.fields, [2]string{name, value})
		}
	}
	if length > 0 {
		m.body = make([]byte, length)
		if _, err := io.ReadFull(r, m.body); err != nil {
			return nil, io.ErrUnexpectedEOF
		}
	}
	return m, nil
}

// wire is a connection that messages are written to whole.
type wire struct {
	c  net.Conn
	mu sync.Mutex
}

func (w *wire) send(m *msg) error { return w.write(m.bytes()) }

func (w *wire) write(b []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.c.SetWriteDeadline(time.Now().Add(5 * time.Second))
	_, err := w.c.Write(b)
	return err
}

// reset ends the connection with a reset.
func (w *wire) reset() {
	if t, ok := w.c.(*net.TCPConn); ok {
		t.SetLinger(0)
	}
	w.c.Close()
}
