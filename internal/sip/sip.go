// Package sip encodes and decodes the SIP messages that the platform uses (RFC 3261, sections 7, 18.3 and 20). The parser is
// strict, since the rest of a stream is worthless once one message was misread: lines end with CRLF, lengths are checked
// before memory is allocated, and a header field that sets a message's length or identity may appear only once.
package sip

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"
)

// MaxMessageSize is the maximum length of a message in octets.
const MaxMessageSize = 16 << 10

const (
	maxFields         = 64
	maxEmptyLines     = 8 // empty lines that are skipped before a message (RFC 3261, section 7.5)
	initialBufferSize = 2 << 10
	smallBufferSize   = 4 << 10
	largeBufferSize   = MaxMessageSize + initialBufferSize
	minFreeBuffer     = initialBufferSize / 4 // room that is left for a read
)

// Request methods.
const (
	Invite  = "INVITE"
	Ack     = "ACK"
	Bye     = "BYE"
	Cancel  = "CANCEL"
	Options = "OPTIONS"
	Notify  = "NOTIFY"
)

// Status codes, the bounds of their classes, and the names of the Content-Length header field in lower case.
const (
	OK                       = 200
	BadRequest               = 400
	CallDoesNotExist         = 481
	BusyHere                 = 486
	TemporarilyUnavailable   = 480
	RequestEntityTooLarge    = 413
	ServerInternalError      = 500
	ServiceUnavailable       = 503
	ServerTimeout            = 504
	minFinalStatus           = 200
	minStatus                = 100
	maxStatus                = 699
	minRejectionStatus       = 300
	contentLengthName        = "content-length"
	contentLengthCompactName = "l" // compact form (RFC 3261, section 7.3.3)
)

// Errors of Reader.Read.
var (
	ErrTooLong   = errors.New("message too long")
	ErrMalformed = errors.New("malformed message")
	ErrNoBuffer  = errors.New("no buffer for a large message")
)

// Field is one header field.
type Field struct{ Name, Value string }

// Message is a request or, if Status is not 0, a response.
type Message struct {
	Method     string
	URI        string
	Status     int
	CallID     string
	CSeq       uint32
	CSeqMethod string
	Fields     []Field // the other header fields, in order
	Body       []byte
}

// Provisional reports whether m is a provisional response.
func (m *Message) Provisional() bool { return m.Status != 0 && m.Status < minFinalStatus }

// Rejected reports whether m is a final response other than 2xx.
func (m *Message) Rejected() bool { return m.Status >= minRejectionStatus }

// Get returns the value of a header field, "" if it is absent. Names are case-insensitive.
func (m *Message) Get(name string) string {
	for _, f := range m.Fields {
		if strings.EqualFold(f.Name, name) {
			return f.Value
		}
	}
	return ""
}

// User returns the user part of the request URI (RFC 3261, section 19.1.1), "" if there is none.
func (m *Message) User() string {
	rest, ok := strings.CutPrefix(m.URI, "sip:")
	if !ok {
		return ""
	}
	user, _, ok := strings.Cut(rest, "@")
	if !ok {
		return ""
	}
	return user
}

// Response returns a response to the request m, without header fields or body.
func (m *Message) Response(status int) Message {
	return Message{Status: status, CallID: m.CallID, CSeq: m.CSeq, CSeqMethod: m.Method}
}

var reasonPhrases = map[int]string{OK: "OK", BadRequest: "Bad Request", CallDoesNotExist: "Call/Transaction Does Not Exist",
	BusyHere: "Busy Here", TemporarilyUnavailable: "Temporarily Unavailable", RequestEntityTooLarge: "Request Entity Too Large",
	ServerInternalError: "Server Internal Error", ServiceUnavailable: "Service Unavailable", ServerTimeout: "Server Time-out"}

// Append appends the encoding of a message to b.
func Append(b []byte, m *Message) []byte {
	method := m.CSeqMethod
	if m.Status != 0 {
		b = append(b, "SIP/2.0 "...)
		b = strconv.AppendInt(b, int64(m.Status), 10)
		b = append(b, ' ')
		b = append(b, reasonPhrases[m.Status]...)
	} else {
		method = m.Method
		b = append(b, m.Method...)
		b = append(b, ' ')
		b = append(b, m.URI...)
		b = append(b, " SIP/2.0"...)
	}
	b = append(b, "\r\nVia: SIP/2.0/TCP peer"...)
	if m.CallID != "" {
		b = append(b, "\r\nCall-ID: "...)
		b = append(b, m.CallID...)
	}
	if method != "" {
		b = append(b, "\r\nCSeq: "...)
		b = strconv.AppendUint(b, uint64(m.CSeq), 10)
		b = append(b, ' ')
		b = append(b, method...)
	}
	for _, f := range m.Fields {
		b = append(b, "\r\n"...)
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
	}
	b = append(b, "\r\nContent-Length: "...)
	b = strconv.AppendInt(b, int64(len(m.Body)), 10)
	b = append(b, "\r\n\r\n"...)
	return append(b, m.Body...)
}

// Reader reads messages from a stream.
type Reader struct {
	// OnPartial, if set, is called once for each message that is incomplete when the buffered octets are used up.
	OnPartial func()

	// BeforeLarge, if set, is called before a large buffer is allocated, for a message that does not fit into a small one.
	// Read returns ErrNoBuffer if it returns false.
	BeforeLarge func() bool

	// ReadSoon, if set, reads from the stream what is there, or arrives within a short time. It returns 0 and no error if
	// nothing does. With it, a message with a body is checked against the octets that follow it.
	ReadSoon func([]byte) (int, error)

	partialReported bool
	source          io.Reader
	buf             []byte // read but not yet parsed
	large           bool   // buf is a large one
	err             error  // of the stream, behind buf
}

// NewReader returns a Reader of the messages in r.
func NewReader(r io.Reader) *Reader { return &Reader{source: r} }

// Read returns the next message. After an error the stream can't be used any further. With ErrMalformed and ErrTooLong the
// message holds what could be parsed, so that a response can be sent. The error is io.EOF at the end of the stream between
// messages and io.ErrUnexpectedEOF within one. The message shares no memory with the Reader.
func (r *Reader) Read() (Message, error) {
	r.partialReported = false
	for emptyLines := 0; ; {
		for len(r.buf) >= 2 && r.buf[0] == '\r' && r.buf[1] == '\n' {
			if emptyLines++; emptyLines > maxEmptyLines {
				return Message{}, fmt.Errorf("%w: too many empty lines before the start line", ErrMalformed)
			}
			r.buf = r.buf[2:]
		}
		if end := bytes.Index(r.buf, []byte("\r\n\r\n")); end >= 0 {
			m, length, err := parseHeader(r.buf[:end])
			if err != nil {
				return m, err
			}
			messageLength := end + 4 + length
			if messageLength > MaxMessageSize {
				return m, fmt.Errorf("%w: %d octets", ErrTooLong, messageLength)
			}
			for len(r.buf) < messageLength {
				if err := r.fill(); err != nil {
					return m, err
				}
			}
			if length > 0 {
				m.Body = bytes.Clone(r.buf[end+4 : messageLength])
			}
			r.buf = r.buf[messageLength:]
			if length > 0 {
				err = r.checkFit(m.Body)
			}
			if len(r.buf) == 0 {
				r.buf = nil // idle connections keep no buffer
			}
			return m, err
		}
		if len(r.buf) > MaxMessageSize {
			return Message{}, fmt.Errorf("%w: no end of header within %d octets", ErrTooLong, len(r.buf))
		}
		if i := bytes.IndexByte(r.buf, '\n'); i >= 0 && !isStartLine(r.buf[:i]) { // rejects noise before a whole header has arrived
			return Message{}, fmt.Errorf("%w: start line %.40q", ErrMalformed, r.buf[:i])
		}
		if err := r.fill(); err != nil {
			return Message{}, err
		}
	}
}

// isStartLine reports whether a line can be a start line. Empty lines pass: they may precede a message.
func isStartLine(line []byte) bool {
	line = bytes.TrimSuffix(line, []byte("\r"))
	return len(line) == 0 || bytes.HasPrefix(line, []byte("SIP/2.0 ")) || bytes.HasSuffix(line, []byte(" SIP/2.0"))
}

// fill reads more octets into the buffer, which it enlarges if necessary.
func (r *Reader) fill() error {
	if len(r.buf) > 0 && !r.partialReported && r.OnPartial != nil {
		r.partialReported = true
		r.OnPartial()
	}
	n, err := 0, r.err
	if err == nil && !r.makeRoom() {
		err = ErrNoBuffer
	}
	if err == nil {
		n, err = r.source.Read(r.buf[len(r.buf):cap(r.buf)])
		r.buf = r.buf[:len(r.buf)+n]
	}
	switch {
	case n > 0:
		return nil
	case errors.Is(err, io.EOF) && len(r.buf) > 0:
		return io.ErrUnexpectedEOF
	case err == nil:
		return io.ErrNoProgress
	}
	return err
}

// makeRoom makes room for more octets in the buffer. It returns false if a large one is needed and may not be allocated.
func (r *Reader) makeRoom() bool {
	if cap(r.buf)-len(r.buf) >= minFreeBuffer {
		return true
	}
	size := largeBufferSize
	switch {
	case len(r.buf) == 0:
		size = initialBufferSize
	case len(r.buf)+minFreeBuffer <= smallBufferSize:
		size = smallBufferSize
	case !r.large:
		if r.BeforeLarge != nil && !r.BeforeLarge() {
			return false
		}
		r.large = true
	}
	r.moveTo(size)
	return true
}

// moveTo moves what is read and not yet parsed to a buffer of another size.
func (r *Reader) moveTo(size int) {
	next := make([]byte, len(r.buf), max(size, len(r.buf)+minFreeBuffer))
	copy(next, r.buf)
	r.buf = next
}

// Large reports whether the Reader has a large buffer.
func (r *Reader) Large() bool { return r.large }

// Shrink replaces a large buffer by a small one if what is read and not yet parsed fits, and reports whether it did.
func (r *Reader) Shrink() bool {
	if !r.large || len(r.buf)+minFreeBuffer > smallBufferSize {
		return false
	}
	r.large = false
	if len(r.buf) == 0 {
		r.buf = nil
	} else {
		r.moveTo(smallBufferSize)
	}
	return true
}

// parseHeader parses the start line and the header and returns the length of the body.
func parseHeader(b []byte) (m Message, length int, err error) {
	text := string(b)
	line, rest, _ := strings.Cut(text, "\r\n")
	if err := parseStartLine(&m, line); err != nil {
		return m, 0, err
	}
	var firstErr error
	fail := func(format string, a ...any) {
		if firstErr == nil {
			firstErr = fmt.Errorf("%w: "+format, append([]any{ErrMalformed}, a...)...)
		}
	}
	seen := struct{ length, id, seq bool }{}
	for n := 0; rest != ""; n++ {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, ok := strings.Cut(line, ":")
		name, value = strings.TrimRight(name, " \t"), strings.Trim(value, " \t")
		if !ok || !isToken(name) || !isPrintable(value) {
			fail("header line %.40q", line)
			continue
		}
		switch strings.ToLower(name) {
		case contentLengthName, contentLengthCompactName:
			v, err := strconv.ParseUint(value, 10, 32)
			if seen.length || err != nil {
				fail("Content-Length %.40q", value)
				continue
			}
			if seen.length = true; v > MaxMessageSize {
				if firstErr == nil {
					firstErr = fmt.Errorf("%w: Content-Length is %d", ErrTooLong, v)
				}
				continue
			}
			length = int(v)
		case "call-id", "i":
			if seen.id || value == "" {
				fail("Call-ID %.40q", value)
				continue
			}
			m.CallID, seen.id = value, true
		case "cseq":
			number, method, _ := strings.Cut(value, " ")
			v, err := strconv.ParseUint(number, 10, 32)
			if method = strings.Trim(method, " \t"); seen.seq || err != nil || !isToken(method) {
				fail("CSeq %.40q", value)
				continue
			}
			m.CSeq, m.CSeqMethod, seen.seq = uint32(v), method, true
		default:
			if n >= maxFields {
				fail("more than %d header fields", maxFields)
				return m, 0, firstErr
			}
			m.Fields = append(m.Fields, Field{name, value})
		}
	}
	if !seen.length {
		fail("Content-Length is missing")
	}
	return m, length, firstErr
}

// parseStartLine parses a request line or status line into m.
func parseStartLine(m *Message, line string) error {
	if rest, ok := strings.CutPrefix(line, "SIP/2.0 "); ok {
		code, reason, _ := strings.Cut(rest, " ")
		v, err := strconv.ParseUint(code, 10, 16)
		if err != nil || v < minStatus || v > maxStatus || !isPrintable(reason) {
			return fmt.Errorf("%w: status line %.40q", ErrMalformed, line)
		}
		m.Status = int(v)
		return nil
	}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !isToken(parts[0]) || parts[1] == "" || !isPrintable(parts[1]) || parts[2] != "SIP/2.0" {
		return fmt.Errorf("%w: start line %.40q", ErrMalformed, line)
	}
	m.Method, m.URI = parts[0], parts[1]
	return nil
}

// isToken reports whether s is a token (RFC 3261, section 25.1).
func isToken(s string) bool {
	for i := range len(s) {
		c := s[i]
		if !(c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.IndexByte("-.!%*_+`'~", c) >= 0) {
			return false
		}
	}
	return s != ""
}

// isPrintable reports whether s is free of control characters other than tabs.
func isPrintable(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}
