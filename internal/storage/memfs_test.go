package storage

import (
	"errors"
	"io"
	"io/fs"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
)

// memFS is an in-memory file system that tracks synced and unsynced state separately.
type memFS struct {
	mu      sync.Mutex
	names   map[string]*memInode
	durable map[string]*memInode
	locked  map[string]bool
	// ops counts the mutating operations.
	ops int
	// injectError is called before each of them; an error fails the operation.
	injectError func(op, name string) error
	// freeBytes is the number of bytes that may still be written; -1 means no limit.
	freeBytes int
}

type memInode struct {
	data   []byte
	synced []byte
}

func newMemFS() *memFS {
	return &memFS{names: map[string]*memInode{}, durable: map[string]*memInode{}, locked: map[string]bool{}, freeBytes: -1}
}

// crash returns a copy without unsynced names, and without unsynced data except for
// its first torn bytes.
func (m *memFS) crash(torn int) *memFS {
	m.mu.Lock()
	defer m.mu.Unlock()
	after := newMemFS()
	for name, inode := range m.durable {
		data := slices.Clone(inode.synced)
		if rest := len(inode.data) - len(data); rest > 0 {
			data = append(data, inode.data[len(data):len(data)+min(rest, torn)]...)
		}
		copied := &memInode{data: data, synced: slices.Clone(data)}
		after.names[name], after.durable[name] = copied, copied
	}
	return after
}

// clone returns a copy in which everything is synced.
func (m *memFS) clone() *memFS {
	after := newMemFS()
	for name, inode := range m.names {
		copied := &memInode{data: slices.Clone(inode.data), synced: slices.Clone(inode.data)}
		after.names[name], after.durable[name] = copied, copied
	}
	return after
}

func (m *memFS) begin(op, name string) error {
	m.ops++
	if m.injectError == nil {
		return nil
	}
	return m.injectError(op, name)
}

func (m *memFS) MkdirAll(string) error { return nil }

func (m *memFS) Create(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("create", name); err != nil {
		return nil, err
	}
	m.names[name] = &memInode{}
	return &memFile{m, m.names[name], name}, nil
}

func (m *memFS) Append(name string) (File, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return &memFile{m, inode, name}, nil
}

func (m *memFS) ReadFile(name string) ([]byte, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	inode, ok := m.names[name]
	if !ok {
		return nil, fs.ErrNotExist
	}
	return slices.Clone(inode.data), nil
}

func (m *memFS) ReadDir(dir string) ([]string, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	var names []string
	for name := range m.names {
		if filepath.Dir(name) == dir {
			names = append(names, filepath.Base(name))
		}
	}
	slices.Sort(names)
	return names, nil
}

func (m *memFS) Rename(from, to string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("rename", from); err != nil {
		return err
	}
	m.names[to] = m.names[from]
	delete(m.names, from)
	return nil
}

func (m *memFS) Remove(name string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("remove", name); err != nil {
		return err
	}
	delete(m.names, name)
	return nil
}

func (m *memFS) SyncDir(dir string) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if err := m.begin("sync", dir); err != nil {
		return err
	}
	m.durable = maps.Clone(m.names)
	return nil
}

func (m *memFS) Lock(name string) (io.Closer, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.locked[name] {
		return nil, errors.New("locked")
	}
	m.locked[name] = true
	return memLock{m, name}, nil
}

type memLock struct {
	fs   *memFS
	name string
}

func (l memLock) Close() error {
	l.fs.mu.Lock()
	defer l.fs.mu.Unlock()
	delete(l.fs.locked, l.name)
	return nil
}

type memFile struct {
	fs    *memFS
	inode *memInode
	name  string
}

func (f *memFile) Write(p []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	n := len(p)
	if f.fs.freeBytes >= 0 {
		n = min(n, f.fs.freeBytes)
		f.fs.freeBytes -= n
	}
	err := f.fs.begin("write", f.name)
	if err == nil && n < len(p) {
		err = syscall.ENOSPC
	}
	f.inode.data = append(f.inode.data, p[:n]...)
	return n, err
}

func (f *memFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.begin("sync", f.name); err != nil {
		return err
	}
	f.inode.synced = slices.Clone(f.inode.data)
	return nil
}

func (f *memFile) Truncate(size int64) error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	if err := f.fs.begin("truncate", f.name); err != nil {
		return err
	}
	f.inode.data = f.inode.data[:size:size]
	return nil
}

func (f *memFile) Close() error { return nil }
