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
	batchHeader = 16
	eventSize   = 48
	replyHeader = 8
	actionSize  = 24
	entrySize   = 23
	frameMost   = 1 << 30
	pagesMost   = 16 // lists of switches that can be defined
)

// Codes of the event records.
const (
	evLaunch    = 16 // start an instance
	evTargets   = 17 // deliver a list of switches that was defined, or its failure
	evSubmit    = 18 // a call is offered
	evStarted   = 19 // a route try is answered
	evReport    = 20 // a route try has ended
	evClientOff = 21 // the caller has abandoned the call
	evRing      = 22 // a timer has expired
	evEcho      = 23 // load report of a switch
	evDatagram  = 24 // message of another controller
	evHalt      = 25 // stop the instance
	evRegister  = 26 // define a list of switches
	evSwitchTo  = 27 // select the instance that the following events are for
)

// Codes of the action records.
const (
	acLog     = 17
	acArm     = 19
	acFail    = 20
	acAbandon = 21
	acWatch   = 22
	acAs      = 23 // the following actions are of this instance
	acDecline = 25
	acAssign  = 27
)

// Flags of an offered call, kinds of a delivered list, and states of a switch.
const (
	bitRedial  = 2
	bitTransit = 8
	bitCut     = 16

	listFull, listCached, listFailed = 1, 2, 3
	statusReady, statusDraining      = 1, 2
)

// endings maps the outcome codes of the protocol to outcomes.
var endings = map[uint16]policy.Outcome{
	100: policy.Released, 301: policy.Faulted, 302: policy.Blocked, 303: policy.TimedOut,
	304: policy.Unreachable, 305: policy.Disconnected, 306: policy.Cancelled, 307: policy.Unsent,
}

// Host runs the instances of one process. They share the pipe and the defined lists of switches.
type Host struct {
	instances map[uint32]*instance
	pages     [pagesMost][]policy.Switch
	pageSet   [pagesMost]bool
	records   []byte // action records, tail and record count of the reply
	tail      []byte
	count     uint32
	speaker   *instance // instance of the latest action record
}

// instance is one simulated call controller.
type instance struct {
	host   *Host
	id     uint32
	module *policy.Controller
	fields []string // names of the values of a load report
}

// NewHost returns a host without instances.
func NewHost() *Host { return &Host{instances: map[uint32]*instance{}} }

// Serve replies to batches until the input ends.
func (h *Host) Serve(in io.Reader, out io.Writer) error {
	r, w := bufio.NewReaderSize(in, 1<<16), bufio.NewWriterSize(out, 1<<16)
	var head [batchHeader]byte
	var body []byte
	for n := 0; ; n++ {
		if _, err := io.ReadFull(r, head[:]); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return fmt.Errorf("batch %d: header: %w", n, err)
		}
		length := binary.LittleEndian.Uint32(head[8:])
		if length < batchHeader || length > frameMost {
			return fmt.Errorf("batch %d: header: invalid length %d", n, length)
		}
		var err error
		if body, err = readBody(r, body, int(length)-batchHeader); err != nil {
			return fmt.Errorf("batch %d: body of %d bytes: %w", n, length-batchHeader, err)
		}
		if err := h.Batch(f64(head[:]), binary.LittleEndian.Uint32(head[12:]), body); err != nil {
			return fmt.Errorf("batch %d: %w", n, err)
		}
		if err := h.reply(w); err != nil {
			return fmt.Errorf("batch %d: reply: %w", n, err)
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

// reply writes the reply to a batch.
func (h *Host) reply(w *bufio.Writer) error {
	var head [replyHeader]byte
	binary.LittleEndian.PutUint32(head[:], uint32(replyHeader+len(h.records)+len(h.tail)))
	binary.LittleEndian.PutUint32(head[4:], h.count)
	for _, part := range [][]byte{head[:], h.records, h.tail} {
		if _, err := w.Write(part); err != nil {
			return fmt.Errorf("write: %w", err)
		}
	}
	return w.Flush()
}

// Batch handles the event records of one batch in order and collects the actions for the reply.
func (h *Host) Batch(clock float64, count uint32, body []byte) error {
	h.records, h.tail, h.count, h.speaker = h.records[:0], h.tail[:0], 0, nil
	if uint64(count)*eventSize > uint64(len(body)) {
		return fmt.Errorf("%d records do not fit %d bytes", count, len(body))
	}
	if math.IsNaN(clock) || math.Abs(clock) > 1e15 {
		return fmt.Errorf("invalid clock %v", clock)
	}
	tail := body[count*eventSize:]
	now := deployment.TenthsFromMillis(clock)
	var who uint32
	named := false
	for i := range int(count) {
		rec := body[i*eventSize : (i+1)*eventSize]
		var err error
		switch rec[0] {
		case evSwitchTo:
			who, named = u32(rec[1:]), true
		case evRegister:
			err = h.register(rec, tail)
		case evLaunch:
			if !named {
				err = errors.New("no instance selected")
				break
			}
			err = h.launch(who, rec, tail, now)
		default:
			in := h.instances[who]
			if !named || in == nil {
				err = fmt.Errorf("unknown instance %d", who)
				break
			}
			err = in.event(rec, tail, now)
		}
		if err != nil {
			return fmt.Errorf("record %d (code %d): %w", i, rec[0], err)
		}
	}
	return nil
}

// register stores a list of switches.
func (h *Host) register(rec, tail []byte) error {
	page := binary.LittleEndian.Uint16(rec[1:])
	if page >= pagesMost {
		return fmt.Errorf("list number %d is out of range", page)
	}
	at, n := uint64(u32(rec[3:])), uint64(u32(rec[7:]))
	if at+n*entrySize > uint64(len(tail)) {
		return fmt.Errorf("list entries at offset %d, count %d, reach past the tail of %d bytes", at, n, len(tail))
	}
	list := h.pages[page][:0]
	for e := tail[at : at+n*entrySize]; len(e) > 0; e = e[entrySize:] {
		s := policy.Switch{ID: u32(e[14:]), Number: int(binary.LittleEndian.Uint16(e[20:])),
			Ready: e[22] == statusReady, Draining: e[22] == statusDraining}
		if boot := f64(e[4:]); boot > 0 && boot < 1e15 {
			s.BootAt = deployment.TenthsFromMillis(boot)
		}
		list = append(list, s)
	}
	h.pages[page], h.pageSet[page] = list, true
	return nil
}

// launch starts an instance with the settings in the tail.
func (h *Host) launch(who uint32, rec, tail []byte, now policy.Tenths) error {
	info, err := span(rec[9:], tail)
	if err != nil {
		return err
	}
	told, err := deployment.Parse(info)
	if err != nil {
		return err
	}
	told.Policy.Seed = binary.LittleEndian.Uint64(rec[1:])
	in := &instance{host: h, id: who, fields: told.LoadReportNames}
	in.module = policy.New(told.Policy, in, now)
	h.instances[who] = in
	return nil
}

// event reports one event to the controller of the instance.
func (in *instance) event(rec, tail []byte, now policy.Tenths) error {
	m, call := in.module, u32(rec[1:])
	switch rec[0] {
	case evTargets:
		if rec[1] == listFailed {
			m.ListLost(now)
			return nil
		}
		page := binary.LittleEndian.Uint16(rec[10:])
		if page >= pagesMost || !in.host.pageSet[page] {
			return fmt.Errorf("list number %d was never defined", page)
		}
		m.ListReceived(now, rec[1] == listFull || rec[1] == listCached, in.host.pages[page])
	case evSubmit:
		c := policy.Call{ID: call, Number: binary.LittleEndian.Uint64(rec[8:]), Bearer: int(rec[5]),
			TTL: deployment.TenthsFromMillis(f64(rec[16:])), Dest: whole(rec[32:]), Width: max(1, whole(rec[36:])), AdvisedTandem: whole(rec[40:]),
			Redial: rec[44]&bitRedial != 0, Transit: rec[44]&bitTransit != 0, Disconnected: rec[44]&bitCut != 0}
		if !m.Offer(now, c) {
			return fmt.Errorf("call %d: unknown bearer type %d", call, c.Bearer)
		}
	case evStarted:
		m.Answered(now, call, int(rec[17]))
	case evReport:
		end, ok := endings[binary.LittleEndian.Uint16(rec[10:])]
		if !ok {
			return fmt.Errorf("call %d: unknown outcome %d", call, binary.LittleEndian.Uint16(rec[10:]))
		}
		rep, err := in.report(rec[25:])
		if err != nil {
			return err
		}
		why, wait := cause(u32(rec[21:]))
		m.TryEnded(now, call, int(rec[5]), u32(rec[6:]), end, rec[20] != 0, why, wait, rep)
	case evEcho:
		rep, err := in.report(rec[15:])
		if err != nil {
			return err
		}
		m.LoadReported(now, call, rep)
	case evClientOff:
		m.Abandoned(now, call)
	case evRing:
		m.TimerExpired(now, binary.LittleEndian.Uint64(rec[1:]))
	case evDatagram:
		if _, err := span(rec[5:], tail); err != nil { // controllers send each other no messages yet
			return err
		}
	case evHalt:
		delete(in.host.instances, in.id)
	default:
		return errors.New("unknown event")
	}
	return nil
}

// cause splits a reason code into the reason and the wait that it hints at, in milliseconds.
func cause(v uint32) (policy.Reason, policy.Tenths) {
	reasons := [...]policy.Reason{policy.NoReason, policy.NoCircuit, policy.TurnedBack, policy.ProcessorOverloaded,
		policy.NumberBusy}
	low, high := v%16, v/16
	switch {
	case low == 2 && high > 0:
		return policy.DestOverloaded, 0
	case int(low) < len(reasons):
		return reasons[low], policy.Tenths(high) * 10
	}
	return policy.NoReason, 0
}

// report reads the values of a load report, in the order in which the settings name them.
func (in *instance) report(b []byte) (policy.LoadReport, error) {
	n := int(b[0])
	if n > 4 {
		return policy.LoadReport{}, fmt.Errorf("load report of %d values, at most 4 are allowed", n)
	}
	var values [4]float64
	for i := range n {
		values[i] = float64(math.Float32frombits(u32(b[1+4*i:])))
	}
	return deployment.LoadReport(in.fields, values[:n]), nil
}

// put appends an action record of this instance and returns its fields.
func (in *instance) put(code byte) []byte {
	h := in.host
	if h.speaker != in {
		h.speaker = in
		binary.LittleEndian.PutUint32(in.blank(acAs), in.id)
	}
	return in.blank(code)
}

// blank appends an empty record and returns its fields.
func (in *instance) blank(code byte) []byte {
	h := in.host
	at := len(h.records)
	h.records = append(h.records, make([]byte, actionSize)...)
	h.records[at] = code
	h.count++
	return h.records[at+1:]
}

// Send appends the action that starts a route try.
func (in *instance) Send(call, to uint32, limit policy.Tenths) {
	b := in.put(acAssign)
	binary.LittleEndian.PutUint32(b, call)
	binary.LittleEndian.PutUint32(b[4:], to)
	putMS(b[8:], limit)
}

// Block appends the action that rejects a call.
func (in *instance) Block(call uint32, comeBack policy.Tenths) {
	b := in.put(acDecline)
	binary.LittleEndian.PutUint32(b, call)
	putMS(b[4:], comeBack)
}

// Abort appends the action that fails a call.
func (in *instance) Abort(call uint32) { binary.LittleEndian.PutUint32(in.put(acFail), call) }

// Cancel appends the action that cancels a route try.
func (in *instance) Cancel(call uint32, try int) {
	b := in.put(acAbandon)
	binary.LittleEndian.PutUint32(b, call)
	b[4] = byte(try)
}

// SetTimer appends the action that sets a timer.
func (in *instance) SetTimer(at policy.Tenths, token uint64) {
	b := in.put(acArm)
	putMS(b, at)
	binary.LittleEndian.PutUint64(b[8:], token)
}

// Subscribe appends the action that subscribes to the list of switches.
func (in *instance) Subscribe() { in.put(acWatch)[0] = 1 }

// Log appends the action that writes a log line.
func (in *instance) Log(text string) {
	b := in.put(acLog)
	binary.LittleEndian.PutUint32(b, uint32(len(in.host.tail)))
	binary.LittleEndian.PutUint32(b[4:], uint32(len(text)))
	in.host.tail = append(in.host.tail, text...)
}

// span returns the part of the tail that a reference of offset and length points to.
func span(ref, tail []byte) ([]byte, error) {
	at, n := uint64(u32(ref)), uint64(u32(ref[4:]))
	if at+n > uint64(len(tail)) {
		return nil, fmt.Errorf("tail reference %d+%d reaches past the tail of %d bytes", at, n, len(tail))
	}
	return tail[at : at+n], nil
}

func u32(b []byte) uint32  { return binary.LittleEndian.Uint32(b) }
func f64(b []byte) float64 { return math.Float64frombits(binary.LittleEndian.Uint64(b)) }

// whole reads a count that is sent as a float. A value that is negative, too large or not a number reads as -1.
func whole(b []byte) int {
	v := float64(math.Float32frombits(u32(b)))
	if !(v >= 0) || v > 1e6 {
		return -1
	}
	return int(v)
}

// putMS writes a time in milliseconds.
func putMS(b []byte, t policy.Tenths) {
	binary.LittleEndian.PutUint64(b, math.Float64bits(float64(t)/10))
}
