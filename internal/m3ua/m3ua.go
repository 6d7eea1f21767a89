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
	Data         Kind = 0x0101 // DATA
	ASPUp        Kind = 0x0301 // ASPUP
	ASPDown      Kind = 0x0302 // ASPDN
	Heartbeat    Kind = 0x0303 // BEAT
	ASPUpAck     Kind = 0x0304 // ASPUP ACK
	HeartbeatAck Kind = 0x0306 // BEAT ACK
)

const (
	headerSize = 8
	// MaxFrameSize is the largest frame accepted, in octets. A longer frame is rejected before memory is allocated for it.
	MaxFrameSize = 4096

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
	Kind     Kind
	ASPID    uint32 // ASP identifier: the point code of the sender (ASPUp, ASPUpAck)
	Info     string // incarnation of the switch (ASPUpAck)
	OPC      uint32 // originating point code (Data)
	DPC      uint32 // destination point code (Data)
	SLS      uint8
	UserData []byte // the ISUP message (Data), the heartbeat's data (Heartbeat, HeartbeatAck)
}

// ErrFrame is wrapped by all errors about malformed frames.
var ErrFrame = errors.New("malformed M3UA frame")

// malformed returns an error that wraps ErrFrame.
func malformed(format string, args ...any) error {
	return fmt.Errorf("%w: "+format, append([]any{ErrFrame}, args...)...)
}

// Append appends the encoding of f to buf.
func Append(buf []byte, f Frame) ([]byte, error) {
	start := len(buf)
	buf = append(buf, 1, 0, byte(f.Kind>>8), byte(f.Kind), 0, 0, 0, 0)
	switch f.Kind {
	case Data:
		buf = append(buf, tagData>>8, tagData&0xff, 0, 0)
		binary.BigEndian.PutUint16(buf[len(buf)-2:], uint16(4+labelSize+len(f.UserData)))
		buf = binary.BigEndian.AppendUint32(buf, f.OPC)
		buf = binary.BigEndian.AppendUint32(buf, f.DPC)
		buf = append(buf, serviceISUP, networkNational, 0, f.SLS)
		buf = append(buf, f.UserData...)
		buf = pad(buf, len(f.UserData))
	case ASPUp, ASPUpAck:
		buf = append(buf, tagASP>>8, tagASP&0xff, 0, 8)
		buf = binary.BigEndian.AppendUint32(buf, f.ASPID)
		if f.Info != "" {
			buf = appendParameter(buf, tagInfo, []byte(f.Info))
		}
	case Heartbeat, HeartbeatAck:
		buf = appendParameter(buf, tagHeartbeat, f.UserData)
	case ASPDown:
	default:
		return buf[:start], malformed("kind %04x cannot be sent", uint16(f.Kind))
	}
	size := len(buf) - start
	if size > MaxFrameSize {
		return buf[:start], malformed("frame of %d octets is longer than %d", size, MaxFrameSize)
	}
	binary.BigEndian.PutUint32(buf[start+4:], uint32(size))
	return buf, nil
}

// appendParameter appends a parameter of variable length.
func appendParameter(buf []byte, tag uint16, value []byte) []byte {
	buf = binary.BigEndian.AppendUint16(buf, tag)
	buf = binary.BigEndian.AppendUint16(buf, uint16(4+len(value)))
	return pad(append(buf, value...), len(value))
}

// pad fills a parameter value of n octets up to a multiple of four.
func pad(buf []byte, n int) []byte {
	for ; n%4 != 0; n++ {
		buf = append(buf, 0)
	}
	return buf
}

// Read reads one frame, using scratch as its buffer if it is large enough, and returns the buffer for the next call.
// UserData is valid until the next Read with the same buffer.
func Read(r io.Reader, scratch []byte) (Frame, []byte, error) {
	var header [headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return Frame{}, scratch, fmt.Errorf("read frame header: %w", err)
	}
	size := binary.BigEndian.Uint32(header[4:])
	if header[0] != 1 || size < headerSize || size > MaxFrameSize || size%4 != 0 {
		return Frame{}, scratch, malformed("unsupported version %d or invalid length %d", header[0], size)
	}
	bodySize := int(size) - headerSize
	if cap(scratch) < bodySize {
		scratch = make([]byte, bodySize, max(bodySize, 512))
	}
	scratch = scratch[:bodySize]
	if _, err := io.ReadFull(r, scratch); err != nil {
		return Frame{}, scratch, fmt.Errorf("read frame body of %d octets: %w", bodySize, err)
	}
	f, err := Decode(Kind(header[2])<<8|Kind(header[3]), scratch)
	return f, scratch, err
}

// Decode decodes the parameters of a frame. Unknown parameters are ignored, as RFC 4666 requires.
func Decode(kind Kind, body []byte) (Frame, error) {
	f := Frame{Kind: kind}
	for offset := 0; offset < len(body); {
		if len(body)-offset < 4 {
			return f, malformed("%d trailing octets after the last parameter", len(body)-offset)
		}
		tag, size := binary.BigEndian.Uint16(body[offset:]), int(binary.BigEndian.Uint16(body[offset+2:]))
		if size < 4 || offset+size > len(body) {
			return f, malformed("parameter %04x of %d octets at offset %d exceeds the frame", tag, size, offset)
		}
		value := body[offset+4 : offset+size]
		switch tag {
		case tagASP:
			if len(value) != 4 {
				return f, malformed("ASP identifier of %d octets", len(value))
			}
			f.ASPID = binary.BigEndian.Uint32(value)
		case tagInfo:
			f.Info = string(value)
		case tagHeartbeat:
			f.UserData = value
		case tagData:
			if len(value) < labelSize {
				return f, malformed("protocol data of %d octets", len(value))
			}
			if value[8] != serviceISUP {
				return f, malformed("service %d is not ISUP", value[8])
			}
			f.OPC, f.DPC = binary.BigEndian.Uint32(value), binary.BigEndian.Uint32(value[4:])
			f.SLS, f.UserData = value[11], value[labelSize:]
		}
		offset += size + (4-size%4)%4
	}
	if kind == Data && f.UserData == nil {
		return f, malformed("DATA without protocol data")
	}
	return f, nil
}
