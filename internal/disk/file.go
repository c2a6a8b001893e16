package disk

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"

	"github.com/joomcode/errorx"
)

const temporarySuffix = ".tmp"

func (s *Store) path(name string) string { return filepath.Join(s.cfg.Dir, name) }

func (s *Store) syncDir(dir string) error {
	f, err := os.Open(dir) //nolint:gosec // the operator chooses the data directory
	if err != nil {
		return errorx.Decorate(err, "open directory")
	}
	err = s.cfg.Sync(f)
	if cerr := f.Close(); err == nil {
		err = cerr
	}
	if err != nil {
		return errorx.Decorate(err, "sync directory %s", dir)
	}
	return nil
}

// createFile writes a file atomically: it writes and syncs a temporary file, renames it and syncs the directory. The
// returned file is open for appending.
func (s *Store) createFile(name string, write func(f *os.File) error) (*os.File, error) {
	temporary := s.path(name + temporarySuffix)
	//nolint:gosec // this package chooses the name
	f, err := os.OpenFile(temporary, os.O_CREATE|os.O_TRUNC|os.O_RDWR|os.O_APPEND, fileMode)
	if err != nil {
		return nil, errorx.Decorate(err, "create file")
	}
	err = write(f)
	if err == nil {
		err = s.cfg.Sync(f)
	}
	if err == nil {
		err = s.cfg.Rename(temporary, s.path(name))
	}
	if err == nil {
		err = s.syncDir(s.cfg.Dir)
	}
	if err != nil {
		_ = f.Close() // the first error is returned
		return nil, errorx.Decorate(err, "write file %s", s.path(name))
	}
	return f, nil
}

func (s *Store) writeAll(f *os.File, buf []byte) error {
	n, err := s.cfg.Write(f, buf)
	if err == nil && n < len(buf) {
		err = errorx.ExternalError.New("wrote %d of %d bytes", n, len(buf))
	}
	if err != nil {
		return errorx.Decorate(err, "write %s", f.Name())
	}
	return nil
}

// remove deletes a file. The file may be missing when an earlier process stopped while it removed old files.
func (s *Store) remove(name string) error {
	if err := s.cfg.Remove(s.path(name)); err != nil && !errors.Is(err, fs.ErrNotExist) {
		return errorx.Decorate(err, "remove %s", s.path(name))
	}
	return nil
}

func damagedError(path string, offset int, format string, args ...any) error {
	return errorx.Decorate(ErrDamaged.New(format, args...), "%s at offset %d", path, offset)
}
