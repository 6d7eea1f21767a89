package sip

import (
	"bytes"
	"fmt"
	"slices"
)

const (
	version = "SIP/2.0"

	// maxSoonReads bounds how often a message waits for the octets behind it to show whether they begin another one.
	maxSoonReads = 4
)

// methods holds the methods of SIP (RFC 3261, section 7.1, and its extensions).
var methods = []string{Invite, Ack, Bye, Cancel, Options, Notify, "REGISTER", "SUBSCRIBE", "UPDATE", "INFO", "PRACK", "REFER", "MESSAGE", "PUBLISH"}

// checkFit checks that the length of a message with a body fits. A length that is too small leaves the rest of the body
// where the next message has to begin; one that is too large takes in the beginning of the next message.
func (r *Reader) checkFit(body []byte) error {
	if line := startLineIn(body); line != nil {
		return fmt.Errorf("%w: the body holds the start line %.40q", ErrMalformed, line)
	}
	for range maxSoonReads {
		if bytes.IndexByte(r.buf, '\n') >= 0 || !r.fillSoon() {
			break
		}
	}
	if !mayFollow(body, r.buf) {
		return fmt.Errorf("%w: the body is followed by %.40q", ErrMalformed, r.buf)
	}
	return nil
}

// startLineIn returns the first start line that a body holds, nil if there is none.
func startLineIn(body []byte) []byte {
	if !bytes.Contains(body, []byte(version)) { // almost always
		return nil
	}
	for line := range bytes.Lines(body) {
		if line = bytes.TrimRight(line, "\r\n"); startsMessage(line) {
			return line
		}
	}
	return nil
}

// fillSoon reads what arrives soon. It returns false if nothing did.
func (r *Reader) fillSoon() bool {
	if r.ReadSoon == nil || r.err != nil {
		return false
	}
	if cap(r.buf)-len(r.buf) < minFreeBuffer {
		r.moveTo(len(r.buf) + initialBufferSize)
	}
	n, err := r.ReadSoon(r.buf[len(r.buf):cap(r.buf)])
	r.buf, r.err = r.buf[:len(r.buf)+n], err
	return n > 0
}

// mayFollow reports whether octets may follow a body: the beginning of a message, complete or not, or an empty line behind a
// body that ends with the end of a line.
func mayFollow(body, following []byte) bool {
	line, _, complete := bytes.Cut(following, []byte("\n"))
	line = bytes.TrimSuffix(line, []byte("\r"))
	switch {
	case len(following) == 0:
		return true
	case len(line) == 0:
		return bytes.HasSuffix(body, []byte("\r\n"))
	case complete:
		return startsMessage(line)
	}
	first, _, more := bytes.Cut(line, []byte(" "))
	return startWord(string(first), more)
}

// startWord reports whether a word, whole or cut off, may be the first one of a start line.
func startWord(word string, whole bool) bool {
	if whole {
		return word == version || slices.Contains(methods, word)
	}
	begins := func(name string) bool { return len(word) <= len(name) && name[:len(word)] == word }
	return begins(version) || slices.ContainsFunc(methods, begins)
}

// startsMessage reports whether a line is the start line of a message.
func startsMessage(line []byte) bool {
	first, _, _ := bytes.Cut(line, []byte(" "))
	return startWord(string(first), true) && parseStartLine(&Message{}, string(line)) == nil
}
