package sip

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"strings"
	"testing"
	"testing/iotest"

	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

const setUp = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 9b1f03aa5c7e2d41\r\nCSeq: 1 INVITE\r\n" +
	"Priority-Class: voice\r\nExpires-Ms: 1500\r\nContent-Length: 5\r\n\r\nab\r\nc"

func TestMain(m *testing.M) { seeded.Main(m, 1000) }

func TestSetUpIsReadInAnyChunks(t *testing.T) {
	for name, r := range map[string]io.Reader{"at once": strings.NewReader(setUp + setUp), "octet by octet": iotest.OneByteReader(strings.NewReader(setUp + setUp))} {
		reader := NewReader(r)
		for range 2 {
			m, err := reader.Read()
			if err != nil || m.Method != Invite || m.User() != "7f3a9c21e0b4d655" || m.CallID != "9b1f03aa5c7e2d41" || m.CSeq != 1 ||
				m.CSeqMethod != Invite || m.Get("priority-class") != "voice" || string(m.Body) != "ab\r\nc" {
				t.Fatalf("%s: %+v %v", name, m, err)
			}
		}
		if _, err := reader.Read(); !errors.Is(err, io.EOF) {
			t.Fatalf("%s: at the end: %v", name, err)
		}
	}
}

func TestMalformedMessagesAreRejected(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		want error
		id   string // Call-ID parsed despite the error
	}{
		"noise":               {"\x00\x01\x02 noise\n", ErrMalformed, ""},
		"line without end":    {strings.Repeat("a", 3*MaxMessageSize), ErrTooLong, ""},
		"no start line":       {"\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n\r\n", ErrMalformed, ""},
		"two lengths":         {strings.Replace(setUp, "Content-Length: 5", "Content-Length: 5\r\nl: 2", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"negative length":     {strings.Replace(setUp, ": 5", ": -5", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"signed length":       {strings.Replace(setUp, ": 5", ": +5", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"no length":           {strings.Replace(setUp, "Content-Length: 5\r\n", "", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"empty length":        {strings.Replace(setUp, ": 5", ": ", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"3 GB":                {strings.Replace(setUp, ": 5", ": 3000000000", 1), ErrTooLong, "9b1f03aa5c7e2d41"},
		"beyond 32 bits":      {strings.Replace(setUp, ": 5", ": 99999999999999999999", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"two ids":             {strings.Replace(setUp, "CSeq", "Call-ID: 1\r\nCSeq", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"control character":   {strings.Replace(setUp, "voice", "vo\x07ice", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"line without colon":  {strings.Replace(setUp, "Priority-Class: voice", "Priority", 1), ErrMalformed, "9b1f03aa5c7e2d41"},
		"status out of range": {"SIP/2.0 999 No\r\nContent-Length: 0\r\n\r\n", ErrMalformed, ""},
		"cut in the header":   {setUp[:60], io.ErrUnexpectedEOF, ""},
		"cut in the body":     {setUp[:len(setUp)-1], io.ErrUnexpectedEOF, "9b1f03aa5c7e2d41"},
		"many fields":         {strings.Replace(setUp, "Via", strings.Repeat("X: 1\r\n", 2*maxFields)+"Via", 1), ErrMalformed, ""},
	} {
		m, err := NewReader(strings.NewReader(c.text)).Read()
		if !errors.Is(err, c.want) || m.CallID != c.id {
			t.Errorf("%s: id %q, %v", name, m.CallID, err)
		}
	}
}

// Guards against unbounded memory use: a body that is too long is rejected before any of it is read.
func TestLengthIsCheckedBeforeTheBody(t *testing.T) {
	endless := io.MultiReader(strings.NewReader(strings.Replace(setUp, ": 5", ": 16385", 1)), iotest.ErrReader(errors.New("read on")))
	r := NewReader(endless)
	if _, err := r.Read(); !errors.Is(err, ErrTooLong) {
		t.Fatal(err)
	}
	if cap(r.buf) > MaxMessageSize {
		t.Fatalf("%d octets buffered", cap(r.buf))
	}
}

func TestOnPartialIsCalledOncePerIncompleteMessage(t *testing.T) {
	calls := 0
	r := NewReader(io.MultiReader(strings.NewReader(setUp[:30]), strings.NewReader(setUp[30:90]), strings.NewReader(setUp[90:]), strings.NewReader(setUp)))
	r.OnPartial = func() { calls++ }
	for _, want := range []int{1, 1} {
		if _, err := r.Read(); err != nil || calls != want {
			t.Fatalf("called %d times, want %d: %v", calls, want, err)
		}
	}
}

func TestEncodedMessagesAreReadBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		word := rapid.StringMatching(`[a-z0-9]{1,12}`)
		m := Message{CallID: word.Draw(t, "id"), CSeq: rapid.Uint32().Draw(t, "cseq"), CSeqMethod: rapid.SampledFrom([]string{Invite, Bye, Options}).Draw(t, "method")}
		if rapid.Bool().Draw(t, "answer") {
			m.Status = rapid.IntRange(100, 699).Draw(t, "status")
		} else {
			m.Method, m.URI = m.CSeqMethod, "sip:"+word.Draw(t, "user")+"@net"
		}
		for range rapid.IntRange(0, 5).Draw(t, "fields") {
			m.Fields = append(m.Fields, Field{"X-" + word.Draw(t, "name"), word.Draw(t, "value")})
		}
		if body := rapid.SliceOfN(rapid.Byte(), 0, 2000).Draw(t, "body"); len(body) > 0 {
			m.Body = body
		}
		octets := Append(nil, &m)
		decoded, err := NewReader(iotest.HalfReader(bytes.NewReader(octets))).Read()
		if err != nil || decoded.Get("Via") == "" {
			t.Fatal(err)
		}
		decoded.Fields = decoded.Fields[1:] // Via
		if len(decoded.Fields) == 0 {
			decoded.Fields = nil
		}
		if !reflect.DeepEqual(m, decoded) {
			t.Fatalf("%+v became %+v", m, decoded)
		}
	})
}

var corpus = [][]byte{[]byte(setUp), []byte("SIP/2.0 200 OK\r\nCall-ID: 1\r\nCSeq: 1 BYE\r\nContent-Length: 0\r\n\r\n")}

func checkRead(t *testing.T, in []byte) {
	r := NewReader(iotest.HalfReader(bytes.NewReader(in)))
	for {
		m, err := r.Read()
		if len(r.buf) > largeBufferSize {
			t.Fatalf("%d octets buffered", len(r.buf))
		}
		if err != nil {
			return
		}
		if len(m.Body) > MaxMessageSize || (m.Status == 0) == (m.Method == "") {
			t.Fatalf("read %+v", m)
		}
	}
}

func TestDamagedMessages(t *testing.T) { seeded.ForEachMutation(t, corpus, 100000, checkRead) }

func FuzzRead(f *testing.F) {
	for _, b := range corpus {
		f.Add(b)
	}
	f.Fuzz(checkRead)
}
