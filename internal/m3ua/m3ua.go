// Package m3ua encodes and decodes M3UA messages (RFC 4666): DATA, and the maintenance messages that a link needs for
// start-up and keepalive. It does not interpret the ISUP message that DATA carries.
package m3ua

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
)

// Kind is the message class and type, with the class in the high octet (RFC 4666, 3.1.1 and 3.1.2).
type Kind uint16

// Message kinds in use.
const (
	Data    Kind = 0x0101 // DATA
	Up      Kind = 0x0301 // ASPUP
	Down    Kind = 0x0302 // ASPDN
	Beat    Kind = 0x0303 // BEAT
	UpAck   Kind = 0x0304 // ASPUP ACK
	BeatAck Kind = 0x0306 // BEAT ACK
)

const (
	headerSize = 8
	// FrameMost is the largest frame accepted, in octets. A longer frame is rejected before memory is allocated for it.
	FrameMost = 4096

	tagInfo      = 0x0004
	tagHeartbeat = 0x0009
	tagASP       = 0x0011
	tagData      = 0x0210

	serviceISUP     = 5
	networkNational = 2
	labelSize       = 12
)

// Frame is one M3UA message. Fields that its kind does not carry are zero.
type Frame struct {
	Kind Kind
	ASP  uint32 // ASP identifier: the point code of the sender (Up, UpAck)
	Info string // process lifetime of the switch (UpAck)
	From uint32 // originating point code (Data)
	To   uint32 // destination point code (Data)
	SLS  uint8
	User []byte // the ISUP message (Data), the heartbeat's data (Beat, BeatAck)
}

// ErrFrame is wrapped by all errors about malformed frames.
var ErrFrame = errors.New("malformed M3UA frame")

// bad returns an error that wraps ErrFrame.
func bad(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrFrame}, args...)...)
}

// Append appends the encoding of f to buf.
func Append(buf []byte, f Frame) ([]byte, error) {
	at := len(buf)
	buf = append(buf, 1, 0, byte(f.Kind>>8), byte(f.Kind), 0, 0, 0, 0)
	switch f.Kind {
	case Data:
		buf = append(buf, tagData>>8, tagData&0xff, 0, 0)
		binary.BigEndian.PutUint16(buf[len(buf)-2:], uint16(4+labelSize+len(f.User)))
		buf = binary.BigEndian.AppendUint32(buf, f.From)
		buf = binary.BigEndian.AppendUint32(buf, f.To)
		buf = append(buf, serviceISUP, networkNational, 0, f.SLS)
		buf = append(buf, f.User...)
		buf = pad(buf, len(f.User))
	case Up, UpAck:
		buf = append(buf, tagASP>>8, tagASP&0xff, 0, 8)
		buf = binary.BigEndian.AppendUint32(buf, f.ASP)
		if f.Info != "" {
			buf = appendText(buf, tagInfo, []byte(f.Info))
		}
	case Beat, BeatAck:
		buf = appendText(buf, tagHeartbeat, f.User)
	case Down:
	default:
		return buf[:at], bad("kind %04x cannot be sent", uint16(f.Kind))
	}
	size := len(buf) - at
	if size > FrameMost {
		return buf[:at], bad("frame of %d octets is longer than %d", size, FrameMost)
	}
	binary.BigEndian.PutUint32(buf[at+4:], uint32(size))
	return buf, nil
}

// appendText appends a parameter of variable length.
func appendText(buf []byte, tag uint16, text []byte) []byte {
	buf = binary.BigEndian.AppendUint16(buf, tag)
	buf = binary.BigEndian.AppendUint16(buf, uint16(4+len(text)))
	return pad(append(buf, text...), len(text))
}

// pad fills a parameter value of n octets up to a multiple of four.
func pad(buf []byte, n int) []byte {
	for ; n%4 != 0; n++ {
		buf = append(buf, 0)
	}
	return buf
}

// Read reads one frame, using scratch as its buffer if it is large enough, and returns the buffer for the next call. The
// User octets are valid until the next Read with the same buffer.
func Read(r io.Reader, scratch []byte) (Frame, []byte, error) {
	var head [headerSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		return Frame{}, scratch, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(head[4:])
	if head[0] != 1 || size < headerSize || size > FrameMost || size%4 != 0 {
		return Frame{}, scratch, bad("unsupported version %d or invalid length %d", head[0], size)
	}
	n := int(size) - headerSize
	if cap(scratch) < n {
		scratch = make([]byte, n, max(n, 512))
	}
	scratch = scratch[:n]
	if _, err := io.ReadFull(r, scratch); err != nil {
		return Frame{}, scratch, fmt.Errorf("read frame body of %d octets: %w", n, err)
	}
	f, err := Decode(Kind(head[2])<<8|Kind(head[3]), scratch)
	return f, scratch, err
}

// Decode decodes the parameters of a frame. Unknown parameters are ignored, as RFC 4666 requires.
func Decode(kind Kind, body []byte) (Frame, error) {
	f := Frame{Kind: kind}
	for at := 0; at < len(body); {
		if len(body)-at < 4 {
			return f, bad("%d trailing octets after the last parameter", len(body)-at)
		}
		tag, size := binary.BigEndian.Uint16(body[at:]), int(binary.BigEndian.Uint16(body[at+2:]))
		if size < 4 || at+size > len(body) {
			return f, bad("parameter %04x of %d octets at offset %d exceeds the frame", tag, size, at)
		}
		value := body[at+4 : at+size]
		switch tag {
		case tagASP:
			if len(value) != 4 {
				return f, bad("ASP identifier of %d octets", len(value))
			}
			f.ASP = binary.BigEndian.Uint32(value)
		case tagInfo:
			f.Info = string(value)
		case tagHeartbeat:
			f.User = value
		case tagData:
			if len(value) < labelSize {
				return f, bad("protocol data of %d octets", len(value))
			}
			if value[8] != serviceISUP {
				return f, bad("service %d is not ISUP", value[8])
			}
			f.From, f.To = binary.BigEndian.Uint32(value), binary.BigEndian.Uint32(value[4:])
			f.SLS, f.User = value[11], value[labelSize:]
		}
		at += size + (4-size%4)%4
	}
	if kind == Data && f.User == nil {
		return f, bad("DATA without protocol data")
	}
	return f, nil
}
