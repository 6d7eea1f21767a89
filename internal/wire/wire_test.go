package wire

import (
	"bytes"
	"encoding/binary"
	"math"
	"strings"
	"testing"

	"indigodrift/internal/seeded"
)

const settings = `{"family_info":{"self_no":0,"shape":"mesh","release_guard":300.0},"grades":[{"aim":1200.0,"deadline":9000.0,
"worth":1.0}],"policy_limits":{"max_attempts":4},"load_report":{"names":["free","size"]},"unknown":[1]}`

// frame encodes records and their tail as one batch.
func frame(clock float64, tail string, records ...[]byte) []byte {
	var body []byte
	for _, r := range records {
		body = append(body, append(r, make([]byte, eventSize-len(r))...)...)
	}
	body = append(body, tail...)
	head := make([]byte, batchHeaderSize)
	binary.LittleEndian.PutUint64(head, math.Float64bits(clock))
	binary.LittleEndian.PutUint32(head[8:], uint32(batchHeaderSize+len(body)))
	binary.LittleEndian.PutUint32(head[12:], uint32(len(records)))
	return append(head, body...)
}

// record encodes one record.
func record(code byte, fields ...any) []byte {
	b := bytes.NewBuffer([]byte{code})
	for _, f := range fields {
		if err := binary.Write(b, binary.LittleEndian, f); err != nil {
			panic(err)
		}
	}
	return b.Bytes()
}

// openingBatch is a batch that starts an instance with two switches and a group of 9 circuits and offers it a call.
func openingBatch() []byte {
	entry := func(id uint32, number uint16) string {
		return string(record(0, float32(1), 0.0, uint16(0), id, uint16(0), number, uint8(1))[1:])
	}
	list := entry(500, 0) + entry(501, 1)
	return frame(1000, settings+list,
		record(eventSelect, uint32(3)),
		record(eventStart, uint64(5), uint32(0), uint32(len(settings))),
		record(eventDefineList, uint16(0), uint32(len(settings)), uint32(2)),
		record(eventList, uint8(listCached), uint64(1), uint16(0)),
		record(eventLoadReport, uint32(501), uint16(100), 0.0, uint8(2), float32(9), float32(9)),
		record(eventOffer, uint32(77), uint8(0), uint16(0), uint64(0), 3000.0, 0.0, float32(1), float32(1), float32(-1), uint8(0)))
}

func serve(in []byte) ([]byte, error) {
	var out bytes.Buffer
	err := NewHost().Serve(bytes.NewReader(in), &out)
	return out.Bytes(), err
}

func TestOfferedCallIsRoutedDirectly(t *testing.T) {
	out, err := serve(openingBatch())
	if err != nil {
		t.Fatal(err)
	}
	// the instance is selected, sets the timer of its first tick and starts a route try
	if n := binary.LittleEndian.Uint32(out[4:]); n != 3 || out[8] != actionSelect || out[32] != actionSetTimer || out[56] != actionSend {
		t.Fatalf("reply of %d records: % x", n, out)
	}
	if call, to := getUint32(out[57:]), getUint32(out[61:]); call != 77 || to != 501 {
		t.Fatalf("call %d routed to switch %d", call, to)
	}
}

func TestInvalidInputIsReported(t *testing.T) {
	start := record(eventSelect, uint32(3))
	for name, c := range map[string]struct {
		in   []byte
		want string
	}{
		"truncated":       {openingBatch()[:60], "unexpected EOF"},
		"huge length":     {frame(0, "")[:8:8], "header"},
		"unknown event":   {append(openingBatch(), frame(1001, "", start, record(99))...), "record 1 (code 99): unknown event"},
		"no instance":     {frame(0, "", start, record(eventTimer, uint64(1))), "unknown instance 3"},
		"tail reference":  {frame(0, "", start, record(eventStart, uint64(1), uint32(5), uint32(9))), "past the tail"},
		"settings":        {frame(0, "{]", start, record(eventStart, uint64(1), uint32(0), uint32(2))), "settings do not parse"},
		"list undefined":  {append(openingBatch(), frame(1001, "", start, record(eventList, uint8(1), uint64(1), uint16(9)))...), "never defined"},
		"too many":        {append(frame(0, "")[:12:12], 9, 0, 0, 0), "9 records do not fit"},
		"unknown outcome": {append(openingBatch(), frame(1001, "", start, record(eventTryEnded, uint32(77), uint8(0), uint32(501), uint16(9)))...), "unknown outcome 9"},
	} {
		if _, err := serve(c.in); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v", name, err)
		}
	}
}

func corpus() [][]byte {
	return [][]byte{openingBatch(), frame(0, ""), append(openingBatch(), frame(1500, "", record(eventSelect, uint32(3)), record(eventStop))...)}
}

// checkReply checks that a batch, however damaged, is replied to or fails.
func checkReply(t *testing.T, in []byte) {
	out, err := serve(in)
	if err == nil && len(in) >= batchHeaderSize && len(out) < replyHeaderSize {
		t.Fatalf("no reply to a batch of %d bytes", len(in))
	}
}

func TestDamagedBatches(t *testing.T) { seeded.ForEachMutation(t, corpus(), 20000, checkReply) }

func FuzzServe(f *testing.F) {
	for _, b := range corpus() {
		f.Add(b)
	}
	f.Fuzz(checkReply)
}
