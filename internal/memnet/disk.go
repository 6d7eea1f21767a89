package memnet

import (
	"errors"
	"fmt"
	"os"
	"sync"

	"indigodrift/internal/ledger"
)

// inode is a file's octets: an open file keeps its own when it is renamed.
type inode struct{ b []byte }

// Disk is a disk in memory. What was written is there at once; Fail makes it fail, and Slow has each sync wait.
type Disk struct {
	mu    sync.Mutex
	files map[string]*inode
	fail  error
	slow  func()
}

// NewDisk makes an empty one.
func NewDisk() *Disk { return &Disk{files: map[string]*inode{}} }

// Fail has everything but reading fail from now on, nil no more; Slow is called at each sync.
func (d *Disk) Fail(err error)   { d.mu.Lock(); d.fail = err; d.mu.Unlock() }
func (d *Disk) Slow(wait func()) { d.mu.Lock(); d.slow = wait; d.mu.Unlock() }

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
	return append([]byte(nil), b.b...), nil
}

func (d *Disk) Create(name string) (ledger.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail != nil {
		return nil, d.fail
	}
	n := &inode{}
	d.files[name] = n
	return &file{d: d, n: n}, nil
}

func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.fail != nil {
		return d.fail
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
	d *Disk
	n *inode
}

func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if f.d.fail != nil {
		return 0, f.d.fail
	}
	f.n.b = append(f.n.b, b...)
	return len(b), nil
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	wait, err := f.d.slow, f.d.fail
	f.d.mu.Unlock()
	if wait != nil {
		wait()
	}
	return err
}
func (f *file) Close() error { return nil }
