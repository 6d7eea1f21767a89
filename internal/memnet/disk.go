package memnet

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"indigodrift/internal/ledger"
)

// inode is the content of a file. An open file keeps its inode when it is renamed.
type inode struct{ data []byte }

// Disk is an in-memory disk that implements ledger.Disk. Data is readable as soon as it is written. SetFailure injects
// errors, and OnSync delays.
type Disk struct {
	mu      sync.Mutex
	files   map[string]*inode
	failure error
	onSync  func()
}

// NewDisk returns an empty disk.
func NewDisk() *Disk { return &Disk{files: map[string]*inode{}} }

// SetFailure makes all operations but reads fail with the given error from now on; nil ends that.
func (d *Disk) SetFailure(failure error) { d.mu.Lock(); d.failure = failure; d.mu.Unlock() }

// OnSync sets a function that each sync calls first; nil: none.
func (d *Disk) OnSync(wait func()) { d.mu.Lock(); d.onSync = wait; d.mu.Unlock() }

// Put sets the content of a file.
func (d *Disk) Put(name string, data []byte) {
	d.mu.Lock()
	d.files[name] = &inode{data}
	d.mu.Unlock()
}

// Get returns the content of a file, or nil if there is none.
func (d *Disk) Get(name string) []byte {
	b, _ := d.Read(name)
	return b
}

// Read implements ledger.Disk.
func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	node, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, os.ErrNotExist)
	}
	return append([]byte(nil), node.data...), nil
}

// Create implements ledger.Disk.
func (d *Disk) Create(name string) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return nil, d.failure
	}
	node := &inode{}
	d.files[name] = node
	return &file{disk: d, inode: node}, nil
}

// Rename implements ledger.Disk.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return d.failure
	}
	node, ok := d.files[from]
	if !ok {
		return errors.New("rename: no such file")
	}
	delete(d.files, from)
	d.files[to] = node
	return nil
}

// file is an open file.
type file struct {
	disk  *Disk
	inode *inode
}

func (f *file) Write(data []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failure != nil {
		return 0, f.disk.failure
	}
	f.inode.data = append(f.inode.data, data...)
	return len(data), nil
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	wait, err := f.disk.onSync, f.disk.failure
	f.disk.mu.Unlock()
	if wait != nil {
		wait()
	}
	return err
}
func (f *file) Close() error { return nil }
