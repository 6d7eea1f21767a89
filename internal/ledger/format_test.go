package ledger

import (
	"encoding/binary"
	"hash/crc32"
	"testing"

	"indigodrift/internal/isup"
	"indigodrift/internal/recovery"
)

// Guards against misreading files of format 1, whose calls have no slots. What is read from one is written in the current format.
func TestFileOfVersion1IsRead(t *testing.T) {
	frame := func(b []byte, body ...byte) []byte {
		b = binary.BigEndian.AppendUint16(b, uint16(len(body)))
		b = binary.BigEndian.AppendUint32(b, crc32.Checksum(body, crcTable))
		return append(b, body...)
	}
	old := append([]byte(magic), 1)
	old = frame(old, append([]byte{'H'}, 0, 0, 0, 0, 0, 0, 0, 7)...)
	call := []byte{'C', 0, 0, 0, 9, 1<<4 | 4}                           // call 9, established, out by trunk
	call = append(call, 0, 0, 0x20, 0, 0, 5)                            // from line 2000/5
	call = append(call, 0, 3, 0, 0, 0, 33)                              // to exchange 3, circuit 33
	call = append(call, 0, 1, 0, 0, 0, 77)                              // reference
	call = append(call, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 2, 0) // since, until
	old = frame(old, call...)
	contents := Read(old)
	want := recovery.StoredCall{ID: 9, Phase: recovery.Established, In: recovery.Leg{Point: 0x2000, CIC: 5}, Out: recovery.Leg{Trunk: true, Number: 3, CIC: 33},
		Ref: isup.Reference{Point: 1, Identity: 77}, Since: 256, Until: 512}
	if contents.UnreadReason != "" || contents.Version != 1 || contents.Process.SiteDigest != 7 || contents.Calls[9] != want {
		t.Fatalf("%+v", contents)
	}
	again := Read(appendFrame(header(), Record{Kind: CallFrame, Call: contents.Calls[9]}))
	if again.Version != currentVersion || again.Calls[9] != want {
		t.Fatalf("%+v", again)
	}
	old[len(magic)] = currentVersion // in the current format the same octets are not valid calls
	if contents := Read(old); contents.UnreadReason == "" || len(contents.Calls) != 0 {
		t.Fatalf("%+v", contents)
	}
}
