package m3ua

import (
	"bytes"
	"errors"
	"io"
	"reflect"
	"testing"

	"indigodrift/internal/seeded"
)

var samples = []Frame{
	{Kind: Data, OPC: 3, DPC: 7, SLS: 9, UserData: []byte{5, 0, 0x10, 0}},
	{Kind: ASPUp, ASPID: 3}, {Kind: ASPUpAck, ASPID: 7, Info: "boot=12"}, {Kind: Heartbeat, UserData: []byte{1, 2, 3, 4}},
	{Kind: HeartbeatAck, UserData: []byte{1}}, {Kind: ASPDown},
}

func TestFramesRoundTrip(t *testing.T) {
	var stream []byte
	for _, f := range samples {
		var err error
		if stream, err = Append(stream, f); err != nil {
			t.Fatal(err)
		}
	}
	r, scratch := io.Reader(bytes.NewReader(stream)), []byte(nil)
	for _, want := range samples {
		var got Frame
		var err error
		if got, scratch, err = Read(r, scratch); err != nil || !reflect.DeepEqual(got, want) {
			t.Fatalf("got %+v, %v; want %+v", got, err, want)
		}
	}
	if _, _, err := Read(r, scratch); !errors.Is(err, io.EOF) {
		t.Fatalf("at the end: %v", err)
	}
	for n := range stream { // a truncated stream must end with an error, never with an extra frame
		r, whole := bytes.NewReader(stream[:n]), 0
		for {
			if _, _, err := Read(r, nil); err != nil {
				break
			}
			whole++
		}
		if whole >= len(samples) {
			t.Fatalf("%d frames from %d of %d octets", whole, n, len(stream))
		}
	}
}

func TestInvalidLengthIsRejectedBeforeAllocation(t *testing.T) {
	for _, head := range [][]byte{{1, 0, 1, 1, 0xff, 0xff, 0xff, 0xfc}, {1, 0, 1, 1, 0, 0, 0, 4}, {1, 0, 1, 1, 0, 0, 0, 13},
		{2, 0, 1, 1, 0, 0, 0, 8}} {
		if _, _, err := Read(bytes.NewReader(head), nil); !errors.Is(err, ErrFrame) {
			t.Errorf("% x: %v", head, err)
		}
	}
}

// corpus returns encoded frames for the tests with damaged input.
func corpus() (all [][]byte) {
	for _, s := range samples {
		b, _ := Append(nil, s)
		all = append(all, b)
	}
	return all
}

// checkSize fails the test if a frame with too much user data is accepted.
func checkSize(t *testing.T, b []byte) {
	got, _, err := Read(bytes.NewReader(b), nil)
	if err == nil && got.Kind == Data && len(got.UserData) > MaxFrameSize {
		t.Fatalf("%d octets of user data", len(got.UserData))
	}
}

func TestDamagedFrames(t *testing.T) { seeded.ForEachMutation(t, corpus(), 200000, checkSize) }

func FuzzRead(f *testing.F) {
	for _, b := range corpus() {
		f.Add(b)
	}
	f.Fuzz(checkSize)
}
