package memnet

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"indigodrift/internal/ledger"
)

// inode is a file's octets: an open file keeps its own when it is renamed.
type inode struct{ data []byte }

// Disk is a disk in memory. What was written is there at once; Fail makes it fail, and Slow has each sync wait.
type Disk struct {
	mu      sync.Mutex
	files   map[string]*inode
	failure error
	onSync  func()
}

// NewDisk makes an empty one.
func NewDisk() *Disk { return &Disk{files: map[string]*inode{}} }

// SetFailure has everything but reading fail from now on, nil no more; Slow is called at each sync.
func (d *Disk) SetFailure(err error) { d.mu.Lock(); d.failure = err; d.mu.Unlock() }
func (d *Disk) OnSync(wait func())   { d.mu.Lock(); d.onSync = wait; d.mu.Unlock() }

// Put and Get change and see a file from outside.
func (d *Disk) Put(name string, b []byte) { d.mu.Lock(); d.files[name] = &inode{b}; d.mu.Unlock() }
func (d *Disk) Get(name string) []byte {
	b, _ := d.Read(name)
	return b
}

func (d *Disk) Read(name string) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	b, ok := d.files[name]
	if !ok {
		return nil, fmt.Errorf("read %s: %w", name, os.ErrNotExist)
	}
	return append([]byte(nil), b.data...), nil
}

func (d *Disk) Create(name string) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return nil, d.failure
	}
	n := &inode{}
	d.files[name] = n
	return &file{disk: d, inode: n}, nil
}

func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.failure != nil {
		return d.failure
	}
	b, ok := d.files[from]
	if !ok {
		return errors.New("no such file")
	}
	delete(d.files, from)
	d.files[to] = b
	return nil
}

type file struct {
	disk  *Disk
	inode *inode
}

func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if f.disk.failure != nil {
		return 0, f.disk.failure
	}
	f.inode.data = append(f.inode.data, b...)
	return len(b), nil
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
