// Package board follows the platform's notice board, the service that publishes the list of switches. It has the codec of
// its frames, the parser of the list in the start configuration, and a client that keeps a connection to the board.
package board

import (
	"cmp"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"slices"
	"strconv"
	"strings"
)

// State is the service state of a switch.
type State uint8

const (
	Ready State = iota
	Draining
	Gone
)

// Switch is one entry of the list. Zones, kinds and weights are not read, since the policy doesn't use them.
type Switch struct {
	ID        uint32
	Address   string // host:port
	State     State
	Exchange  int   // number of the exchange that it serves
	StartedMS int64 // Unix time in milliseconds if it started later than the network, 0 otherwise
}

// Event is one numbered update of the list.
type Event struct {
	Number   uint64
	Complete bool // the complete list rather than changes
	Switches []Switch
}

// Frame kinds and sizes.
const (
	kindKeepalive = 0
	kindComplete  = 1
	kindChanges   = 2

	numberSize = 8
	headerSize = numberSize + 1 // counted by the length field, as the records are
	recordSize = 27

	// maxRecords bounds the records of a frame, far above any real list, so that a wrong length can't exhaust memory.
	maxRecords = 1 << 14
)

// ErrMalformed reports a frame or an initial list that cannot be parsed.
var ErrMalformed = errors.New("malformed notice")

// FormatID formats a switch id.
func FormatID(id uint32) string { return fmt.Sprintf("s-%08x", id) }

// ParseID parses a switch id in text form.
func ParseID(text string) (uint32, error) {
	digits, ok := strings.CutPrefix(text, "s-")
	v, err := strconv.ParseUint(digits, 16, 32)
	if !ok || err != nil || len(digits) != 8 {
		return 0, fmt.Errorf("%w: switch id %.40q", ErrMalformed, text)
	}
	return uint32(v), nil
}

// ReadFrame reads one frame. isEvent is false for the keepalive frame that the board sends each second. The length is checked
// before memory is allocated for it.
func ReadFrame(r io.Reader) (e Event, isEvent bool, err error) {
	var header [4 + headerSize]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return e, false, fmt.Errorf("read frame header: %w", err)
	}
	length := binary.BigEndian.Uint32(header[:])
	if length < headerSize || (length-headerSize)%recordSize != 0 || length > headerSize+maxRecords*recordSize {
		return e, false, fmt.Errorf("%w: invalid frame length %d", ErrMalformed, length)
	}
	e.Number = binary.BigEndian.Uint64(header[4:])
	records := int(length-headerSize) / recordSize
	switch kind := header[4+numberSize]; {
	case kind == kindKeepalive && records == 0:
		return e, false, nil
	case kind == kindComplete:
		e.Complete = true
	case kind != kindChanges:
		return e, false, fmt.Errorf("%w: frame of kind %d with %d records", ErrMalformed, kind, records)
	}
	for range records {
		var record [recordSize]byte
		if _, err := io.ReadFull(r, record[:]); err != nil {
			return e, false, fmt.Errorf("read record: %w", err)
		}
		s := Switch{ID: binary.BigEndian.Uint32(record[:]), State: State(record[10]), Exchange: int(binary.BigEndian.Uint16(record[13:])),
			Address:   netip.AddrPortFrom(netip.AddrFrom4([4]byte(record[4:8])), binary.BigEndian.Uint16(record[8:])).String(),
			StartedMS: int64(binary.BigEndian.Uint64(record[19:]))}
		if s.State > Gone || s.StartedMS < 0 {
			return e, false, fmt.Errorf("%w: invalid state or start time of switch %s", ErrMalformed, FormatID(s.ID))
		}
		e.Switches = append(e.Switches, s)
	}
	return e, true, nil
}

// AppendFrame appends the frame of an event to b. Each address must be an IPv4 address and port.
func AppendFrame(b []byte, e Event) ([]byte, error) {
	b = binary.BigEndian.AppendUint32(b, uint32(headerSize+len(e.Switches)*recordSize))
	b = binary.BigEndian.AppendUint64(b, e.Number)
	kind := byte(kindChanges)
	if e.Complete {
		kind = kindComplete
	}
	b = append(b, kind)
	for _, s := range e.Switches {
		addrPort, err := netip.ParseAddrPort(s.Address)
		if err != nil || !addrPort.Addr().Is4() {
			return b, fmt.Errorf("%w: address %q is not an IPv4 address and port", ErrMalformed, s.Address)
		}
		b = binary.BigEndian.AppendUint32(b, s.ID)
		b = append(b, addrPort.Addr().AsSlice()...)
		b = binary.BigEndian.AppendUint16(b, addrPort.Port())
		b = append(b, byte(s.State), 0, 0)
		b = binary.BigEndian.AppendUint16(b, uint16(s.Exchange))
		b = binary.BigEndian.AppendUint32(b, 1000) // weight of a full-sized switch, in thousandths
		b = binary.BigEndian.AppendUint64(b, uint64(s.StartedMS))
	}
	return b, nil
}

// AppendKeepalive appends a keepalive frame to b.
func AppendKeepalive(b []byte, number uint64) []byte {
	b = binary.BigEndian.AppendUint32(b, headerSize)
	b = binary.BigEndian.AppendUint64(b, number)
	return append(b, kindKeepalive)
}

// AppendRequest appends a controller's request for the events after last to b.
func AppendRequest(b []byte, last uint64) []byte { return binary.BigEndian.AppendUint64(b, last) }

var lifecycleStates = map[string]State{"in_service": Ready, "terminating": Draining, "terminated": Gone}

// ParseInitialEvents parses the events in the start configuration. They must be in order.
func ParseInitialEvents(text []byte) ([]Event, error) {
	var known struct {
		Rev     uint64
		Notices []struct {
			Rev  uint64
			Pool struct {
				Reset     bool
				Instances []struct {
					InstanceID  string `json:"instanceId"`
					HostPort    string `json:"hostPort"`
					Cell        int
					Lifecycle   string
					StartedAtMS float64 `json:"startedAtMs"`
				}
			}
		}
	}
	if err := json.Unmarshal(text, &known); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrMalformed, err)
	}
	var events []Event
	for _, notice := range known.Notices {
		e := Event{Number: notice.Rev, Complete: notice.Pool.Reset || notice.Rev == 1}
		for _, instance := range notice.Pool.Instances {
			id, err := ParseID(instance.InstanceID)
			if err != nil {
				return nil, fmt.Errorf("event %d: %w", notice.Rev, err)
			}
			state, ok := lifecycleStates[instance.Lifecycle]
			if _, err := netip.ParseAddrPort(instance.HostPort); !ok || err != nil {
				return nil, fmt.Errorf("%w: event %d: switch %s: state %q, address %q", ErrMalformed, notice.Rev, instance.InstanceID,
					instance.Lifecycle, instance.HostPort)
			}
			e.Switches = append(e.Switches, Switch{ID: id, Address: instance.HostPort, State: state, Exchange: instance.Cell,
				StartedMS: int64(instance.StartedAtMS)})
		}
		events = append(events, e)
	}
	if !slices.IsSortedFunc(events, func(a, b Event) int { return cmp.Compare(a.Number, b.Number) }) {
		return nil, fmt.Errorf("%w: events are out of order", ErrMalformed)
	}
	return events, nil
}
