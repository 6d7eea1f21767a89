package isup

import "encoding/binary"

// Says is the content of the user-to-user information parameter (Q.763, 3.60). Durations are in tenths of a millisecond.
// Has holds a bit for each part that is present.
type Says struct {
	Has      Part
	Left     uint32 // time left until the caller abandons the call, from Stamp on
	Stamp    uint32 // sender's clock at sending; only differences are meaningful
	Wait     uint32 // waiting time at the processor
	HoldBack uint16 // requested admission hold-back: share of new set-ups, in thousandths
	ComeBack uint32 // time for which the caller should not redial
	Bearer   uint8  // index of the bearer type in the operator's configuration
	Marks    uint8  // Redial, CutBefore, Donor, Yielded
	Dest     uint16 // destination exchange, as found by the originating exchange
	Table    uint64 // version of the number table that it was found with
	Session  string // session description of the sender's side (SDP, RFC 4566), for calls between gateways
}

// Part is a set of parts of Says, one bit each.
type Part uint8

// Parts of Says.
const (
	PartLeft Part = 1 << iota
	PartLoad
	PartComeBack
	PartCall
	PartRoute
	PartSession
)

// Bits of Marks.
const (
	Redial    = 1 // the caller was refused before and redials
	CutBefore = 2 // the call was established, was disconnected and is placed again
	Donor     = 4 // routed by the donor exchange, as portability was not known in time
	Yielded   = 8 // REL, RLC: the ending call won a dual seizure against a call of the sender, whose set-up may still be unread
)

const (
	discriminator = 0x00 // user-specific protocol (Q.931, 4.5.30)

	elementLeft     = 1
	elementLoad     = 2
	elementComeBack = 3
	elementCall     = 4
	elementRoute    = 5
	elementSession  = 6

	// SessionMost is the greatest length of a session description. The length of the whole parameter is one octet, and the
	// other parts take up to 41 octets.
	SessionMost = 200
)

// any reports whether any part is present.
func (s Says) any() bool { return s.Has != 0 }

// appendTo appends the user-to-user information parameter to buf, if any part is present.
func (s Says) appendTo(buf []byte) []byte {
	if s.Has == 0 {
		return buf
	}
	buf = append(buf, paramUser, 0, discriminator)
	size := len(buf) - 2
	if s.Has&PartLeft != 0 {
		buf = append(buf, elementLeft, 8)
		buf = binary.BigEndian.AppendUint32(buf, s.Left)
		buf = binary.BigEndian.AppendUint32(buf, s.Stamp)
	}
	if s.Has&PartLoad != 0 {
		buf = append(buf, elementLoad, 6)
		buf = binary.BigEndian.AppendUint32(buf, s.Wait)
		buf = binary.BigEndian.AppendUint16(buf, s.HoldBack)
	}
	if s.Has&PartComeBack != 0 {
		buf = append(buf, elementComeBack, 4)
		buf = binary.BigEndian.AppendUint32(buf, s.ComeBack)
	}
	if s.Has&PartCall != 0 {
		buf = append(buf, elementCall, 2, s.Bearer, s.Marks)
	}
	if s.Has&PartRoute != 0 {
		buf = append(buf, elementRoute, 10)
		buf = binary.BigEndian.AppendUint16(buf, s.Dest)
		buf = binary.BigEndian.AppendUint64(buf, s.Table)
	}
	if s.Has&PartSession != 0 && len(s.Session) <= SessionMost { // a longer one is left out; the receiver then uses its own default
		buf = append(append(buf, elementSession, byte(len(s.Session))), s.Session...)
	}
	buf[size] = byte(len(buf) - size - 1)
	return buf
}

// read decodes the parameter value. Information with another protocol discriminator is ignored.
func (s *Says) read(b []byte) error {
	if len(b) == 0 {
		return bad("user-to-user information without a discriminator")
	}
	if b[0] != discriminator {
		return nil
	}
	for b = b[1:]; len(b) > 0; {
		if len(b) < 2 || len(b) < 2+int(b[1]) {
			return bad("user-to-user element exceeds the parameter")
		}
		v := b[2 : 2+int(b[1])]
		switch name := b[0]; {
		case name == elementLeft && len(v) == 8:
			s.Has |= PartLeft
			s.Left, s.Stamp = binary.BigEndian.Uint32(v), binary.BigEndian.Uint32(v[4:])
		case name == elementLoad && len(v) == 6:
			s.Has |= PartLoad
			s.Wait, s.HoldBack = binary.BigEndian.Uint32(v), binary.BigEndian.Uint16(v[4:])
		case name == elementComeBack && len(v) == 4:
			s.Has |= PartComeBack
			s.ComeBack = binary.BigEndian.Uint32(v)
		case name == elementCall && len(v) == 2:
			s.Has |= PartCall
			s.Bearer, s.Marks = v[0], v[1]
		case name == elementRoute && len(v) == 10:
			s.Has |= PartRoute
			s.Dest, s.Table = binary.BigEndian.Uint16(v), binary.BigEndian.Uint64(v[2:])
		case name == elementSession && len(v) <= SessionMost:
			s.Has |= PartSession
			s.Session = string(v)
		case name >= elementLeft && name <= elementSession:
			return bad("user-to-user element %d of %d octets", name, len(v))
		}
		b = b[2+len(v):]
	}
	return nil
}
