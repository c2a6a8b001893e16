package claim

import (
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
)

// storage is the file access of a journal. Tests replace the functions to simulate a crash at each step. It is used by
// one goroutine at a time.
type storage struct {
	list     func() ([]string, error)
	read     func(name string) ([]byte, error)
	create   func(name string) error // fails if the file exists
	append   func(name string, data []byte) error
	sync     func(name string) error
	truncate func(name string, size int64) error
	remove   func(name string) error
	syncDir  func() error // makes creations and removals durable
	close    func() error
}

// directory implements storage with the files of one directory. It keeps the last written file open for appending.
type directory struct {
	root     *os.Root
	fileName string
	file     *os.File
}

// openDirectory opens the directory of a journal and creates it if it is missing.
func openDirectory(path string) (storage, error) {
	if err := os.MkdirAll(path, 0o700); err != nil {
		return storage{}, errorx.Decorate(err, "create claim directory")
	}
	if err := syncPath(filepath.Dir(path)); err != nil {
		return storage{}, errorx.Decorate(err, "sync parent of claim directory")
	}
	root, err := os.OpenRoot(path)
	if err != nil {
		return storage{}, errorx.Decorate(err, "open claim directory")
	}
	d := &directory{root: root}
	return storage{
		list: d.list, read: root.ReadFile, create: d.create, append: d.append, sync: d.sync,
		truncate: d.truncate, remove: root.Remove, syncDir: d.syncDir, close: d.close,
	}, nil
}

// syncPath syncs the file or directory at path.
func syncPath(path string) error {
	f, err := os.Open(path) //nolint:gosec // G304: the path is the operator's data directory
	if err != nil {
		return err
	}
	return syncAndClose(f)
}

func syncAndClose(f *os.File) error {
	err := f.Sync()
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return err
}

func (d *directory) list() ([]string, error) {
	f, err := d.root.Open(".")
	if err != nil {
		return nil, err
	}
	names, err := f.Readdirnames(-1)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return names, err
}

// openFile returns the open file if it has that name, and opens the named file in its place otherwise.
func (d *directory) openFile(name string, flags int) (*os.File, error) {
	if d.fileName == name && d.file != nil {
		return d.file, nil
	}
	if err := d.closeFile(); err != nil {
		return nil, err
	}
	f, err := d.root.OpenFile(name, flags, 0o600)
	if err != nil {
		return nil, err
	}
	d.file, d.fileName = f, name
	return f, nil
}

func (d *directory) create(name string) error {
	_, err := d.openFile(name, os.O_CREATE|os.O_EXCL|os.O_WRONLY|os.O_APPEND)
	return err
}

func (d *directory) append(name string, data []byte) error {
	f, err := d.openFile(name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return err
	}
	_, err = f.Write(data)
	return err
}

func (d *directory) sync(name string) error {
	f, err := d.openFile(name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return err
	}
	return f.Sync()
}

func (d *directory) truncate(name string, size int64) error {
	f, err := d.openFile(name, os.O_WRONLY|os.O_APPEND)
	if err != nil {
		return err
	}
	return f.Truncate(size)
}

func (d *directory) syncDir() error {
	f, err := d.root.Open(".")
	if err != nil {
		return err
	}
	return syncAndClose(f)
}

func (d *directory) closeFile() error {
	if d.file == nil {
		return nil
	}
	err := d.file.Close()
	d.file, d.fileName = nil, ""
	return err
}

func (d *directory) close() error {
	err := d.closeFile()
	if rootErr := d.root.Close(); err == nil {
		err = rootErr
	}
	return err
}
