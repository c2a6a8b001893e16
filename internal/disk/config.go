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
	// ErrDamaged reports a corrupt or missing file; the message contains its path and the offset.
	ErrDamaged = Namespace.NewType("damaged")
	// ErrLocked reports a directory that another process has locked.
	ErrLocked = Namespace.NewType("locked")
	// ErrFailed reports a store that is closed or that became unusable after a failed write or sync.
	ErrFailed = Namespace.NewType("failed")
)

// defaultSegmentBytes limits how much of the log is read into memory at once during recovery.
const defaultSegmentBytes = 4 << 20

// Config holds the settings of a store. Function fields that are nil use the operating system.
type Config struct {
	// Dir is the data directory; Open creates it if its parent exists.
	Dir string
	// SegmentBytes is the size at which a new log segment is started; 0 means 4 MiB.
	SegmentBytes int64
	// Log receives messages about repairs made by Open.
	Log logr.Logger

	// NewIdentity generates the identity of a new directory.
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
