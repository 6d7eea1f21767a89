package isup

import "encoding/binary"

// UserInfo is the content of the user-to-user information parameter (Q.763, 3.60). Durations are in tenths of a
// millisecond.
type UserInfo struct {
	Present      PartSet // parts that the message carries
	TimeLeft     uint32  // time left until the caller abandons the call, from SentAt on
	SentAt       uint32  // sender's clock at sending; only differences are meaningful
	Wait         uint32  // waiting time at the processor
	HoldBack     uint16  // requested admission hold-back: share of new set-ups, in thousandths
	RetryAfter   uint32  // time for which the caller should not redial
	Bearer       uint8   // index of the bearer type in the operator's configuration
	Flags        uint8   // FlagRedial, FlagDisconnectedBefore, FlagDonorRouted, FlagYielded
	Dest         uint16  // destination exchange, as found by the originating exchange
	TableVersion uint64  // version of the number table that it was found with
	Session      string  // session description of the sender's side (SDP, RFC 4566), for calls between gateways
}

// PartSet is a set of parts of UserInfo, one bit each.
type PartSet uint8

// Parts of UserInfo.
const (
	PartTimeLeft   PartSet = 1 << iota // TimeLeft, SentAt
	PartLoad                           // Wait, HoldBack
	PartRetryAfter                     // RetryAfter
	PartCall                           // Bearer, Flags
	PartRoute                          // Dest, TableVersion
	PartSession                        // Session
)

// Bits of Flags.
const (
	FlagRedial             = 1 // the caller was refused before and redials
	FlagDisconnectedBefore = 2 // the call was established, was disconnected and is placed again
	FlagDonorRouted        = 4 // routed by the donor exchange, as portability was not known in time
	FlagYielded            = 8 // REL, RLC: the call won a dual seizure against one of the sender, whose set-up may still be unread
)

const (
	discriminator = 0x00 // user-specific protocol (Q.931, 4.5.30)

	elementTimeLeft   = 1
	elementLoad       = 2
	elementRetryAfter = 3
	elementCall       = 4
	elementRoute      = 5
	elementSession    = 6

	// MaxSessionSize is the greatest length of a session description. The length field of the parameter is one octet, and
	// the other parts take up to 41 octets.
	MaxSessionSize = 200
)

// anyPresent reports whether any part is present.
func (u UserInfo) anyPresent() bool { return u.Present != 0 }

// appendTo appends the user-to-user information parameter to buf, if any part is present.
func (u UserInfo) appendTo(buf []byte) []byte {
	if u.Present == 0 {
		return buf
	}
	buf = append(buf, paramUserInfo, 0, discriminator)
	size := len(buf) - 2
	if u.Present&PartTimeLeft != 0 {
		buf = append(buf, elementTimeLeft, 8)
		buf = binary.BigEndian.AppendUint32(buf, u.TimeLeft)
		buf = binary.BigEndian.AppendUint32(buf, u.SentAt)
	}
	if u.Present&PartLoad != 0 {
		buf = append(buf, elementLoad, 6)
		buf = binary.BigEndian.AppendUint32(buf, u.Wait)
		buf = binary.BigEndian.AppendUint16(buf, u.HoldBack)
	}
	if u.Present&PartRetryAfter != 0 {
		buf = append(buf, elementRetryAfter, 4)
		buf = binary.BigEndian.AppendUint32(buf, u.RetryAfter)
	}
	if u.Present&PartCall != 0 {
		buf = append(buf, elementCall, 2, u.Bearer, u.Flags)
	}
	if u.Present&PartRoute != 0 {
		buf = append(buf, elementRoute, 10)
		buf = binary.BigEndian.AppendUint16(buf, u.Dest)
		buf = binary.BigEndian.AppendUint64(buf, u.TableVersion)
	}
	if u.Present&PartSession != 0 && len(u.Session) <= MaxSessionSize { // else the receiver uses its default
		buf = append(append(buf, elementSession, byte(len(u.Session))), u.Session...)
	}
	buf[size] = byte(len(buf) - size - 1)
	return buf
}

// decode decodes the parameter value. Information with another protocol discriminator is ignored.
func (u *UserInfo) decode(value []byte) error {
	if len(value) == 0 {
		return malformed("user-to-user information without a discriminator")
	}
	if value[0] != discriminator {
		return nil
	}
	for value = value[1:]; len(value) > 0; {
		if len(value) < 2 || len(value) < 2+int(value[1]) {
			return malformed("user-to-user element exceeds the parameter")
		}
		content := value[2 : 2+int(value[1])]
		switch name := value[0]; {
		case name == elementTimeLeft && len(content) == 8:
			u.Present |= PartTimeLeft
			u.TimeLeft, u.SentAt = binary.BigEndian.Uint32(content), binary.BigEndian.Uint32(content[4:])
		case name == elementLoad && len(content) == 6:
			u.Present |= PartLoad
			u.Wait, u.HoldBack = binary.BigEndian.Uint32(content), binary.BigEndian.Uint16(content[4:])
		case name == elementRetryAfter && len(content) == 4:
			u.Present |= PartRetryAfter
			u.RetryAfter = binary.BigEndian.Uint32(content)
		case name == elementCall && len(content) == 2:
			u.Present |= PartCall
			u.Bearer, u.Flags = content[0], content[1]
		case name == elementRoute && len(content) == 10:
			u.Present |= PartRoute
			u.Dest, u.TableVersion = binary.BigEndian.Uint16(content), binary.BigEndian.Uint64(content[2:])
		case name == elementSession && len(content) <= MaxSessionSize:
			u.Present |= PartSession
			u.Session = string(content)
		case name >= elementTimeLeft && name <= elementSession:
			return malformed("user-to-user element %d of %d octets", name, len(content))
		}
		value = value[2+len(content):]
	}
	return nil
}
