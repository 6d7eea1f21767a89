// Package ledger stores on disk what must survive a restart of the controller: its calls and the incarnations of the switches
// it knows. It decides nothing about them; internal/recovery does when they are read again. The file is a header followed by
// frames in the order of writing, each with its length and a checksum. Reading stops at the first damaged frame and reports how
// many octets were not read and why. docs/notes-restart.md explains why it is not a database.
package ledger

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
)

// Kind is the type of a frame.
type Kind byte

// Kinds of frames.
const (
	HeaderFrame      Kind = 'H' // the exchange that the file belongs to; the first frame
	CallFrame        Kind = 'C' // a call and its phase
	CallEndFrame     Kind = 'O' // the end of a call
	IncarnationFrame Kind = 'F' // the incarnation of a neighbour's switch; number -1: the own switch
	HeartbeatFrame   Kind = 'B' // heartbeat
	SnapshotEndFrame Kind = 'S' // the end of the snapshot that a file begins with
)

// Record is the decoded content of a frame; each kind of frame uses some of the fields.
type Record struct {
	Kind        Kind
	SiteDigest  uint64              // HeaderFrame
	Exchange    int                 // IncarnationFrame: exchange number, -1 for the own switch
	Incarnation string              // IncarnationFrame
	Time        int64               // HeartbeatFrame
	Call        recovery.StoredCall // CallFrame; CallEndFrame: its ID only
}

const (
	magic          = "indigoledger"
	currentVersion = 2       // version 1 has calls without Slots
	maxPayloadSize = 1 << 12 // octets of a payload
)

var crcTable = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is wrapped by every error about a damaged file.
var ErrDamaged = errors.New("ledger is damaged")

// appendFrame appends a record as a frame: length, checksum, payload.
func appendFrame(buf []byte, record Record) []byte {
	start := len(buf)
	buf = append(buf, 0, 0, 0, 0, 0, 0)
	buf = append(buf, byte(record.Kind))
	switch record.Kind {
	case HeaderFrame:
		buf = binary.BigEndian.AppendUint64(buf, record.SiteDigest)
	case IncarnationFrame:
		buf = binary.BigEndian.AppendUint32(buf, uint32(int32(record.Exchange)))
		buf = append(buf, record.Incarnation[:min(len(record.Incarnation), 255)]...)
	case HeartbeatFrame:
		buf = binary.BigEndian.AppendUint64(buf, uint64(record.Time))
	case CallEndFrame:
		buf = binary.BigEndian.AppendUint32(buf, record.Call.ID)
	case CallFrame:
		call := record.Call
		buf = binary.BigEndian.AppendUint32(buf, call.ID)
		flags := byte(call.Phase) << 4
		for i, set := range []bool{call.Transit, call.In.Trunk, call.Out.Trunk} {
			if set {
				flags |= 1 << i
			}
		}
		buf = append(buf, flags)
		for _, leg := range []recovery.Leg{call.In, call.Out} {
			buf = binary.BigEndian.AppendUint16(buf, uint16(leg.Number))
			buf = binary.BigEndian.AppendUint16(buf, leg.Point)
			buf = binary.BigEndian.AppendUint16(buf, leg.CIC)
			buf = binary.BigEndian.AppendUint32(buf, leg.Slots)
		}
		buf = binary.BigEndian.AppendUint16(buf, call.Ref.Point)
		buf = binary.BigEndian.AppendUint32(buf, call.Ref.Identity)
		buf = binary.BigEndian.AppendUint64(buf, uint64(call.Since))
		buf = binary.BigEndian.AppendUint64(buf, uint64(call.Until))
	}
	body := buf[start+6:]
	binary.BigEndian.PutUint16(buf[start:], uint16(len(body)))
	binary.BigEndian.PutUint32(buf[start+2:], crc32.Checksum(body, crcTable))
	return buf
}

// Payload sizes of a call in the current format and in version 1, in octets without the kind.
const (
	callPayloadSize   = 4 + 1 + 2*10 + 6 + 16
	callPayloadSizeV1 = 4 + 1 + 2*6 + 6 + 16
)

// readFrame decodes the first frame of data; n is its size.
func readFrame(data []byte, version byte) (record Record, n int, err error) {
	if len(data) < 7 {
		return record, 0, fmt.Errorf("%w: frame header is cut off after %d octets", ErrDamaged, len(data))
	}
	size := int(binary.BigEndian.Uint16(data))
	if size == 0 || size > maxPayloadSize || len(data) < 6+size {
		return record, 0, fmt.Errorf("%w: frame of %d octets, %d available", ErrDamaged, size, len(data)-6)
	}
	body := data[6 : 6+size]
	if crc32.Checksum(body, crcTable) != binary.BigEndian.Uint32(data[2:]) {
		return record, 0, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	record.Kind, n = Kind(body[0]), 6+size
	invalid := fmt.Errorf("%w: invalid frame %q of %d octets", ErrDamaged, record.Kind, size)
	payload := body[1:]
	switch record.Kind {
	case HeaderFrame:
		if len(payload) != 8 {
			return record, 0, invalid
		}
		record.SiteDigest = binary.BigEndian.Uint64(payload)
	case IncarnationFrame:
		if len(payload) < 4 {
			return record, 0, invalid
		}
		record.Exchange, record.Incarnation = int(int32(binary.BigEndian.Uint32(payload))), string(payload[4:])
	case HeartbeatFrame:
		if len(payload) != 8 {
			return record, 0, invalid
		}
		record.Time = int64(binary.BigEndian.Uint64(payload))
	case CallEndFrame:
		if len(payload) != 4 {
			return record, 0, invalid
		}
		record.Call.ID = binary.BigEndian.Uint32(payload)
	case SnapshotEndFrame:
		if len(payload) != 0 {
			return record, 0, invalid
		}
	case CallFrame:
		if version == 1 && len(payload) != callPayloadSizeV1 || version != 1 && len(payload) != callPayloadSize {
			return record, 0, invalid
		}
		call := &record.Call
		call.ID = binary.BigEndian.Uint32(payload)
		flags := payload[4]
		call.Phase, call.Transit = recovery.Phase(flags>>4), flags&1 != 0
		call.In.Trunk, call.Out.Trunk = flags&2 != 0, flags&4 != 0
		payload = payload[5:]
		for _, leg := range []*recovery.Leg{&call.In, &call.Out} {
			leg.Number, leg.Point, leg.CIC = int(binary.BigEndian.Uint16(payload)), binary.BigEndian.Uint16(payload[2:]), binary.BigEndian.Uint16(payload[4:])
			if payload = payload[6:]; version != 1 {
				leg.Slots = binary.BigEndian.Uint32(payload)
				payload = payload[4:]
			}
		}
		call.Ref = isup.Reference{Point: binary.BigEndian.Uint16(payload), Identity: binary.BigEndian.Uint32(payload[2:])}
		call.Since, call.Until = int64(binary.BigEndian.Uint64(payload[6:])), int64(binary.BigEndian.Uint64(payload[14:]))
	default:
		return record, 0, invalid
	}
	return record, n, nil
}

// header returns the first octets of a file.
func header() []byte { return append([]byte(magic), currentVersion) }

// Contents is the state that a file describes, and how much of the file was read.
type Contents struct {
	Process      recovery.Process
	Calls        map[uint32]recovery.StoredCall
	Frames       int
	Version      byte
	ReadOctets   int    // octets of the intact frames and what precedes them
	UnreadOctets int    // octets after them
	UnreadReason string // why they were not read, "" if all were
}

// Read decodes the contents of a file up to the first damaged frame.
func Read(data []byte) Contents {
	contents := Contents{Calls: map[uint32]recovery.StoredCall{}, Process: recovery.Process{Incarnations: map[int]string{}}}
	stop := func(offset int, reason string) Contents {
		contents.ReadOctets, contents.UnreadOctets, contents.UnreadReason = offset, len(data)-offset, reason
		return contents
	}
	if len(data) < len(magic)+1 || string(data[:len(magic)]) != magic {
		return stop(0, "not a ledger file")
	}
	if contents.Version = data[len(magic)]; contents.Version == 0 || contents.Version > currentVersion {
		return stop(0, fmt.Sprintf("format %d is not supported; the latest known is %d", contents.Version, currentVersion))
	}
	for offset := len(magic) + 1; ; {
		if offset == len(data) {
			return stop(offset, "")
		}
		r, n, err := readFrame(data[offset:], contents.Version)
		if err != nil {
			return stop(offset, err.Error())
		}
		offset += n
		contents.Frames++
		contents.apply(r)
	}
}

// apply applies a record.
func (c *Contents) apply(record Record) {
	switch record.Kind {
	case HeaderFrame:
		c.Process.SiteDigest = record.SiteDigest
	case CallFrame:
		c.Calls[record.Call.ID] = record.Call
	case CallEndFrame:
		delete(c.Calls, record.Call.ID)
	case IncarnationFrame:
		if record.Exchange < 0 {
			c.Process.OwnIncarnation = record.Incarnation
		} else {
			c.Process.Incarnations[record.Exchange] = record.Incarnation
		}
	case HeartbeatFrame:
		c.Process.LastHeartbeat = record.Time
	}
}
