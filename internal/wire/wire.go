// Package wire connects policy controllers to a simulator by a binary protocol on a pipe.
//
// The simulator sends batches of event records. Each event becomes a method call on the policy.Controller of the
// selected instance. The actions that the controllers take are returned as records of one reply per batch. Data of
// variable length follows the records of a batch or reply as its tail; records refer to it by offset and length.
package wire

import (
	"bufio"
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"

	"indigodrift/internal/deployment"
	"indigodrift/policy"
)

// Sizes in bytes and limits.
const (
	batchHeaderSize = 16
	eventSize       = 48
	replyHeaderSize = 8
	actionSize      = 24
	entrySize       = 23
	maxFrameSize    = 1 << 30
	maxLists        = 16 // lists of switches that can be defined
)

// Codes of the event records.
const (
	eventStart      = 16 // start an instance
	eventList       = 17 // deliver a list of switches that was defined, or its failure
	eventOffer      = 18 // a call is offered
	eventAnswered   = 19 // a route try is answered
	eventTryEnded   = 20 // a route try has ended
	eventAbandoned  = 21 // the caller has abandoned the call
	eventTimer      = 22 // a timer has expired
	eventLoadReport = 23 // load report of a switch
	eventDatagram   = 24 // message of another controller
	eventStop       = 25 // stop the instance
	eventDefineList = 26 // define a list of switches
	eventSelect     = 27 // select the instance that the following events are for
)

// Codes of the action records.
const (
	actionLog       = 17
	actionSetTimer  = 19
	actionAbort     = 20
	actionCancel    = 21
	actionSubscribe = 22
	actionSelect    = 23 // the following actions are of this instance
	actionBlock     = 25
	actionSend      = 27
)

// Flags of an offered call, kinds of a delivered list, and states of a switch.
const (
	flagRedial       = 2
	flagTransit      = 8
	flagDisconnected = 16

	listFull, listCached, listFailed = 1, 2, 3
	statusReady, statusDraining      = 1, 2
)

// outcomes maps the outcome codes of the protocol to outcomes.
var outcomes = map[uint16]policy.Outcome{
	100: policy.Released, 301: policy.Faulted, 302: policy.Blocked, 303: policy.TimedOut,
	304: policy.Unreachable, 305: policy.Disconnected, 306: policy.Cancelled, 307: policy.Unsent,
}

// Host runs the instances of one process. They share the pipe and the defined lists of switches.
type Host struct {
	instances   map[uint32]*instance
	lists       [maxLists][]policy.Switch
	listDefined [maxLists]bool
	actions     []byte // action records of the reply
	tail        []byte
	count       uint32    // of action records
	selected    *instance // instance of the latest action record
}

// instance is one simulated call controller.
type instance struct {
	host         *Host
	id           uint32
	controller   *policy.Controller
	reportFields []string // names of the values of a load report
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve replies to batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var head [batchHeaderSize]byte
	var body []byte
	for batch := 0; ; batch++ {
		if _, err := io.ReadFull(r, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header: %w", batch, err)
		}
		length := binary.LittleEndian.Uint32(head[8:])
		if length < batchHeaderSize || length > maxFrameSize {
			return fmt.Errorf("batch %d: header: invalid length %d", batch, length)
		}
		var err error
		if body, err = readBody(r, body, int(length)-batchHeaderSize); err != nil {
			return fmt.Errorf("batch %d: body of %d bytes: %w", batch, length-batchHeaderSize, err)
		}
		if err := h.HandleBatch(getFloat64(head[:]), binary.LittleEndian.Uint32(head[12:]), body); err != nil {
			return fmt.Errorf("batch %d: %w", batch, err)
		}
		if err := h.writeReply(w); err != nil {
			return fmt.Errorf("batch %d: reply: %w", batch, err)
		}
	}
}

// readBody reads n bytes into buf. It grows buf only as they arrive, so that a wrong length allocates no memory.
func readBody(r io.Reader, buf []byte, n int) ([]byte, error) {
	const step = 1 << 20
	buf = buf[:0]
	for len(buf) < n {
		part := min(n-len(buf), step)
		at := len(buf)
		if cap(buf) < at+part {
			grown := make([]byte, at, 2*at+part)
			copy(grown, buf)
			buf = grown
		}
		buf = buf[:at+part]
		if _, err := io.ReadFull(r, buf[at:]); err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return buf, err
		}
	}
	return buf, nil
}

// writeReply writes the reply to a batch.
func (h *Host) writeReply(w *bufio.Writer) error {
	var head [replyHeaderSize]byte
	binary.LittleEndian.PutUint32(head[:], uint32(replyHeaderSize+len(h.actions)+len(h.tail)))
	binary.LittleEndian.PutUint32(head[4:], h.count)
	for _, part := range [][]byte{head[:], h.actions, h.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return w.Flush()
}

// HandleBatch handles the event records of one batch in order and collects the actions for the reply.
func (h *Host) HandleBatch(clock float64, count uint32, body []byte) error {
	h.actions, h.tail, h.count, h.selected = h.actions[:0], h.tail[:0], 0, nil
	if uint64(count)*eventSize > uint64(len(body)) {
		return fmt.Errorf("%d records do not fit %d bytes", count, len(body))
	}
	if math.IsNaN(clock) || math.Abs(clock) > 1e15 {
		return fmt.Errorf("invalid clock %v", clock)
	}
	tail := body[count*eventSize:]
	now := deployment.TenthsFromMillis(clock)
	var instanceID uint32
	known := false
	for i := range int(count) {
		record := body[i*eventSize : (i+1)*eventSize]
		var err error
		switch record[0] {
		case eventSelect:
			instanceID, known = getUint32(record[1:]), true
		case eventDefineList:
			err = h.defineList(record, tail)
		case eventStart:
			if !known {
				err = errors.New("no instance selected")
				break
			}
			err = h.startInstance(instanceID, record, tail, now)
		default:
			in := h.instances[instanceID]
			if !known || in == nil {
				err = fmt.Errorf("unknown instance %d", instanceID)
				break
			}
			err = in.handleEvent(record, tail, now)
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, record[0], err)
		}
	}
	return nil
}

// defineList stores a list of switches.
func (h *Host) defineList(record, tail []byte) error {
	index := binary.LittleEndian.Uint16(record[1:])
	if index >= maxLists {
		return fmt.Errorf("list number %d is out of range", index)
	}
	offset, count := uint64(getUint32(record[3:])), uint64(getUint32(record[7:]))
	if offset+count*entrySize > uint64(len(tail)) {
		return fmt.Errorf("list entries at offset %d, count %d, reach past the tail of %d bytes", offset, count, len(tail))
	}
	list := h.lists[index][:0]
	for entry := tail[offset : offset+count*entrySize]; len(entry) > 0; entry = entry[entrySize:] {
		sw := policy.Switch{ID: getUint32(entry[14:]), Number: int(binary.LittleEndian.Uint16(entry[20:])),
			Ready: entry[22] == statusReady, Draining: entry[22] == statusDraining}
		if bootMillis := getFloat64(entry[4:]); bootMillis > 0 && bootMillis < 1e15 {
			sw.BootAt = deployment.TenthsFromMillis(bootMillis)
		}
		list = append(list, sw)
	}
	h.lists[index], h.listDefined[index] = list, true
	return nil
}

// startInstance starts an instance with the settings in the tail.
func (h *Host) startInstance(instanceID uint32, record, tail []byte, now policy.Tenths) error {
	text, err := tailSpan(record[9:], tail)
	if err != nil {
		return err
	}
	settings, err := deployment.Parse(text)
	if err != nil {
		return err
	}
	settings.Policy.Seed = binary.LittleEndian.Uint64(record[1:])
	in := &instance{host: h, id: instanceID, reportFields: settings.LoadReportNames}
	in.controller = policy.New(settings.Policy, in, now)
	h.instances[instanceID] = in
	return nil
}

// handleEvent reports one event to the controller of the instance.
func (in *instance) handleEvent(record, tail []byte, now policy.Tenths) error {
	ctrl, subjectID := in.controller, getUint32(record[1:])
	switch record[0] {
	case eventList:
		if record[1] == listFailed {
			ctrl.ListLost(now)
			return nil
		}
		list := binary.LittleEndian.Uint16(record[10:])
		if list >= maxLists || !in.host.listDefined[list] {
			return fmt.Errorf("list number %d was never defined", list)
		}
		ctrl.ListReceived(now, record[1] == listFull || record[1] == listCached, in.host.lists[list])
	case eventOffer:
		request := policy.Call{ID: subjectID, Number: binary.LittleEndian.Uint64(record[8:]), Bearer: int(record[5]),
			TTL: deployment.TenthsFromMillis(getFloat64(record[16:])), Dest: getCount(record[32:]),
			Width: max(1, getCount(record[36:])), AdvisedTandem: getCount(record[40:]),
			Redial: record[44]&flagRedial != 0, Transit: record[44]&flagTransit != 0, Disconnected: record[44]&flagDisconnected != 0}
		if !ctrl.Offer(now, request) {
			return fmt.Errorf("call %d: unknown bearer type %d", subjectID, request.Bearer)
		}
	case eventAnswered:
		ctrl.Answered(now, subjectID, int(record[17]))
	case eventTryEnded:
		outcome, ok := outcomes[binary.LittleEndian.Uint16(record[10:])]
		if !ok {
			return fmt.Errorf("call %d: unknown outcome %d", subjectID, binary.LittleEndian.Uint16(record[10:]))
		}
		report, err := in.readReport(record[25:])
		if err != nil {
			return err
		}
		reason, wait := readReason(getUint32(record[21:]))
		ctrl.TryEnded(now, subjectID, int(record[5]), getUint32(record[6:]), outcome, record[20] != 0, reason, wait, report)
	case eventLoadReport:
		report, err := in.readReport(record[15:])
		if err != nil {
			return err
		}
		ctrl.LoadReported(now, subjectID, report)
	case eventAbandoned:
		ctrl.Abandoned(now, subjectID)
	case eventTimer:
		ctrl.TimerExpired(now, binary.LittleEndian.Uint64(record[1:]))
	case eventDatagram:
		if _, err := tailSpan(record[5:], tail); err != nil { // controllers send each other no messages yet
			return err
		}
	case eventStop:
		delete(in.host.instances, in.id)
	default:
		return errors.New("unknown event")
	}
	return nil
}

// readReason splits a reason code into a reason and the processor wait that is encoded with it in milliseconds.
func readReason(code uint32) (policy.Reason, policy.Tenths) {
	reasons := [...]policy.Reason{policy.NoReason, policy.NoCircuit, policy.TurnedBack, policy.ProcessorOverloaded,
		policy.NumberBusy}
	low, high := code%16, code/16
	switch {
	case low == 2 && high > 0:
		return policy.DestOverloaded, 0
	case int(low) < len(reasons):
		return reasons[low], policy.Tenths(high) * 10
	}
	return policy.NoReason, 0
}

// readReport reads the values of a load report, in the order in which the settings name them.
func (in *instance) readReport(fields []byte) (policy.LoadReport, error) {
	count := int(fields[0])
	if count > 4 {
		return policy.LoadReport{}, fmt.Errorf("load report of %d values, at most 4 are allowed", count)
	}
	var values [4]float64
	for i := range count {
		values[i] = float64(math.Float32frombits(getUint32(fields[1+4*i:])))
	}
	return deployment.LoadReport(in.reportFields, values[:count]), nil
}

// appendAction appends an action record of this instance and returns its fields.
func (in *instance) appendAction(code byte) []byte {
	h := in.host
	if h.selected != in {
		h.selected = in
		binary.LittleEndian.PutUint32(in.appendRecord(actionSelect), in.id)
	}
	return in.appendRecord(code)
}

// appendRecord appends an empty record and returns its fields.
func (in *instance) appendRecord(code byte) []byte {
	h := in.host
	offset := len(h.actions)
	h.actions = append(h.actions, make([]byte, actionSize)...)
	h.actions[offset] = code
	h.count++
	return h.actions[offset+1:]
}

// Send appends the action that starts a route try.
func (in *instance) Send(callID, switchID uint32, timeout policy.Tenths) {
	fields := in.appendAction(actionSend)
	binary.LittleEndian.PutUint32(fields, callID)
	binary.LittleEndian.PutUint32(fields[4:], switchID)
	putMillis(fields[8:], timeout)
}

// Block appends the action that rejects a call.
func (in *instance) Block(callID uint32, retryAfter policy.Tenths) {
	fields := in.appendAction(actionBlock)
	binary.LittleEndian.PutUint32(fields, callID)
	putMillis(fields[4:], retryAfter)
}

// Abort appends the action that fails a call.
func (in *instance) Abort(callID uint32) {
	binary.LittleEndian.PutUint32(in.appendAction(actionAbort), callID)
}

// Cancel appends the action that cancels a route try.
func (in *instance) Cancel(callID uint32, try int) {
	fields := in.appendAction(actionCancel)
	binary.LittleEndian.PutUint32(fields, callID)
	fields[4] = byte(try)
}

// SetTimer appends the action that sets a timer.
func (in *instance) SetTimer(at policy.Tenths, token uint64) {
	fields := in.appendAction(actionSetTimer)
	putMillis(fields, at)
	binary.LittleEndian.PutUint64(fields[8:], token)
}

// Subscribe appends the action that subscribes to the list of switches.
func (in *instance) Subscribe() { in.appendAction(actionSubscribe)[0] = 1 }

// Log appends the action that writes a log line.
func (in *instance) Log(text string) {
	fields := in.appendAction(actionLog)
	binary.LittleEndian.PutUint32(fields, uint32(len(in.host.tail)))
	binary.LittleEndian.PutUint32(fields[4:], uint32(len(text)))
	in.host.tail = append(in.host.tail, text...)
}

// tailSpan returns the part of the tail that a reference of offset and length points to.
func tailSpan(reference, tail []byte) ([]byte, error) {
	offset, length := uint64(getUint32(reference)), uint64(getUint32(reference[4:]))
	if offset+length > uint64(len(tail)) {
		return nil, fmt.Errorf("tail reference %d+%d reaches past the tail of %d bytes", offset, length, len(tail))
	}
	return tail[offset : offset+length], nil
}

func getUint32(b []byte) uint32   { return binary.LittleEndian.Uint32(b) }
func getFloat64(b []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b)) }

// getCount reads a count that is sent as a float. A value that is negative, too large or not a number reads as -1.
func getCount(b []byte) int {
	v := float64(math.Float32frombits(getUint32(b)))
	if !(v >= 0) || v > 1e6 {
		return -1
	}
	return int(v)
}

// putMillis writes a time in milliseconds.
func putMillis(b []byte, t policy.Tenths) {
	binary.LittleEndian.PutUint64(b, math.Float64bits(float64(t)/10))
}
