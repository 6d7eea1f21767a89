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

// File is an open ledger file. Tests replace it with one that fails.
type File interface {
	io.Writer
	Sync() error
	Close() error
}

// Disk reads, creates and renames files.
type Disk interface {
	Read(name string) ([]byte, error)
	Create(name string) (File, error) // creates an empty file, in place of an existing one
	Rename(from, to string) error
}

const (
	gather      = 5 * time.Millisecond // changes within it are written together
	beatEvery   = time.Second
	compactFrom = 1 << 20 // octets; a smaller file is not compacted
	compactOver = 4       // size of the file in snapshots at which it is compacted
	retryFirst  = 200 * time.Millisecond
	retryMost   = 5 * time.Second
)

// Ledger accepts changes without blocking the caller and writes them in the background. Only the latest state of a call is
// written, so the pending changes are bounded by the number of calls, however slow the disk is.
type Ledger struct {
	name string
	disk Disk
	site uint64
	note func(text string) // logs a message
	mu   sync.Mutex
	live map[uint32]recovery.StoredCall // current state
	far  map[int]string                 // incarnations of switches, by exchange; -1: the own one
	todo map[uint32]bool                // calls that changed since they were last written
	onto map[uint32]bool                // calls in the file
	farT map[int]bool                   // incarnations that changed since they were last written
	kick chan struct{}
	stop chan struct{}
	done chan struct{}

	wrote int64 // octets, over all files
	size  int64 // octets of the present file
	bad   bool  // the last write failed
}

// Open reads a ledger file and returns its contents and a ledger that replaces it. A file of which nothing can be read is renamed
// to NAME.damaged.
func Open(name string, site uint64, disk Disk, note func(string)) (*Ledger, Contents, error) {
	b, err := disk.Read(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Contents{}, fmt.Errorf("read ledger: %w", err)
	}
	c := Contents{Calls: map[uint32]recovery.StoredCall{}, Process: recovery.Process{Incarnations: map[int]string{}}}
	if len(b) > 0 {
		if c = Read(b); c.UnreadReason != "" {
			note(fmt.Sprintf("ledger %s: read %d octets, skipped the remaining %d: %s", name, c.ReadOctets, c.UnreadOctets, c.UnreadReason))
			if c.ReadOctets == 0 {
				if err := disk.Rename(name, name+".damaged"); err != nil {
					return nil, c, fmt.Errorf("rename damaged ledger: %w", err)
				}
			}
		}
	}
	l := &Ledger{name: name, disk: disk, site: site, note: note, live: map[uint32]recovery.StoredCall{}, far: map[int]string{}, todo: map[uint32]bool{},
		onto: map[uint32]bool{}, farT: map[int]bool{}, kick: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	return l, c, nil
}

// Put stores the present state of a call. It does not block.
func (l *Ledger) Put(k recovery.StoredCall) {
	l.mu.Lock()
	l.live[k.ID] = k
	l.todo[k.ID] = true
	l.mu.Unlock()
	l.nudge()
}

// Drop removes a call. It does not block.
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

// Knows stores the incarnation of a neighbour's switch, or of the own switch for number -1. It does not block.
func (l *Ledger) Knows(number int, life string) {
	l.mu.Lock()
	if l.far[number] != life {
		l.far[number], l.farT[number] = life, true
	}
	l.mu.Unlock()
	l.nudge()
}

// nudge wakes the writer.
func (l *Ledger) nudge() {
	select {
	case l.kick <- struct{}{}:
	default:
	}
}

// WrittenOctets returns how many octets have been written to disk.
func (l *Ledger) WrittenOctets() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.wrote }

// Run writes changes until Close. It starts with a snapshot in a new file, so that it never appends to a file of an older format.
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
				l.note("ledger: writing works again, all calls are stored")
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
				l.note("ledger: calls continue but are not stored: " + err.Error())
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

// Close writes the pending changes and ends Run.
func (l *Ledger) Close() {
	close(l.stop)
	<-l.done
}

// now is the wall time in tenths of a millisecond since 1970.
func now() int64 { return time.Now().UnixNano() / 100_000 }

// snapshot writes the current state to a new file and renames it over the old one, so that a crash leaves one complete file.
func (l *Ledger) snapshot() (File, error) {
	l.mu.Lock()
	b := appendFrame(header(), Record{Kind: HeaderFrame, SiteDigest: l.site})
	for _, n := range slices.Sorted(maps.Keys(l.far)) {
		b = appendFrame(b, Record{Kind: IncarnationFrame, Exchange: n, Incarnation: l.far[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.live)) {
		b = appendFrame(b, Record{Kind: CallFrame, Call: l.live[id]})
	}
	b = appendFrame(appendFrame(b, Record{Kind: SnapshotEndFrame}), Record{Kind: HeartbeatFrame, Time: now()})
	taken := maps.Clone(l.live)
	todo, farT := l.todo, l.farT
	l.todo, l.farT = map[uint32]bool{}, map[int]bool{}
	l.mu.Unlock()
	again := func(err error) (File, error) { // nothing was stored: mark the changes as pending again
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
	for id := range l.todo { // changed meanwhile: a call that ended needs a record only if the file has it
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

// write appends the pending changes, and a heartbeat with them or when one is due.
func (l *Ledger) write(f File, beat bool) error {
	l.mu.Lock()
	var b []byte
	for _, n := range slices.Sorted(maps.Keys(l.farT)) {
		b = appendFrame(b, Record{Kind: IncarnationFrame, Exchange: n, Incarnation: l.far[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.todo)) {
		if k, live := l.live[id]; live {
			b = appendFrame(b, Record{Kind: CallFrame, Call: k})
			l.onto[id] = true
		} else {
			b = appendFrame(b, Record{Kind: CallEndFrame, Call: recovery.StoredCall{ID: id}})
			delete(l.onto, id)
		}
	}
	clear(l.todo)
	clear(l.farT)
	l.mu.Unlock()
	if beat || len(b) > 0 {
		b = appendFrame(b, Record{Kind: HeartbeatFrame, Time: now()})
	}
	if len(b) == 0 {
		return nil
	}
	if _, err := f.Write(b); err != nil { // the file may end in a partial frame and is replaced by a snapshot
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

// large reports whether the file should be compacted into a snapshot.
func (l *Ledger) large() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.size > compactFrom && l.size > compactOver*int64((len(l.live)+16)*(callSize+7))
}

// OSDisk is the local file system.
type OSDisk struct{}

// Read returns the contents of a file.
func (OSDisk) Read(name string) ([]byte, error) { return os.ReadFile(name) }

// Create creates an empty file, and its folder if that is missing.
func (OSDisk) Create(name string) (File, error) {
	if err := os.MkdirAll(filepath.Dir(name), 0o755); err != nil {
		return nil, err
	}
	return os.Create(name)
}

// Rename renames a file and syncs the folder, so that the new name survives a crash.
func (OSDisk) Rename(from, to string) error {
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
