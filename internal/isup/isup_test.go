package isup

import (
	"errors"
	"testing"

	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

// anyMessage draws a valid message.
func anyMessage(t *rapid.T) Message {
	types := []Type{IAM, ACM, ANM, REL, RLC, RSC, BLO, UBL, BLA, UBA, GRS, GRA, CQM, CQR}
	m := Message{CIC: rapid.Uint16Max(MaxCIC).Draw(t, "cic"), Type: rapid.SampledFrom(types).Draw(t, "type")}
	switch m.Type {
	case IAM:
		m.Digits = rapid.StringMatching(`[0-9BC]{1,24}`).Draw(t, "digits")
		m.Caller = rapid.StringMatching(`[0-9BC]{0,24}`).Draw(t, "caller")
		m.Width = rapid.IntRange(1, MaxWidth).Draw(t, "width")
		m.Slots = rapid.Uint32Max(1<<CircuitsPerMultiplex-1).Draw(t, "slots")
		m.HopCounter = rapid.Uint8Max(31).Draw(t, "hops")
		m.Ref = Reference{rapid.Uint16().Draw(t, "point"), rapid.Uint32Max(1<<24-1).Draw(t, "identity")}
	case REL:
		m.Cause, m.Location = Cause(rapid.Uint8Max(127).Draw(t, "cause")), Location(rapid.Uint8Max(15).Draw(t, "location"))
	case CQM, CQR:
		m.Range = rapid.Uint8Max(31).Draw(t, "range")
		if m.Type == CQR {
			states := rapid.SliceOfN(rapid.Byte(), int(m.Range)+1, int(m.Range)+1).Draw(t, "states")
			m.States = string(states)
		}
	case GRS, GRA:
		m.Range = rapid.Uint8Range(1, 31).Draw(t, "range")
	}
	if m.Type == IAM || m.Type == ACM || m.Type == ANM || m.Type == REL || m.Type == RLC {
		userInfo := &m.UserInfo
		userInfo.Present = PartSet(rapid.Uint8Max(63).Draw(t, "has"))
		if userInfo.Present&PartTimeLeft != 0 {
			userInfo.TimeLeft, userInfo.SentAt = rapid.Uint32().Draw(t, "left"), rapid.Uint32().Draw(t, "stamp")
		}
		if userInfo.Present&PartLoad != 0 {
			userInfo.Wait, userInfo.HoldBack = rapid.Uint32().Draw(t, "wait"), rapid.Uint16().Draw(t, "hold back")
		}
		if userInfo.Present&PartRetryAfter != 0 {
			userInfo.RetryAfter = rapid.Uint32().Draw(t, "come back")
		}
		if userInfo.Present&PartSession != 0 {
			userInfo.Session = rapid.StringMatching(`[a-z=\n]{0,200}`).Draw(t, "session")
		}
		if userInfo.Present&PartRoute != 0 {
			userInfo.Dest, userInfo.TableVersion = rapid.Uint16().Draw(t, "dest"), rapid.Uint64().Draw(t, "table")
		}
		if userInfo.Present&PartCall != 0 {
			userInfo.Bearer, userInfo.Flags = rapid.Uint8().Draw(t, "bearer"), rapid.Uint8().Draw(t, "marks")
		}
	}
	return m
}

func TestMessagesRoundTripAndTruncatedOnesAreRejected(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := anyMessage(t)
		b, err := Append(nil, m)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(b)
		if err != nil || got != m {
			t.Fatalf("decoded %+v, %v; encoded %+v", got, err, m)
		}
		for n := range b {
			if short, err := Decode(b[:n]); err == nil && short == m {
				t.Fatalf("%v truncated to %d of %d octets decodes as the whole message", m.Type, n, len(b))
			}
		}
	})
}

// Encodings of some messages, laid out by hand from the tables of Q.763.
func TestOctets(t *testing.T) {
	for _, c := range []struct {
		m    Message
		want string
	}{
		{Message{CIC: 0x123, Type: IAM, Digits: "12345", Width: 3},
			"\x23\x01\x01\x00\x60\x01\x0a\x10\x02\x07\x05\x83\x10\x21\x43\x05\x00"},
		{Message{CIC: 5, Type: REL, Cause: NoCircuit, Location: TransitNetwork}, "\x05\x00\x0c\x02\x00\x02\x83\xa2"},
		{Message{CIC: 5, Type: RLC}, "\x05\x00\x10\x00"},
		{Message{CIC: 33, Type: GRS, Range: 30}, "\x21\x00\x17\x01\x01\x1e"},
	} {
		b, err := Append(nil, c.m)
		if err != nil || string(b) != c.want {
			t.Errorf("%v: % x, %v; want % x", c.m.Type, b, err, c.want)
		}
	}
}

func TestInvalidMessagesAreNotEncoded(t *testing.T) {
	for _, m := range []Message{{CIC: 4096, Type: RSC}, {Type: IAM, Digits: "1", Width: 31}, {Type: IAM, Width: 1},
		{Type: IAM, Digits: "1x", Width: 1}, {Type: 0x7f}} {
		if b, err := Append([]byte("kept"), m); !errors.Is(err, ErrMessage) || string(b) != "kept" {
			t.Errorf("%+v: %q, %v", m, b, err)
		}
	}
}

// corpus returns encoded messages for the tests with damaged input.
func corpus() (all [][]byte) {
	for _, m := range []Message{{CIC: 1, Type: IAM, Digits: "0031234", Width: 3, Slots: 7, HopCounter: 3, Ref: Reference{2, 77},
		UserInfo: UserInfo{Present: PartTimeLeft | PartCall, TimeLeft: 30000}}, {CIC: 9, Type: REL, Cause: Congestion, UserInfo: UserInfo{Present: PartLoad}},
		{CIC: 9, Type: GRA, Range: 9}, {Type: ACM}, {Type: ANM}} {
		b, _ := Append(nil, m)
		all = append(all, b)
	}
	return append(all, relWithCaller)
}

// relWithCaller is a REL with the calling number of an IAM among its optional parts.
var relWithCaller = []byte("\x05\x00\x0c\x02\x04\x02\x86\xb0\x0a\x07\x03\x13\x35\x35\x03\x00\x00\x00")

// Parameters that a message type does not carry are ignored. A fuzz test found a REL with a calling number that was
// decoded and then lost when the message was encoded again.
func TestParametersOfOtherTypesAreIgnored(t *testing.T) {
	want := Message{CIC: 5, Type: REL, Cause: 48, Location: 6}
	if m, err := Decode(relWithCaller); err != nil || m != want {
		t.Errorf("%+v, %v; want %+v", m, err, want)
	}
}

// checkRoundTrip fails the test if an accepted message changes when it is encoded and decoded again.
func checkRoundTrip(t *testing.T, b []byte) {
	m, err := Decode(b)
	if err != nil {
		if !errors.Is(err, ErrMessage) {
			t.Fatalf("error does not wrap ErrMessage: %v", err)
		}
		return
	}
	again, err := Append(nil, m)
	if err != nil {
		t.Fatalf("%+v was decoded but cannot be encoded: %v", m, err)
	}
	if back, err := Decode(again); err != nil || back != m {
		t.Fatalf("%+v decodes again as %+v, %v", m, back, err)
	}
}

func TestDamagedMessages(t *testing.T) { seeded.ForEachMutation(t, corpus(), 200000, checkRoundTrip) }

func FuzzDecode(f *testing.F) {
	for _, b := range corpus() {
		f.Add(b)
	}
	f.Fuzz(checkRoundTrip)
}

func BenchmarkDecode(b *testing.B) {
	m := Message{CIC: 1, Type: IAM, Digits: "0031234", Width: 1, HopCounter: 3, Ref: Reference{2, 77},
		UserInfo: UserInfo{Present: PartTimeLeft | PartCall, TimeLeft: 30000}}
	buf, _ := Append(nil, m)
	b.ReportAllocs()
	for b.Loop() {
		if _, err := Decode(buf); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkEncode(b *testing.B) {
	m := Message{CIC: 1, Type: IAM, Digits: "0031234", Width: 1, HopCounter: 3, Ref: Reference{2, 77},
		UserInfo: UserInfo{Present: PartTimeLeft | PartCall, TimeLeft: 30000}}
	var buf []byte
	b.ReportAllocs()
	for b.Loop() {
		var err error
		if buf, err = Append(buf[:0], m); err != nil {
			b.Fatal(err)
		}
	}
}
