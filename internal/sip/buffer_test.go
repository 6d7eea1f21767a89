package sip

import (
	"errors"
	"strings"
	"testing"
)

// Guards against large buffers that are allocated without a permission, or kept when the message they were for is over.
func TestLargeBufferIsAllocatedWithPermissionAndGivenBack(t *testing.T) {
	large := Message{Method: Invite, URI: "sip:x@net", CallID: "1", CSeq: 1, Body: make([]byte, 12<<10)}
	text := setUp + string(Append(nil, &large)) + setUp
	asked := 0
	r := NewReader(strings.NewReader(text))
	r.BeforeLarge = func() bool { asked++; return true }
	for n, want := range []bool{false, true, false} {
		if _, err := r.Read(); err != nil || r.Large() != want || asked != min(n, 1) {
			t.Fatalf("message %d: large %v, asked %d times, %v", n, r.Large(), asked, err)
		}
		if r.Shrink() != want || cap(r.buf) > smallBufferSize {
			t.Errorf("message %d: %d octets kept", n, cap(r.buf))
		}
	}
	r = NewReader(strings.NewReader(text))
	r.BeforeLarge = func() bool { return false }
	if _, err := r.Read(); err != nil {
		t.Fatal(err)
	}
	if _, err := r.Read(); !errors.Is(err, ErrNoBuffer) || cap(r.buf) > smallBufferSize {
		t.Errorf("%v, %d octets", err, cap(r.buf))
	}
}
