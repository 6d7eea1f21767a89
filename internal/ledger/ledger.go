package ledger

import (
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"indigodrift/internal/recovery"
)

// File is what a ledger is written to; a disk's file in service, one that fails in tests.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk opens and replaces files.
type Disk interface {
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // empty
	Rename(from, to string) error
}

const (
	gather      = 5 * time.Millisecond // what changes within it is written together
	beatEvery   = time.Second
	compactFrom = 1 << 20 // octets from which a file may be compacted
	compactOver = 4       // and only where it is so many times what a snapshot takes
	retryFirst  = 200 * time.Millisecond
	retryMost   = 5 * time.Second
)

// Ledger takes changes from the deciding goroutine without ever making it wait, and writes them behind it. What changed and
// changed back before it was written is never written: what waits is bounded by the calls there are, however slow the disk.
type Ledger struct {
	name string
	disk Disk
	site uint64
	note func(text string)
	mu   sync.Mutex
	live map[uint32]recovery.Kept // as it is now
	far  map[int]string
	todo map[uint32]bool // calls that changed since they were written
	onto map[uint32]bool // calls that the file holds
	farT map[int]bool
	kick chan struct{}
	stop chan struct{}
	done chan struct{}

	wrote int64 // octets, all files together
	size  int64
	bad   bool
}

// Open reads a ledger and goes on with it; what it held is returned. A file that is damaged is kept aside beside it.
func Open(name string, site uint64, disk Disk, note func(string)) (*Ledger, Contents, error) {
	b, err := disk.Read(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Contents{}, fmt.Errorf("ledger: %w", err)
	}
	c := Contents{Calls: map[uint32]recovery.Kept{}, Life: recovery.Life{Far: map[int]string{}}}
	if len(b) > 0 {
		if c = Read(b); c.Why != "" {
			note(fmt.Sprintf("ledger %s: %d octets were read, %d after them not: %s", name, c.Good, c.Left, c.Why))
			if c.Good == 0 {
				if err := disk.Rename(name, name+".damaged"); err != nil {
					return nil, c, fmt.Errorf("ledger: %w", err)
				}
			}
		}
	}
	l := &Ledger{name: name, disk: disk, site: site, note: note, live: map[uint32]recovery.Kept{}, far: map[int]string{}, todo: map[uint32]bool{},
		onto: map[uint32]bool{}, farT: map[int]bool{}, kick: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	return l, c, nil
}

// Put keeps a call as it is now; Drop forgets it; Knows keeps the life of a switch (number -1: the own one). None of them waits.
func (l *Ledger) Put(k recovery.Kept) {
	l.mu.Lock()
	l.live[k.ID] = k
	l.todo[k.ID] = true
	l.mu.Unlock()
	l.nudge()
}
func (l *Ledger) Drop(id uint32) {
	l.mu.Lock()
	delete(l.live, id)
	if l.onto[id] {
		l.todo[id] = true
	} else {
		delete(l.todo, id)
	}
	l.mu.Unlock()
	l.nudge()
}
func (l *Ledger) Knows(number int, life string) {
	l.mu.Lock()
	if l.far[number] != life {
		l.far[number], l.farT[number] = life, true
	}
	l.mu.Unlock()
	l.nudge()
}

func (l *Ledger) nudge() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// Wrote is how many octets went to disk.
func (l *Ledger) Wrote() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.wrote }

// Run writes until Close. It begins with a snapshot in a file of its own, so that a file of an older format is never appended to.
func (l *Ledger) Run() {
	defer close(l.done)
	var f File
	retry := time.Duration(0)
	beat := time.Now()
	for ending := false; ; {
		err := error(nil)
		if f == nil {
			if f, err = l.snapshot(); err == nil && l.bad {
				l.bad = false
				l.note("ledger: the disk is back, all is kept again")
			}
		} else if err = l.write(f, time.Since(beat) >= beatEvery); err == nil && time.Since(beat) >= beatEvery {
			beat = time.Now()
		}
		if err == nil && l.large() {
			f.Close()
			f = nil
			continue
		}
		if err != nil {
			if f != nil {
				f.Close()
				f = nil
			}
			if !l.bad {
				l.bad = true
				l.note("ledger: calls go on, but are not kept: " + err.Error())
			}
			retry = min(retryMost, max(retryFirst, 2*retry))
		} else {
			retry = 0
		}
		if ending {
			if f != nil {
				f.Close()
			}
			return
		}
		wait := time.After(max(gather, retry))
		select {
		case <-l.stop:
			ending = true
			continue
		case <-wait:
		}
		if retry == 0 {
			select {
			case <-l.stop:
				ending = true
			case <-l.kick:
			case <-time.After(beatEvery):
			}
		}
	}
}

// Close writes what is left and ends.
func (l *Ledger) Close() {
	close(l.stop)
	<-l.done
}

func now() int64 { return time.Now().UnixNano() / 100_000 }

// snapshot writes all that is live into a new file and puts it in the old one's place: whichever is found after a crash is whole.
func (l *Ledger) snapshot() (File, error) {
	l.mu.Lock()
	b := appendFrame(header(), Record{Kind: Head, Site: l.site})
	for _, n := range slices.Sorted(maps.Keys(l.far)) {
		b = appendFrame(b, Record{Kind: Far, Number: n, Text: l.far[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.live)) {
		b = appendFrame(b, Record{Kind: Call, Call: l.live[id]})
	}
	b = appendFrame(appendFrame(b, Record{Kind: Full}), Record{Kind: Beat, At: now()})
	taken := maps.Clone(l.live)
	todo, farT := l.todo, l.farT
	l.todo, l.farT = map[uint32]bool{}, map[int]bool{}
	l.mu.Unlock()
	again := func(err error) (File, error) { // nothing of it is kept: all of it is to be written yet
		l.mu.Lock()
		defer l.mu.Unlock()
		for id := range todo {
			l.todo[id] = true
		}
		maps.Copy(l.farT, farT)
		return nil, err
	}
	next := l.name + ".next"
	f, err := l.disk.Create(next)
	if err != nil {
		return again(fmt.Errorf("create: %w", err))
	}
	if _, err = f.Write(b); err == nil {
		err = f.Sync()
	}
	if err == nil {
		err = l.disk.Rename(next, l.name)
	}
	if err != nil {
		f.Close()
		return again(fmt.Errorf("snapshot: %w", err))
	}
	l.mu.Lock()
	l.onto = map[uint32]bool{}
	for id := range taken {
		l.onto[id] = true
	}
	for id := range l.todo { // changed while it was written: one that is over must be told so
		if _, live := l.live[id]; !live && !l.onto[id] {
			delete(l.todo, id)
		}
	}
	for id := range l.onto {
		if _, live := l.live[id]; !live {
			l.todo[id] = true
		}
	}
	l.size = int64(len(b))
	l.wrote += l.size
	l.mu.Unlock()
	return f, nil
}

// write appends what has changed.
func (l *Ledger) write(f File, beat bool) error {
	l.mu.Lock()
	var b []byte
	for _, n := range slices.Sorted(maps.Keys(l.farT)) {
		b = appendFrame(b, Record{Kind: Far, Number: n, Text: l.far[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.todo)) {
		if k, live := l.live[id]; live {
			b = appendFrame(b, Record{Kind: Call, Call: k})
			l.onto[id] = true
		} else {
			b = appendFrame(b, Record{Kind: Over, Call: recovery.Kept{ID: id}})
			delete(l.onto, id)
		}
	}
	clear(l.todo)
	clear(l.farT)
	l.mu.Unlock()
	if beat || len(b) > 0 {
		b = appendFrame(b, Record{Kind: Beat, At: now()})
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := f.Write(b); err != nil { // the file may end in half a frame: a snapshot takes its place
		return fmt.Errorf("write: %w", err)
	}
	if err := f.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	l.mu.Lock()
	l.size += int64(len(b))
	l.wrote += int64(len(b))
	l.mu.Unlock()
	return nil
}

// large tells whether the file is worth a snapshot.
func (l *Ledger) large() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size > compactFrom && l.size > compactOver*int64((len(l.live)+16)*(callSize+7))
}

// OnDisk is the machine's disk.
type OnDisk struct{}

func (OnDisk) Read(name string) ([]byte, error) { return os.ReadFile(name) }
func (OnDisk) Create(name string) (File, error) {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return nil, err
	}
	return os.Create(name)
}
func (OnDisk) Rename(from, to string) error {
	if err := os.Rename(from, to); err != nil {
		return err
	}
	dir, err := os.Open(filepath.Dir(to))
	if err != nil {
		return err
	}
	defer dir.Close()
	return dir.Sync()
}
