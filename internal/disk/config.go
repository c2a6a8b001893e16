package disk

import (
	"io/fs"
	"os"

	"github.com/go-logr/logr"
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

// Namespace is the errorx namespace of all errors of this package.
var Namespace = errorx.NewNamespace("disk")

var (
	// ErrDamaged reports a file whose content can't be trusted; the text names file and offset.
	ErrDamaged = Namespace.NewType("damaged")
	// ErrLocked reports a directory that another process uses.
	ErrLocked = Namespace.NewType("locked")
	// ErrFailed reports a store that stopped after a failed write or sync.
	ErrFailed = Namespace.NewType("failed")
)

// defaultSegmentBytes bounds what a start reads into memory at once.
const defaultSegmentBytes = 4 << 20

// Config holds the settings of a store. Function fields that are nil use the operating system.
type Config struct {
	// Dir is the data directory; it is created when its parent exists.
	Dir string
	// SegmentBytes is the size after which a new log segment begins; 0 means 4 MiB.
	SegmentBytes int64
	// Log receives what is repaired while opening.
	Log logr.Logger

	// NewIdentity draws the identity of a new directory.
	NewIdentity func() (string, error)
	// Write appends to a file.
	Write func(f *os.File, p []byte) (int, error)
	// Sync makes a file or a directory durable.
	Sync func(f *os.File) error
	// Rename replaces a file.
	Rename func(from, to string) error
	// Remove deletes a file.
	Remove func(path string) error
}

func (cfg *Config) setDefaults() {
	if cfg.SegmentBytes <= 0 {
		cfg.SegmentBytes = defaultSegmentBytes
	}
	if cfg.NewIdentity == nil {
		cfg.NewIdentity = func() (string, error) {
			id, err := uuid.NewRandom()
			return id.String(), err
		}
	}
	if cfg.Write == nil {
		cfg.Write = func(f *os.File, p []byte) (int, error) { return f.Write(p) }
	}
	if cfg.Sync == nil {
		cfg.Sync = func(f *os.File) error { return f.Sync() }
	}
	if cfg.Rename == nil {
		cfg.Rename = os.Rename
	}
	if cfg.Remove == nil {
		cfg.Remove = os.Remove
	}
}

const (
	dirMode  fs.FileMode = 0o700
	fileMode fs.FileMode = 0o600
)
