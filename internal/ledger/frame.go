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

const (
	HeaderFrame      Kind = 'H' // the exchange that the file belongs to; the first frame
	CallFrame        Kind = 'C' // a call and its phase
	CallEndFrame     Kind = 'O' // the end of a call
	IncarnationFrame Kind = 'F' // the incarnation of a neighbour's switch; number -1: the own switch
	HeartbeatFrame   Kind = 'B' // heartbeat
	SnapshotEndFrame Kind = 'S' // the end of the snapshot that a file begins with
)

// Record is one frame.
type Record struct {
	Kind        Kind
	SiteDigest  uint64 // Head
	Exchange    int    // Far
	Incarnation string // Far
	Time        int64  // Beat
	Call        recovery.StoredCall
}

const (
	magic   = "indigoledger"
	version = 2       // version 1 has calls without Slots
	lenMost = 1 << 12 // octets of a payload
)

var table = crc32.MakeTable(crc32.Castagnoli)

// ErrDamaged is wrapped by every error about a damaged file.
var ErrDamaged = errors.New("ledger is damaged")

// appendFrame appends a record as a frame: length, checksum, payload.
func appendFrame(b []byte, r Record) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0, 0, 0)
	b = append(b, byte(r.Kind))
	switch r.Kind {
	case HeaderFrame:
		b = binary.BigEndian.AppendUint64(b, r.SiteDigest)
	case IncarnationFrame:
		b = binary.BigEndian.AppendUint32(b, uint32(int32(r.Exchange)))
		b = append(b, r.Incarnation[:min(len(r.Incarnation), 255)]...)
	case HeartbeatFrame:
		b = binary.BigEndian.AppendUint64(b, uint64(r.Time))
	case CallEndFrame:
		b = binary.BigEndian.AppendUint32(b, r.Call.ID)
	case CallFrame:
		k := r.Call
		b = binary.BigEndian.AppendUint32(b, k.ID)
		flags := byte(k.Phase) << 4
		for i, set := range []bool{k.Transit, k.In.Trunk, k.Out.Trunk} {
			if set {
				flags |= 1 << i
			}
		}
		b = append(b, flags)
		for _, p := range []recovery.Place{k.In, k.Out} {
			b = binary.BigEndian.AppendUint16(b, uint16(p.Number))
			b = binary.BigEndian.AppendUint16(b, p.Point)
			b = binary.BigEndian.AppendUint16(b, p.CIC)
			b = binary.BigEndian.AppendUint32(b, p.Slots)
		}
		b = binary.BigEndian.AppendUint16(b, k.Ref.Point)
		b = binary.BigEndian.AppendUint32(b, k.Ref.Identity)
		b = binary.BigEndian.AppendUint64(b, uint64(k.Since))
		b = binary.BigEndian.AppendUint64(b, uint64(k.Until))
	}
	body := b[at+6:]
	binary.BigEndian.PutUint16(b[at:], uint16(len(body)))
	binary.BigEndian.PutUint32(b[at+2:], crc32.Checksum(body, table))
	return b
}

// Payload sizes of a call in the current format and in version 1, in octets without the kind.
const (
	callSize   = 4 + 1 + 2*10 + 6 + 16
	callSizeV1 = 4 + 1 + 2*6 + 6 + 16
)

// readFrame decodes the first frame of b; n is its size.
func readFrame(b []byte, version byte) (r Record, n int, err error) {
	if len(b) < 7 {
		return r, 0, fmt.Errorf("%w: frame header is cut off after %d octets", ErrDamaged, len(b))
	}
	size := int(binary.BigEndian.Uint16(b))
	if size == 0 || size > lenMost || len(b) < 6+size {
		return r, 0, fmt.Errorf("%w: frame of %d octets, %d available", ErrDamaged, size, len(b)-6)
	}
	body := b[6 : 6+size]
	if crc32.Checksum(body, table) != binary.BigEndian.Uint32(b[2:]) {
		return r, 0, fmt.Errorf("%w: checksum mismatch", ErrDamaged)
	}
	r.Kind, n = Kind(body[0]), 6+size
	wrong := fmt.Errorf("%w: invalid frame %q of %d octets", ErrDamaged, r.Kind, size)
	p := body[1:]
	switch r.Kind {
	case HeaderFrame:
		if len(p) != 8 {
			return r, 0, wrong
		}
		r.SiteDigest = binary.BigEndian.Uint64(p)
	case IncarnationFrame:
		if len(p) < 4 {
			return r, 0, wrong
		}
		r.Exchange, r.Incarnation = int(int32(binary.BigEndian.Uint32(p))), string(p[4:])
	case HeartbeatFrame:
		if len(p) != 8 {
			return r, 0, wrong
		}
		r.Time = int64(binary.BigEndian.Uint64(p))
	case CallEndFrame:
		if len(p) != 4 {
			return r, 0, wrong
		}
		r.Call.ID = binary.BigEndian.Uint32(p)
	case SnapshotEndFrame:
		if len(p) != 0 {
			return r, 0, wrong
		}
	case CallFrame:
		if version == 1 && len(p) != callSizeV1 || version != 1 && len(p) != callSize {
			return r, 0, wrong
		}
		k := &r.Call
		k.ID = binary.BigEndian.Uint32(p)
		flags := p[4]
		k.Phase, k.Transit = recovery.Phase(flags>>4), flags&1 != 0
		k.In.Trunk, k.Out.Trunk = flags&2 != 0, flags&4 != 0
		p = p[5:]
		for _, to := range []*recovery.Place{&k.In, &k.Out} {
			to.Number, to.Point, to.CIC = int(binary.BigEndian.Uint16(p)), binary.BigEndian.Uint16(p[2:]), binary.BigEndian.Uint16(p[4:])
			if p = p[6:]; version != 1 {
				to.Slots = binary.BigEndian.Uint32(p)
				p = p[4:]
			}
		}
		k.Ref = isup.Reference{Point: binary.BigEndian.Uint16(p), Identity: binary.BigEndian.Uint32(p[2:])}
		k.Since, k.Until = int64(binary.BigEndian.Uint64(p[6:])), int64(binary.BigEndian.Uint64(p[14:]))
	default:
		return r, 0, wrong
	}
	return r, n, nil
}

// header returns the first octets of a file.
func header() []byte { return append([]byte(magic), version) }

// Contents is the state that a file describes, and how much of the file was read.
type Contents struct {
	Process      recovery.Process
	Calls        map[uint32]recovery.StoredCall
	Frames       int
	Version      byte
	ReadOctets   int    // octets read
	UnreadOctets int    // octets after them that were not read
	UnreadReason string // why they were not read, "" if all were
}

// Read decodes the contents of a file up to the first damaged frame.
func Read(b []byte) Contents {
	c := Contents{Calls: map[uint32]recovery.StoredCall{}, Process: recovery.Process{Incarnations: map[int]string{}}}
	stop := func(at int, why string) Contents {
		c.ReadOctets, c.UnreadOctets, c.UnreadReason = at, len(b)-at, why
		return c
	}
	if len(b) < len(magic)+1 || string(b[:len(magic)]) != magic {
		return stop(0, "not a ledger file")
	}
	if c.Version = b[len(magic)]; c.Version == 0 || c.Version > version {
		return stop(0, fmt.Sprintf("format %d is not supported; the latest known is %d", c.Version, version))
	}
	for at := len(magic) + 1; ; {
		if at == len(b) {
			return stop(at, "")
		}
		r, n, err := readFrame(b[at:], c.Version)
		if err != nil {
			return stop(at, err.Error())
		}
		at += n
		c.Frames++
		c.take(r)
	}
}

// take applies a record.
func (c *Contents) take(r Record) {
	switch r.Kind {
	case HeaderFrame:
		c.Process.SiteDigest = r.SiteDigest
	case CallFrame:
		c.Calls[r.Call.ID] = r.Call
	case CallEndFrame:
		delete(c.Calls, r.Call.ID)
	case IncarnationFrame:
		if r.Exchange < 0 {
			c.Process.OwnIncarnation = r.Incarnation
		} else {
			c.Process.Incarnations[r.Exchange] = r.Incarnation
		}
	case HeartbeatFrame:
		c.Process.LastHeartbeat = r.Time
	}
}
