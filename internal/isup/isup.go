// Package isup encodes and decodes messages of the ISDN user part (ITU-T Q.763). It holds no state and does no I/O; the
// procedures of Q.764 are in internal/circuit. docs/protocol.md lists the octets of each message and all departures from
// the standard.
package isup

import (
	"encoding/binary"
	"errors"
	"fmt"
)

// Type is the message type code (Q.763, table 4).
type Type uint8

// Message types in use.
const (
	IAM Type = 0x01 // initial address
	ACM Type = 0x06 // address complete
	ANM Type = 0x09 // answer
	REL Type = 0x0c // release
	RLC Type = 0x10 // release complete
	RSC Type = 0x12 // reset circuit
	BLO Type = 0x13 // blocking
	UBL Type = 0x14 // unblocking
	BLA Type = 0x15 // blocking acknowledgement
	UBA Type = 0x16 // unblocking acknowledgement
	GRS Type = 0x17 // circuit group reset
	GRA Type = 0x29 // circuit group reset acknowledgement
	CQM Type = 0x2a // circuit group query
	CQR Type = 0x2b // circuit group query response
)

var typeNames = map[Type]string{IAM: "IAM", ACM: "ACM", ANM: "ANM", REL: "REL", RLC: "RLC", RSC: "RSC", BLO: "BLO",
	UBL: "UBL", BLA: "BLA", UBA: "UBA", GRS: "GRS", GRA: "GRA", CQM: "CQM", CQR: "CQR"}

// String returns the acronym of the message type.
func (t Type) String() string {
	if n, ok := typeNames[t]; ok {
		return n
	}
	return fmt.Sprintf("type %02x", uint8(t))
}

// Cause is a Q.850 cause value.
type Cause uint8

// Cause values in use.
const (
	NormalClearing    Cause = 16
	UserBusy          Cause = 17
	NoAnswer          Cause = 19 // no answer from the called user
	OutOfOrder        Cause = 27 // destination out of order
	NormalUnspecified Cause = 31
	NoCircuit         Cause = 34
	NetworkOutOfOrder Cause = 38
	TemporaryFailure  Cause = 41
	Congestion        Cause = 42 // switching equipment congestion
	TimerExpiry       Cause = 102
)

// Location is the place where a cause was generated (Q.850, table 2).
type Location uint8

// Locations in use.
const (
	User         Location = 0
	LocalNetwork Location = 2
	Transit      Location = 3
	Remote       Location = 4
)

const (
	// CICMost is the highest circuit identification code (12 bits, Q.763 1.2).
	CICMost = 1<<12 - 1
	// PerMultiplex is the number of circuits of a 2048 kbit/s system: time slots 1 to 31 of CIC 32*m to 32*m+31.
	PerMultiplex = 31
	// DigitsMost is the greatest number of digits of a called or calling number.
	DigitsMost = 24
	// WidthMost is the greatest width of a multirate call: 30 x 64 kbit/s.
	WidthMost = 30

	paramReference = 0x01
	paramCaller    = 0x0a
	paramUser      = 0x20
	paramMap       = 0x25
	paramHops      = 0x3d

	mapOf2048 = 1
)

// Reference identifies a call in the whole network: the originating exchange, and its identity there.
type Reference struct {
	Point    uint16 // point code of the originating exchange
	Identity uint32 // 24 bits
}

// Message is one ISUP message. Fields that its type does not carry are zero.
type Message struct {
	CIC      uint16
	Type     Type
	Digits   string    // called party number (IAM)
	Caller   string    // calling party number, "" if not given (IAM)
	Width    int       // N of N x 64 kbit/s (IAM)
	Slots    uint32    // bit t-1 set: time slot t of the multiplex is part of a multirate call (IAM)
	Hops     uint8     // hop counter: exchanges that the call may still cross (IAM)
	Ref      Reference // IAM
	Cause    Cause     // REL
	Location Location  // REL
	Range    uint8     // number of circuits after CIC that a group message covers (GRS, GRA, CQM, CQR)
	States   string    // circuit state indicators of the Range+1 circuits, one octet each (CQR; Q.763, 3.14)
	Says     Says      // user-to-user information, for data that ISUP has no parameter for
}

// Circuit state indicators of a CQR (Q.763, 3.14). Bits D and C hold the call processing state, bits B and A the blocking
// state.
const (
	Transient    = 0x00 // release or reset in progress
	Unequipped   = 0x03
	IncomingBusy = 0x04
	OutgoingBusy = 0x08
	CircuitIdle  = 0x0c
	Processing   = 0x0c // mask of the call processing state
)

// ErrMessage is wrapped by all errors about malformed messages.
var ErrMessage = errors.New("malformed ISUP message")

// bad returns an error that wraps ErrMessage.
func bad(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMessage}, args...)...)
}

// requirement returns the transmission medium requirement for n x 64 kbit/s (Q.763, 3.54).
func requirement(n int) (byte, bool) {
	switch {
	case n == 1:
		return 0, true
	case n == 2:
		return 7, true
	case n == 6:
		return 8, true
	case n == 24:
		return 9, true
	case n == 30:
		return 10, true
	case n >= 3 && n <= 29:
		return byte(n + 13), true
	}
	return 0, false
}

// widthOf returns the number of 64 kbit/s channels for a transmission medium requirement.
func widthOf(requirement byte) (int, bool) {
	switch r := int(requirement); {
	case r == 0 || r == 2 || r == 3:
		return 1, true
	case r == 7:
		return 2, true
	case r == 8:
		return 6, true
	case r == 9:
		return 24, true
	case r == 10:
		return 30, true
	case r >= 16 && r <= 42 && r != 19 && r != 37:
		return r - 13, true
	}
	return 0, false
}

// Append appends the encoding of m to buf.
func Append(buf []byte, m Message) ([]byte, error) {
	at := len(buf)
	if m.CIC > CICMost {
		return buf, bad("circuit %d is above the maximum %d", m.CIC, CICMost)
	}
	buf = binary.LittleEndian.AppendUint16(buf, m.CIC)
	buf = append(buf, byte(m.Type))
	switch m.Type {
	case IAM:
		medium, ok := requirement(m.Width)
		if !ok {
			return buf[:at], bad("unsupported width %d", m.Width)
		}
		if len(m.Digits) == 0 || len(m.Digits) > DigitsMost {
			return buf[:at], bad("called number of %d digits, must have 1 to %d", len(m.Digits), DigitsMost)
		}
		// nature of connection; forward call indicators (ISUP all the way); ordinary subscriber; medium; pointers
		buf = append(buf, 0, 0x60, 0x01, 10, medium, 2, 0)
		pointer := len(buf) - 1
		if buf, ok = appendNumber(buf, m.Digits, 0x10); !ok { // E.164 plan
			return buf[:at], bad("invalid called number %q", m.Digits)
		}
		buf[pointer] = byte(len(buf) - pointer)
		if m.Caller != "" {
			if buf, ok = appendNumber(append(buf, paramCaller), m.Caller, 0x13); !ok || len(m.Caller) > DigitsMost { // presented, network provided
				return buf[:at], bad("invalid calling number %q", m.Caller)
			}
		}
		if m.Ref != (Reference{}) {
			buf = append(buf, paramReference, 5, byte(m.Ref.Identity>>16), byte(m.Ref.Identity>>8), byte(m.Ref.Identity),
				byte(m.Ref.Point), byte(m.Ref.Point>>8))
		}
		if m.Slots != 0 {
			buf = append(buf, paramMap, 5, mapOf2048)
			buf = binary.LittleEndian.AppendUint32(buf, m.Slots)
		}
		if m.Hops != 0 {
			buf = append(buf, paramHops, 1, m.Hops&31)
		}
		buf = m.Says.appendTo(buf)
		buf = append(buf, 0)
	case ACM:
		buf = optional(append(buf, 0x16, 0x14, 0), m)
	case ANM, RLC:
		buf = optional(append(buf, 0), m)
	case REL:
		buf = append(buf, 2, 0, 2, 0x80|byte(m.Location), 0x80|byte(m.Cause))
		pointer := len(buf) - 4
		if m.Says.any() {
			buf[pointer] = 4
			buf = append(m.Says.appendTo(buf), 0)
		}
	case GRS:
		buf = append(buf, 1, 1, m.Range)
	case GRA:
		status := int(m.Range)/8 + 1
		buf = append(buf, 1, byte(1+status), m.Range)
		buf = append(buf, make([]byte, status)...)
	case CQM:
		buf = append(buf, 1, 1, m.Range)
	case CQR:
		if len(m.States) != int(m.Range)+1 || m.Range >= 32 {
			return buf[:at], bad("CQR of range %d with %d states", m.Range, len(m.States))
		}
		buf = append(buf, 2, 3, 1, m.Range, byte(len(m.States)))
		buf = append(buf, m.States...)
	case RSC, BLO, UBL, BLA, UBA:
	default:
		return buf[:at], bad("%v cannot be sent", m.Type)
	}
	return buf, nil
}

// optional appends the optional part of a message whose last octet is the pointer to it.
func optional(buf []byte, m Message) []byte {
	if !m.Says.any() {
		return buf
	}
	buf[len(buf)-1] = 1
	return append(m.Says.appendTo(buf), 0)
}

// appendNumber appends the length and the octets of a national number; false if a character is no address signal.
func appendNumber(buf []byte, digits string, plan byte) ([]byte, bool) {
	odd := byte(len(digits)%2) << 7
	buf = append(buf, byte(2+(len(digits)+1)/2), odd|3, plan)
	for i := 0; i < len(digits); i += 2 {
		pair, ok := digit(digits[i])
		if ok && i+1 < len(digits) {
			var high byte
			high, ok = digit(digits[i+1])
			pair |= high << 4
		}
		if !ok {
			return buf, false
		}
		buf = append(buf, pair)
	}
	return buf, true
}

// digit returns the address signal for a character.
func digit(c byte) (byte, bool) {
	switch {
	case c >= '0' && c <= '9':
		return c - '0', true
	case c == 'B': // code 11
		return 11, true
	case c == 'C': // code 12
		return 12, true
	}
	return 0, false
}

// Decode decodes one message. Unknown optional parameters are ignored.
func Decode(b []byte) (Message, error) {
	if len(b) < 3 {
		return Message{}, bad("message of %d octets", len(b))
	}
	m := Message{CIC: binary.LittleEndian.Uint16(b), Type: Type(b[2])}
	if m.CIC > CICMost {
		return m, bad("circuit identification code %04x", m.CIC)
	}
	b = b[3:]
	switch m.Type {
	case IAM:
		if len(b) < 7 {
			return m, bad("IAM of %d octets after the type", len(b))
		}
		var ok bool
		if m.Width, ok = widthOf(b[4]); !ok {
			return m, bad("unknown transmission medium requirement %d", b[4])
		}
		number, err := variable(b, 5, "called party number")
		if err != nil {
			return m, err
		}
		if m.Digits, err = digits(number); err != nil {
			return m, err
		}
		return m, m.options(b, 6)
	case ACM:
		if len(b) < 3 {
			return m, bad("ACM of %d octets after the type", len(b))
		}
		return m, m.options(b, 2)
	case ANM, RLC:
		if len(b) < 1 {
			return m, bad("%v without its pointer", m.Type)
		}
		return m, m.options(b, 0)
	case REL:
		cause, err := variable(b, 0, "cause indicators")
		if err != nil {
			return m, err
		}
		if len(cause) < 2 || cause[0]&0x80 == 0 {
			return m, bad("invalid cause indicators % x", cause)
		}
		m.Location, m.Cause = Location(cause[0]&15), Cause(cause[1]&0x7f)
		if len(b) < 2 {
			return m, bad("REL without its second pointer")
		}
		return m, m.options(b, 1)
	case GRS, GRA:
		status, err := variable(b, 0, "range and status")
		if err != nil {
			return m, err
		}
		if len(status) == 0 || status[0] == 0 || status[0] >= 32 {
			return m, bad("invalid range and status % x", status)
		}
		m.Range = status[0]
		if m.Type == GRA && len(status) != 2+int(m.Range)/8 {
			return m, bad("GRA of range %d with %d octets of status", m.Range, len(status)-1)
		}
		return m, nil
	case CQM, CQR:
		status, err := variable(b, 0, "range and status")
		if err != nil {
			return m, err
		}
		if len(status) != 1 || status[0] >= 32 {
			return m, bad("invalid range and status % x", status)
		}
		if m.Range = status[0]; m.Type == CQM {
			return m, nil
		}
		states, err := variable(b, 1, "circuit states")
		if err != nil {
			return m, err
		}
		if len(states) != int(m.Range)+1 {
			return m, bad("CQR of range %d with %d states", m.Range, len(states))
		}
		m.States = string(states)
		return m, nil
	case RSC, BLO, UBL, BLA, UBA:
		return m, nil
	}
	return m, bad("%v is not known", m.Type)
}

// variable returns the mandatory variable parameter whose pointer is at b[at].
func variable(b []byte, at int, what string) ([]byte, error) {
	if at >= len(b) {
		return nil, bad("no pointer to the %s", what)
	}
	start := at + int(b[at])
	if b[at] == 0 || start >= len(b) || start+1+int(b[start]) > len(b) {
		return nil, bad("%s exceeds the message", what)
	}
	return b[start+1 : start+1+int(b[start])], nil
}

// digits decodes the digits of a called or calling party number.
func digits(b []byte) (string, error) {
	if len(b) < 3 || len(b) > 2+(DigitsMost+1)/2 {
		return "", bad("party number of %d octets", len(b))
	}
	out := make([]byte, 0, DigitsMost)
	for i, pair := range b[2:] {
		out = append(out, pair&15)
		if i < len(b)-3 || b[0]&0x80 == 0 {
			out = append(out, pair>>4)
		}
	}
	for i, d := range out {
		switch {
		case d < 10:
			out[i] = '0' + d
		case d == 11 || d == 12:
			out[i] = 'B' + d - 11
		default:
			return "", bad("unknown address signal %d", d)
		}
	}
	return string(out), nil
}

// options decodes the optional part, whose pointer is at b[at]. A parameter that the message type does not carry is
// ignored like an unknown one, as Append could not write it again.
func (m *Message) options(b []byte, at int) error {
	if b[at] == 0 {
		return nil
	}
	for i := at + int(b[at]); ; {
		if i >= len(b) {
			return bad("optional part without an end octet")
		}
		if b[i] == 0 {
			return nil
		}
		if i+2 > len(b) || i+2+int(b[i+1]) > len(b) {
			return bad("optional parameter %02x exceeds the message", b[i])
		}
		name, value := b[i], b[i+2:i+2+int(b[i+1])]
		i += 2 + len(value)
		if name != paramUser && m.Type != IAM {
			continue
		}
		switch name {
		case paramReference:
			if len(value) != 5 {
				return bad("call reference of %d octets", len(value))
			}
			m.Ref.Identity = uint32(value[0])<<16 | uint32(value[1])<<8 | uint32(value[2])
			m.Ref.Point = binary.LittleEndian.Uint16(value[3:])
		case paramCaller:
			var err error
			if m.Caller, err = digits(value); err != nil {
				return fmt.Errorf("calling party number: %w", err)
			}
		case paramMap:
			if len(value) != 5 || value[0]&0x3f != mapOf2048 {
				return bad("unsupported circuit assignment map % x", value)
			}
			m.Slots = binary.LittleEndian.Uint32(value[1:]) & (1<<PerMultiplex - 1)
		case paramHops:
			if len(value) != 1 {
				return bad("hop counter of %d octets", len(value))
			}
			m.Hops = value[0] & 31
		case paramUser:
			if err := m.Says.read(value); err != nil {
				return err
			}
		}
	}
}
