package ledger_test

import (
	"errors"
	"maps"
	"testing"
	"testing/synctest"
	"time"

	"indigodrift/internal/isup"
	"indigodrift/internal/ledger"
	"indigodrift/internal/memnet"
	"indigodrift/internal/recovery"
	"indigodrift/internal/seeded"

	"pgregory.net/rapid"
)

func TestMain(m *testing.M) { seeded.Main(m, 300) }

func randomCall(t *rapid.T, id uint32) recovery.StoredCall {
	drawLeg := func(name string) recovery.Leg {
		return recovery.Leg{Trunk: rapid.Bool().Draw(t, name), Number: rapid.IntRange(0, 998).Draw(t, name), Point: rapid.Uint16().Draw(t, name),
			CIC: rapid.Uint16().Draw(t, name), Slots: rapid.Uint32().Draw(t, name)}
	}
	return recovery.StoredCall{ID: id, Phase: recovery.Phase(rapid.IntRange(0, 1).Draw(t, "phase")), In: drawLeg("in"), Out: drawLeg("out"), Transit: rapid.Bool().Draw(t, "transit"),
		Ref: isup.Reference{Point: rapid.Uint16().Draw(t, "point"), Identity: rapid.Uint32().Draw(t, "identity")}, Since: rapid.Int64().Draw(t, "since"), Until: rapid.Int64().Draw(t, "until")}
}

// runLedger runs a ledger on an in-memory disk with random changes. It returns the calls at the end and the file.
func runLedger(t *rapid.T, disk *memnet.Disk, steps int) (map[uint32]recovery.StoredCall, []byte) {
	opened, _, err := ledger.Open("l", 7, disk, func(string) {})
	if err != nil {
		t.Fatal(err)
	}
	go opened.Run()
	stored := map[uint32]recovery.StoredCall{}
	for range steps {
		id := rapid.Uint32Range(1, 20).Draw(t, "id")
		if rapid.Bool().Draw(t, "put") {
			stored[id] = randomCall(t, id)
			opened.Put(stored[id])
		} else {
			delete(stored, id)
			opened.Drop(id)
		}
		time.Sleep(time.Duration(rapid.IntRange(0, 8).Draw(t, "ms")) * time.Millisecond)
	}
	opened.SetIncarnation(3, "4")
	opened.SetIncarnation(-1, "2")
	opened.Close()
	return stored, disk.Get("l")
}

func checkInBubble(t *testing.T, do func(t *rapid.T)) {
	rapid.Check(t, func(rt *rapid.T) {
		synctest.Test(t, func(*testing.T) { do(rt) })
	})
}

// Guards against calls or incarnations that are lost or left over in the file, however the changes were batched.
func TestStoredCallsAreRead(t *testing.T) {
	checkInBubble(t, func(t *rapid.T) {
		stored, file := runLedger(t, memnet.NewDisk(), rapid.IntRange(0, 60).Draw(t, "steps"))
		contents := ledger.Read(file)
		if contents.UnreadReason != "" || contents.UnreadOctets != 0 || !maps.Equal(contents.Calls, stored) || contents.Process.SiteDigest != 7 || contents.Process.OwnIncarnation != "2" || contents.Process.Incarnations[3] != "4" || contents.Process.LastHeartbeat == 0 {
			t.Fatalf("read %+v\nwant %+v", contents, stored)
		}
	})
}

// Guards against damaged files that are read as valid: a file truncated at any octet, or with any bit flipped, reads as an earlier
// state and contains no call that was never stored. A flipped bit is always reported as damage.
func TestDamagedFilesAreReadUpToTheDamage(t *testing.T) {
	checkInBubble(t, func(t *rapid.T) {
		_, file := runLedger(t, memnet.NewDisk(), rapid.IntRange(1, 5).Draw(t, "steps"))
		complete := ledger.Read(file)
		seen := map[recovery.StoredCall]bool{}
		ends := map[int]bool{}
		for n := 0; n <= len(file); n++ {
			contents := ledger.Read(file[:n])
			if contents.ReadOctets+contents.UnreadOctets != n || contents.Frames > complete.Frames {
				t.Fatalf("truncated at %d: %+v", n, contents)
			}
			if contents.UnreadReason == "" {
				ends[n] = true
			}
			for _, call := range contents.Calls {
				seen[call] = true
			}
		}
		if len(ends) != complete.Frames+1 {
			t.Fatalf("%d lengths at which the file is complete, %d frames", len(ends), complete.Frames)
		}
		bit := rapid.IntRange(0, 8*len(file)-1).Draw(t, "bit")
		flipped := append([]byte(nil), file...)
		flipped[bit/8] ^= 1 << (bit % 8)
		contents := ledger.Read(flipped)
		if contents.UnreadReason == "" || contents.ReadOctets > bit/8 {
			t.Fatalf("bit %d flipped, and %d of %d octets were read: %q", bit, contents.ReadOctets, len(file), contents.UnreadReason)
		}
		for _, call := range contents.Calls {
			if !seen[call] {
				t.Fatalf("a call that was never stored: %+v", call)
			}
		}
	})
}

// Guards against a failing or slow disk that blocks the callers, and against a file that stays incomplete after the disk recovers.
func TestFailingDiskDoesNotBlockAndRecovers(t *testing.T) {
	for _, fault := range []string{"full", "slow"} {
		synctest.Test(t, func(t *testing.T) {
			disk := memnet.NewDisk()
			var messages []string
			l, _, err := ledger.Open("l", 7, disk, func(text string) { messages = append(messages, text) })
			if err != nil {
				t.Fatal(err)
			}
			go l.Run()
			l.Put(recovery.StoredCall{ID: 1})
			time.Sleep(time.Second)
			if fault == "full" {
				disk.SetFailure(errors.New("no space left on device"))
			} else {
				disk.OnSync(func() { time.Sleep(2 * time.Second) })
			}
			start := time.Now()
			for id := range uint32(1000) {
				l.Put(recovery.StoredCall{ID: id + 10, Since: int64(id)})
				if id%2 == 0 {
					l.Drop(id + 10)
				}
				if id%100 == 0 {
					time.Sleep(100 * time.Millisecond)
				}
			}
			l.Drop(1)
			if took := time.Since(start); took != time.Second {
				t.Errorf("%s: storing calls took %v", fault, took)
			}
			if c := ledger.Read(disk.Get("l")); c.UnreadReason != "" || len(c.Calls) == 0 {
				t.Errorf("%s: the file reads as %+v while the disk fails", fault, c)
			}
			disk.SetFailure(nil)
			disk.OnSync(nil)
			time.Sleep(20 * time.Second)
			l.Close()
			c := ledger.Read(disk.Get("l"))
			if c.UnreadReason != "" || len(c.Calls) != 500 || c.Calls[1].ID != 0 {
				t.Errorf("%s: %d calls, %q", fault, len(c.Calls), c.UnreadReason)
			}
			if fault == "full" && len(messages) != 2 {
				t.Errorf("logged messages: %q", messages)
			}
		})
	}
}

// Guards against a file that grows without bound, and against a file that is damaged at some point of a compaction.
func TestFileStaysSmallThroughCompactions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		disk := memnet.NewDisk()
		l, _, err := ledger.Open("l", 7, disk, func(string) {})
		if err != nil {
			t.Fatal(err)
		}
		go l.Run()
		maxSize := 0
		for id := range uint32(60000) {
			l.Put(recovery.StoredCall{ID: id, Phase: recovery.Established})
			if id >= 100 {
				l.Drop(id - 100)
			}
			if id%50 == 0 {
				time.Sleep(6 * time.Millisecond)
			}
			if id%997 == 0 {
				file := disk.Get("l")
				maxSize = max(maxSize, len(file))
				if c := ledger.Read(file); c.UnreadReason != "" || len(c.Calls) > 250 {
					t.Fatalf("after %d calls: the file has %d, %q", id, len(c.Calls), c.UnreadReason)
				}
			}
		}
		l.Close()
		if c := ledger.Read(disk.Get("l")); len(c.Calls) != 100 || maxSize > 1<<21 || l.WrittenOctets() < 3<<20 {
			t.Fatalf("%d calls, the file had up to %d octets, %d were written", len(c.Calls), maxSize, l.WrittenOctets())
		}
	})
}

func TestForeignFilesAreRenamed(t *testing.T) {
	for name, b := range map[string][]byte{"future": []byte("indigoledger\x09aaaa"), "other": []byte("SQLite format 3\x00"), "short": []byte("indi")} {
		disk := memnet.NewDisk()
		disk.Put("l", b)
		var messages []string
		_, c, err := ledger.Open("l", 7, disk, func(text string) { messages = append(messages, text) })
		if err != nil || len(c.Calls) != 0 || c.UnreadReason == "" || len(messages) != 1 || string(disk.Get("l.damaged")) != string(b) {
			t.Errorf("%s: %v %+v %q", name, err, c, messages)
		}
	}
}

var corpus = [][]byte{[]byte("indigoledger\x02\x00\x01\x00\x00\x00\x00S"), []byte("indigoledger\x01")}

func checkOctetCount(t *testing.T, b []byte) {
	if c := ledger.Read(b); c.ReadOctets+c.UnreadOctets != len(b) || c.ReadOctets < 0 || (c.UnreadReason == "") != (c.UnreadOctets == 0 && len(b) > 12) {
		t.Fatalf("%+v of %d octets", c, len(b))
	}
}

func TestDamagedFiles(t *testing.T) { seeded.ForEachMutation(t, corpus, 100000, checkOctetCount) }

func FuzzRead(f *testing.F) {
	for _, b := range corpus {
		f.Add(b)
	}
	f.Fuzz(checkOctetCount)
}
