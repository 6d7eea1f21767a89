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
	batchDelay        = 5 * time.Millisecond // changes within it are written together
	heartbeatInterval = time.Second
	minCompactSize    = 1 << 20 // octets; a smaller file is not compacted
	compactRatio      = 4       // the file is compacted once it is this many times as large as a snapshot
	initialRetryDelay = 200 * time.Millisecond
	maxRetryDelay     = 5 * time.Second
)

// Ledger accepts changes without blocking the caller and writes them in the background. Only the latest state of a call is
// written, so the pending changes are bounded by the number of calls, however slow the disk is.
type Ledger struct {
	name                string
	disk                Disk
	siteDigest          uint64
	log                 func(text string)
	mu                  sync.Mutex
	calls               map[uint32]recovery.StoredCall // current state
	incarnations        map[int]string                 // incarnations of switches, by exchange; -1: the own one
	changedCalls        map[uint32]bool                // calls that changed since they were last written
	fileCalls           map[uint32]bool                // calls in the file
	changedIncarnations map[int]bool                   // incarnations that changed since they were last written
	wake                chan struct{}                  // signals the writer
	stop                chan struct{}                  // closed by Close
	done                chan struct{}                  // closed when Run has ended

	writtenOctets int64 // over all files
	fileSize      int64 // size of the current file
	failing       bool  // the last write failed
}

// Open reads a ledger file and returns its contents and a ledger that replaces it. A file of which nothing can be read is renamed
// to NAME.damaged.
func Open(name string, siteDigest uint64, disk Disk, log func(string)) (*Ledger, Contents, error) {
	data, err := disk.Read(name)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return nil, Contents{}, fmt.Errorf("read ledger: %w", err)
	}
	contents := Contents{Calls: map[uint32]recovery.StoredCall{}, Process: recovery.Process{Incarnations: map[int]string{}}}
	if len(data) > 0 {
		if contents = Read(data); contents.UnreadReason != "" {
			log(fmt.Sprintf("ledger %s: read %d octets, skipped the remaining %d: %s", name, contents.ReadOctets, contents.UnreadOctets, contents.UnreadReason))
			if contents.ReadOctets == 0 {
				if err := disk.Rename(name, name+".damaged"); err != nil {
					return nil, contents, fmt.Errorf("rename damaged ledger: %w", err)
				}
			}
		}
	}
	l := &Ledger{name: name, disk: disk, siteDigest: siteDigest, log: log, calls: map[uint32]recovery.StoredCall{}, incarnations: map[int]string{}, changedCalls: map[uint32]bool{},
		fileCalls: map[uint32]bool{}, changedIncarnations: map[int]bool{}, wake: make(chan struct{}, 1), stop: make(chan struct{}), done: make(chan struct{})}
	return l, contents, nil
}

// Put stores the present state of a call. It does not block.
func (l *Ledger) Put(call recovery.StoredCall) {
	l.mu.Lock()
	l.calls[call.ID] = call
	l.changedCalls[call.ID] = true
	l.mu.Unlock()
	l.wakeWriter()
}

// Drop removes a call. It does not block.
func (l *Ledger) Drop(id uint32) {
	l.mu.Lock()
	delete(l.calls, id)
	if l.fileCalls[id] {
		l.changedCalls[id] = true
	} else {
		delete(l.changedCalls, id)
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// SetIncarnation stores the incarnation of a neighbour's switch, or of the own switch for number -1. It does not block.
func (l *Ledger) SetIncarnation(number int, incarnation string) {
	l.mu.Lock()
	if l.incarnations[number] != incarnation {
		l.incarnations[number], l.changedIncarnations[number] = incarnation, true
	}
	l.mu.Unlock()
	l.wakeWriter()
}

// wakeWriter wakes the writer.
func (l *Ledger) wakeWriter() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// WrittenOctets returns how many octets have been written to disk.
func (l *Ledger) WrittenOctets() int64 { l.mu.Lock(); defer l.mu.Unlock(); return l.writtenOctets }

// Run writes changes until Close. It starts with a snapshot in a new file, so that it never appends to a file of an older format.
func (l *Ledger) Run() {
	defer close(l.done)
	var file File
	retry := time.Duration(0)
	lastHeartbeat := time.Now()
	for ending := false; ; {
		err := error(nil)
		if file == nil {
			if file, err = l.writeSnapshot(); err == nil && l.failing {
				l.failing = false
				l.log("ledger: writing works again, all calls are stored")
			}
		} else if err = l.writeChanges(file, time.Since(lastHeartbeat) >= heartbeatInterval); err == nil && time.Since(lastHeartbeat) >= heartbeatInterval {
			lastHeartbeat = time.Now()
		}
		if err == nil && l.needsCompaction() {
			file.Close()
			file = nil
			continue
		}
		if err != nil {
			if file != nil {
				file.Close()
				file = nil
			}
			if !l.failing {
				l.failing = true
				l.log("ledger: calls continue but are not stored: " + err.Error())
			}
			retry = min(maxRetryDelay, max(initialRetryDelay, 2*retry))
		} else {
			retry = 0
		}
		if ending {
			if file != nil {
				file.Close()
			}
			return
		}
		wait := time.After(max(batchDelay, retry))
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
			case <-l.wake:
			case <-time.After(heartbeatInterval):
			}
		}
	}
}

// Close writes the pending changes and ends Run.
func (l *Ledger) Close() {
	close(l.stop)
	<-l.done
}

// wallTime returns the wall clock time in tenths of a millisecond since 1970.
func wallTime() int64 { return time.Now().UnixNano() / 100_000 }

// writeSnapshot writes the current state to a new file and renames it over the old one, so that a crash leaves one complete file.
func (l *Ledger) writeSnapshot() (File, error) {
	l.mu.Lock()
	buf := appendFrame(header(), Record{Kind: HeaderFrame, SiteDigest: l.siteDigest})
	for _, n := range slices.Sorted(maps.Keys(l.incarnations)) {
		buf = appendFrame(buf, Record{Kind: IncarnationFrame, Exchange: n, Incarnation: l.incarnations[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.calls)) {
		buf = appendFrame(buf, Record{Kind: CallFrame, Call: l.calls[id]})
	}
	buf = appendFrame(appendFrame(buf, Record{Kind: SnapshotEndFrame}), Record{Kind: HeartbeatFrame, Time: wallTime()})
	snapshotCalls := maps.Clone(l.calls)
	changedCalls, changedIncarnations := l.changedCalls, l.changedIncarnations
	l.changedCalls, l.changedIncarnations = map[uint32]bool{}, map[int]bool{}
	l.mu.Unlock()
	restorePending := func(err error) (File, error) { // nothing was stored: mark the changes as pending again
		l.mu.Lock()
		defer l.mu.Unlock()
		for id := range changedCalls {
			l.changedCalls[id] = true
		}
		maps.Copy(l.changedIncarnations, changedIncarnations)
		return nil, err
	}
	nextName := l.name + ".next"
	file, err := l.disk.Create(nextName)
	if err != nil {
		return restorePending(fmt.Errorf("create: %w", err))
	}
	if _, err = file.Write(buf); err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = l.disk.Rename(nextName, l.name)
	}
	if err != nil {
		file.Close()
		return restorePending(fmt.Errorf("snapshot: %w", err))
	}
	l.mu.Lock()
	l.fileCalls = map[uint32]bool{}
	for id := range snapshotCalls {
		l.fileCalls[id] = true
	}
	for id := range l.changedCalls { // changed meanwhile: a call that ended needs a record only if the file has it
		if _, present := l.calls[id]; !present && !l.fileCalls[id] {
			delete(l.changedCalls, id)
		}
	}
	for id := range l.fileCalls {
		if _, present := l.calls[id]; !present {
			l.changedCalls[id] = true
		}
	}
	l.fileSize = int64(len(buf))
	l.writtenOctets += l.fileSize
	l.mu.Unlock()
	return file, nil
}

// writeChanges appends the pending changes, and a heartbeat with them or when one is due.
func (l *Ledger) writeChanges(file File, heartbeatDue bool) error {
	l.mu.Lock()
	var buf []byte
	for _, n := range slices.Sorted(maps.Keys(l.changedIncarnations)) {
		buf = appendFrame(buf, Record{Kind: IncarnationFrame, Exchange: n, Incarnation: l.incarnations[n]})
	}
	for _, id := range slices.Sorted(maps.Keys(l.changedCalls)) {
		if call, present := l.calls[id]; present {
			buf = appendFrame(buf, Record{Kind: CallFrame, Call: call})
			l.fileCalls[id] = true
		} else {
			buf = appendFrame(buf, Record{Kind: CallEndFrame, Call: recovery.StoredCall{ID: id}})
			delete(l.fileCalls, id)
		}
	}
	clear(l.changedCalls)
	clear(l.changedIncarnations)
	l.mu.Unlock()
	if heartbeatDue || len(buf) > 0 {
		buf = appendFrame(buf, Record{Kind: HeartbeatFrame, Time: wallTime()})
	}
	if len(buf) == 0 {
		return nil
	}
	if _, err := file.Write(buf); err != nil { // the file may end in a partial frame and is replaced by a snapshot
		return fmt.Errorf("write: %w", err)
	}
	if err := file.Sync(); err != nil {
		return fmt.Errorf("sync: %w", err)
	}
	l.mu.Lock()
	l.fileSize += int64(len(buf))
	l.writtenOctets += int64(len(buf))
	l.mu.Unlock()
	return nil
}

// needsCompaction reports whether the file should be compacted into a snapshot.
func (l *Ledger) needsCompaction() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.fileSize > minCompactSize && l.fileSize > compactRatio*int64((len(l.calls)+16)*(callPayloadSize+7))
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
