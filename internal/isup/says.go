package isup

import "encoding/binary"

// Says is what rides in user-to-user information (Q.763, 3.60). Spans are in tenths of a millisecond. A part that was
// not told has its Has bit clear.
type Says struct {
	Has      Part
	Left     uint32 // until the caller gives up, counted from Stamp
	Stamp    uint32 // the sender's own clock when it wrote this; only differences mean something
	Wait     uint32 // wait at the processor
	HoldBack uint16 // share of new set-ups asked to be held back, in thousandths
	ComeBack uint32 // the caller should not dial again before
	Bearer   uint8  // row of the operator's bearer types
	Marks    uint8  // Redial, CutBefore, Donor
	Dest     uint16 // exchange that the call's table found, where it began
	Table    uint64 // and the version of that table
	Session  string // where the sender's side of the call takes media (SDP, RFC 4566), for gateways at both ends
}

// Part names a part of Says.
type Part uint8

const (
	PartLeft Part = 1 << iota
	PartLoad
	PartComeBack
	PartCall
	PartRoute
	PartSession
)

// Marks of a call.
const (
	Redial    = 1 // the caller was turned away before
	CutBefore = 2 // it stood, was cut and comes again
	Donor     = 4 // portability could not be asked in time: it goes by the donor's route
	Yielded   = 8 // REL, RLC: the call that ends took a circuit from one of the sender's, which may still lie unread
)

const (
	discriminator = 0x00 // user-specific protocol (Q.931, 4.5.30)

	elementLeft     = 1
	elementLoad     = 2
	elementComeBack = 3
	elementCall     = 4
	elementRoute    = 5
	elementSession  = 6

	// SessionMost is the longest session description that rides along: an octet counts the whole of the information, and the
	// other parts take up to 41.
	SessionMost = 200
)

func (s Says) any() bool { return s.Has != 0 }

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
	if s.Has&PartSession != 0 && len(s.Session) <= SessionMost { // a longer one is left out: the far side falls back on its own
		buf = append(append(buf, elementSession, byte(len(s.Session))), s.Session...)
	}
	buf[size] = byte(len(buf) - size - 1)
	return buf
}

// read takes the octets of the parameter. Another protocol's information is not ours and is passed over whole.
func (s *Says) read(b []byte) error {
	if len(b) == 0 {
		return bad("user-to-user information without a discriminator")
	}
	if b[0] != discriminator {
		return nil
	}
	for b = b[1:]; len(b) > 0; {
		if len(b) < 2 || len(b) < 2+int(b[1]) {
			return bad("user-to-user element reaches past the end")
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
