package sip

import (
	"errors"
	"strings"
	"testing"
)

const description = "v=0\r\nm=audio 31000 RTP/AVP 0\r\na=recvonly\r\n"

// answerWithLength returns the encoding of an answer whose Content-Length differs from that of its description.
func answerWithLength(callID string, excess int) string {
	m := Message{Status: OK, CallID: callID, CSeq: 1, CSeqMethod: Invite, Body: []byte(description)}
	text := string(Append(nil, &m))
	changed := Message{Status: OK, CallID: callID, CSeq: 1, CSeqMethod: Invite, Body: make([]byte, len(description)+excess)}
	head, _, _ := strings.Cut(string(Append(nil, &changed)), "\r\n\r\n")
	_, body, _ := strings.Cut(text, "\r\n\r\n")
	return head + "\r\n\r\n" + body
}

// Guards against a body that is passed on without its end, or with the octets of another message, because its length does not
// fit, whichever octets follow and however they arrive.
func TestBodyWhoseLengthDoesNotFitIsRejected(t *testing.T) {
	another := Message{Status: OK, CallID: "9b1f03aa5c7e2d42", CSeq: 1, CSeqMethod: Invite, Body: []byte(description)}
	report := Message{Method: Notify, URI: "sip:x@net", CallID: "0", CSeq: 1}
	for name, next := range map[string]string{"nothing": "", "an answer": string(Append(nil, &another)), "a report": string(Append(nil, &report))} {
		for excess := -len(description) + 1; excess <= len(next); excess++ {
			text := answerWithLength("9b1f03aa5c7e2d41", excess) + next
			for _, split := range []int{len(text), strings.Index(text, "\r\n\r\n") + 4 + len(description) + excess} {
				m, err := newSplitReader(text, split).Read()
				if ok := errors.Is(err, ErrMalformed); ok != (excess != 0) || m.CallID != "9b1f03aa5c7e2d41" {
					t.Errorf("%s follows, length off by %d, split at %d: body %q, %v", name, excess, split, m.Body, err)
				}
			}
		}
	}
}

// newSplitReader returns a Reader of a text of which the part from split on is there only soon after the part before.
func newSplitReader(text string, split int) *Reader {
	now, soon := strings.NewReader(text[:split]), strings.NewReader(text[split:])
	r := NewReader(now)
	r.ReadSoon = func(buf []byte) (int, error) {
		if soon.Len() == 0 {
			return 0, nil
		}
		return soon.Read(buf)
	}
	return r
}

// Guards against rejecting what may follow a body.
func TestBodyMayBeFollowedByAnythingThatBeginsAMessage(t *testing.T) {
	const body = "v=0\r\n"
	for _, following := range []string{"", "\r\n", "\r\n\r\n", "S", "SIP/2.0 1", "B", "BYE ", "BYE sip:x@net SIP/2.0", "\r\nBYE sip:x@net SIP/2.0\r\n", "SIP/2.0 200 OK\r\n"} {
		if !mayFollow([]byte(body), []byte(following)) {
			t.Errorf("rejected: %q", following)
		}
	}
	for _, following := range []string{"a=", "a=recvonly\r\n", "\x00", "IP/2.0 200 OK\r\n", "YE sip:x@net SIP/2.0\r\n", "@net SIP/2.0\r\n", " ", "SIP/2.0 9999\r\n"} {
		if mayFollow([]byte(body), []byte(following)) {
			t.Errorf("passed: %q", following)
		}
	}
}
