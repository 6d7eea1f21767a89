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
	User           Location = 0
	LocalNetwork   Location = 2
	TransitNetwork Location = 3
	RemoteNetwork  Location = 4
)

const (
	// MaxCIC is the highest circuit identification code (12 bits, Q.763 1.2).
	MaxCIC = 1<<12 - 1
	// CircuitsPerMultiplex is the number of circuits of a 2048 kbit/s system: time slots 1 to 31 of CIC 32*m to 32*m+31.
	CircuitsPerMultiplex = 31
	// MaxDigits is the greatest number of digits of a called or calling number.
	MaxDigits = 24
	// MaxWidth is the greatest width of a multirate call: 30 x 64 kbit/s.
	MaxWidth = 30

	paramReference     = 0x01
	paramCaller        = 0x0a
	paramUserInfo      = 0x20
	paramAssignmentMap = 0x25
	paramHopCounter    = 0x3d

	mapType2048 = 1
)

// Reference identifies a call in the whole network: the originating exchange, and its identity there.
type Reference struct {
	Point    uint16 // point code of the originating exchange
	Identity uint32 // 24 bits
}

// Message is one ISUP message. Fields that its type does not carry are zero.
type Message struct {
	CIC        uint16
	Type       Type
	Digits     string    // called party number (IAM)
	Caller     string    // calling party number, "" if not given (IAM)
	Width      int       // N of N x 64 kbit/s (IAM)
	Slots      uint32    // bit t-1 set: time slot t of the multiplex is part of a multirate call (IAM)
	HopCounter uint8     // hop counter: exchanges that the call may still cross (IAM)
	Ref        Reference // IAM
	Cause      Cause     // REL
	Location   Location  // REL
	Range      uint8     // number of circuits after CIC that a group message covers (GRS, GRA, CQM, CQR)
	States     string    // circuit state indicators of the Range+1 circuits, one octet each (CQR; Q.763, 3.14)
	UserInfo   UserInfo  // user-to-user information, for data that ISUP has no parameter for
}

// Circuit state indicators of a CQR (Q.763, 3.14). Bits D and C hold the call processing state, bits B and A the blocking
// state.
const (
	Transient          = 0x00 // release or reset in progress
	Unequipped         = 0x03
	IncomingBusy       = 0x04
	OutgoingBusy       = 0x08
	CircuitIdle        = 0x0c
	CallProcessingMask = 0x0c // bits of the call processing state
)

// ErrMessage is wrapped by all errors about malformed messages.
var ErrMessage = errors.New("malformed ISUP message")

// malformed returns an error that wraps ErrMessage.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrMessage}, args...)...)
}

// mediumRequirement returns the transmission medium requirement for width x 64 kbit/s (Q.763, 3.54).
func mediumRequirement(width int) (byte, bool) {
	switch {
	case width == 1:
		return 0, true
	case width == 2:
		return 7, true
	case width == 6:
		return 8, true
	case width == 24:
		return 9, true
	case width == 30:
		return 10, true
	case width >= 3 && width <= 29:
		return byte(width + 13), true
	}
	return 0, false
}

// mediumWidth returns the number of 64 kbit/s channels for a transmission medium requirement.
func mediumWidth(requirement byte) (int, bool) {
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
func Append(buf []byte, msg Message) ([]byte, error) {
	start := len(buf)
	if msg.CIC > MaxCIC {
		return buf, malformed("circuit %d is above the maximum %d", msg.CIC, MaxCIC)
	}
	buf = binary.LittleEndian.AppendUint16(buf, msg.CIC)
	buf = append(buf, byte(msg.Type))
	switch msg.Type {
	case IAM:
		medium, ok := mediumRequirement(msg.Width)
		if !ok {
			return buf[:start], malformed("unsupported width %d", msg.Width)
		}
		if len(msg.Digits) == 0 || len(msg.Digits) > MaxDigits {
			return buf[:start], malformed("called number of %d digits, must have 1 to %d", len(msg.Digits), MaxDigits)
		}
		// nature of connection; forward call indicators (ISUP all the way); ordinary subscriber; medium; pointers
		buf = append(buf, 0, 0x60, 0x01, 10, medium, 2, 0)
		pointer := len(buf) - 1
		if buf, ok = appendNumber(buf, msg.Digits, 0x10); !ok { // E.164 plan
			return buf[:start], malformed("invalid called number %q", msg.Digits)
		}
		buf[pointer] = byte(len(buf) - pointer)
		if msg.Caller != "" {
			// presented, network provided
			if buf, ok = appendNumber(append(buf, paramCaller), msg.Caller, 0x13); !ok || len(msg.Caller) > MaxDigits {
				return buf[:start], malformed("invalid calling number %q", msg.Caller)
			}
		}
		if msg.Ref != (Reference{}) {
			buf = append(buf, paramReference, 5, byte(msg.Ref.Identity>>16), byte(msg.Ref.Identity>>8), byte(msg.Ref.Identity),
				byte(msg.Ref.Point), byte(msg.Ref.Point>>8))
		}
		if msg.Slots != 0 {
			buf = append(buf, paramAssignmentMap, 5, mapType2048)
			buf = binary.LittleEndian.AppendUint32(buf, msg.Slots)
		}
		if msg.HopCounter != 0 {
			buf = append(buf, paramHopCounter, 1, msg.HopCounter&31)
		}
		buf = msg.UserInfo.appendTo(buf)
		buf = append(buf, 0)
	case ACM:
		buf = appendOptional(append(buf, 0x16, 0x14, 0), msg)
	case ANM, RLC:
		buf = appendOptional(append(buf, 0), msg)
	case REL:
		buf = append(buf, 2, 0, 2, 0x80|byte(msg.Location), 0x80|byte(msg.Cause))
		pointer := len(buf) - 4
		if msg.UserInfo.anyPresent() {
			buf[pointer] = 4
			buf = append(msg.UserInfo.appendTo(buf), 0)
		}
	case GRS:
		buf = append(buf, 1, 1, msg.Range)
	case GRA:
		status := int(msg.Range)/8 + 1
		buf = append(buf, 1, byte(1+status), msg.Range)
		buf = append(buf, make([]byte, status)...)
	case CQM:
		buf = append(buf, 1, 1, msg.Range)
	case CQR:
		if len(msg.States) != int(msg.Range)+1 || msg.Range >= 32 {
			return buf[:start], malformed("CQR of range %d with %d states", msg.Range, len(msg.States))
		}
		buf = append(buf, 2, 3, 1, msg.Range, byte(len(msg.States)))
		buf = append(buf, msg.States...)
	case RSC, BLO, UBL, BLA, UBA:
	default:
		return buf[:start], malformed("%v cannot be sent", msg.Type)
	}
	return buf, nil
}

// appendOptional appends the optional part of a message whose last octet is the pointer to it.
func appendOptional(buf []byte, msg Message) []byte {
	if !msg.UserInfo.anyPresent() {
		return buf
	}
	buf[len(buf)-1] = 1
	return append(msg.UserInfo.appendTo(buf), 0)
}

// appendNumber appends the length and the octets of a national number; false if a character is no address signal.
func appendNumber(buf []byte, digits string, plan byte) ([]byte, bool) {
	odd := byte(len(digits)%2) << 7
	buf = append(buf, byte(2+(len(digits)+1)/2), odd|3, plan)
	for i := 0; i < len(digits); i += 2 {
		pair, ok := addressSignal(digits[i])
		if ok && i+1 < len(digits) {
			var high byte
			high, ok = addressSignal(digits[i+1])
			pair |= high << 4
		}
		if !ok {
			return buf, false
		}
		buf = append(buf, pair)
	}
	return buf, true
}

// addressSignal returns the address signal for a character.
func addressSignal(c byte) (byte, bool) {
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
func Decode(body []byte) (Message, error) {
	if len(body) < 3 {
		return Message{}, malformed("message of %d octets", len(body))
	}
	msg := Message{CIC: binary.LittleEndian.Uint16(body), Type: Type(body[2])}
	if msg.CIC > MaxCIC {
		return msg, malformed("circuit identification code %04x", msg.CIC)
	}
	body = body[3:]
	switch msg.Type {
	case IAM:
		if len(body) < 7 {
			return msg, malformed("IAM of %d octets after the type", len(body))
		}
		var ok bool
		if msg.Width, ok = mediumWidth(body[4]); !ok {
			return msg, malformed("unknown transmission medium requirement %d", body[4])
		}
		number, err := variableParameter(body, 5, "called party number")
		if err != nil {
			return msg, err
		}
		if msg.Digits, err = decodeDigits(number); err != nil {
			return msg, err
		}
		return msg, msg.decodeOptional(body, 6)
	case ACM:
		if len(body) < 3 {
			return msg, malformed("ACM of %d octets after the type", len(body))
		}
		return msg, msg.decodeOptional(body, 2)
	case ANM, RLC:
		if len(body) < 1 {
			return msg, malformed("%v without its pointer", msg.Type)
		}
		return msg, msg.decodeOptional(body, 0)
	case REL:
		cause, err := variableParameter(body, 0, "cause indicators")
		if err != nil {
			return msg, err
		}
		if len(cause) < 2 || cause[0]&0x80 == 0 {
			return msg, malformed("invalid cause indicators % x", cause)
		}
		msg.Location, msg.Cause = Location(cause[0]&15), Cause(cause[1]&0x7f)
		if len(body) < 2 {
			return msg, malformed("REL without its second pointer")
		}
		return msg, msg.decodeOptional(body, 1)
	case GRS, GRA:
		status, err := variableParameter(body, 0, "range and status")
		if err != nil {
			return msg, err
		}
		if len(status) == 0 || status[0] == 0 || status[0] >= 32 {
			return msg, malformed("invalid range and status % x", status)
		}
		msg.Range = status[0]
		if msg.Type == GRA && len(status) != 2+int(msg.Range)/8 {
			return msg, malformed("GRA of range %d with %d octets of status", msg.Range, len(status)-1)
		}
		return msg, nil
	case CQM, CQR:
		status, err := variableParameter(body, 0, "range and status")
		if err != nil {
			return msg, err
		}
		if len(status) != 1 || status[0] >= 32 {
			return msg, malformed("invalid range and status % x", status)
		}
		if msg.Range = status[0]; msg.Type == CQM {
			return msg, nil
		}
		states, err := variableParameter(body, 1, "circuit states")
		if err != nil {
			return msg, err
		}
		if len(states) != int(msg.Range)+1 {
			return msg, malformed("CQR of range %d with %d states", msg.Range, len(states))
		}
		msg.States = string(states)
		return msg, nil
	case RSC, BLO, UBL, BLA, UBA:
		return msg, nil
	}
	return msg, malformed("%v is not known", msg.Type)
}

// variableParameter returns the mandatory variable parameter whose pointer is at body[pointer].
func variableParameter(body []byte, pointer int, what string) ([]byte, error) {
	if pointer >= len(body) {
		return nil, malformed("no pointer to the %s", what)
	}
	start := pointer + int(body[pointer])
	if body[pointer] == 0 || start >= len(body) || start+1+int(body[start]) > len(body) {
		return nil, malformed("%s exceeds the message", what)
	}
	return body[start+1 : start+1+int(body[start])], nil
}

// decodeDigits decodes the digits of a called or calling party number.
func decodeDigits(b []byte) (string, error) {
	if len(b) < 3 || len(b) > 2+(MaxDigits+1)/2 {
		return "", malformed("party number of %d octets", len(b))
	}
	signals := make([]byte, 0, MaxDigits)
	for i, pair := range b[2:] {
		signals = append(signals, pair&15)
		if i < len(b)-3 || b[0]&0x80 == 0 {
			signals = append(signals, pair>>4)
		}
	}
	for i, signal := range signals {
		switch {
		case signal < 10:
			signals[i] = '0' + signal
		case signal == 11 || signal == 12:
			signals[i] = 'B' + signal - 11
		default:
			return "", malformed("unknown address signal %d", signal)
		}
	}
	return string(signals), nil
}

// decodeOptional decodes the optional part, whose pointer is at body[pointer]. A parameter that the message type does not carry is
// ignored like an unknown one, as Append could not write it again.
func (m *Message) decodeOptional(body []byte, pointer int) error {
	if body[pointer] == 0 {
		return nil
	}
	for i := pointer + int(body[pointer]); ; {
		if i >= len(body) {
			return malformed("optional part without an end octet")
		}
		if body[i] == 0 {
			return nil
		}
		if i+2 > len(body) || i+2+int(body[i+1]) > len(body) {
			return malformed("optional parameter %02x exceeds the message", body[i])
		}
		name, value := body[i], body[i+2:i+2+int(body[i+1])]
		i += 2 + len(value)
		if name != paramUserInfo && m.Type != IAM {
			continue
		}
		switch name {
		case paramReference:
			if len(value) != 5 {
				return malformed("call reference of %d octets", len(value))
			}
			m.Ref.Identity = uint32(value[0])<<16 | uint32(value[1])<<8 | uint32(value[2])
			m.Ref.Point = binary.LittleEndian.Uint16(value[3:])
		case paramCaller:
			var err error
			if m.Caller, err = decodeDigits(value); err != nil {
				return fmt.Errorf("calling party number: %w", err)
			}
		case paramAssignmentMap:
			if len(value) != 5 || value[0]&0x3f != mapType2048 {
				return malformed("unsupported circuit assignment map % x", value)
			}
			m.Slots = binary.LittleEndian.Uint32(value[1:]) & (1<<CircuitsPerMultiplex - 1)
		case paramHopCounter:
			if len(value) != 1 {
				return malformed("hop counter of %d octets", len(value))
			}
			m.HopCounter = value[0] & 31
		case paramUserInfo:
			if err := m.UserInfo.decode(value); err != nil {
				return err
			}
		}
	}
}
