package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrInUse means that another process has the database open.
	ErrInUse = errors.New("storage: database is in use by another process")

	// ErrDamaged means that a file is corrupt, truncated or not a bbolt database.
	ErrDamaged = errors.New("storage: damaged database")

	// ErrForeign means that a file is a bbolt database of another program.
	ErrForeign = errors.New("storage: database of another program")
)

// FormatError reports a database with a format version that this program does not support.
type FormatError struct {
	Version, Supported uint64
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("storage: database has format %d, supported is %d", e.Version, e.Supported)
}

// NodeMismatchError reports a database that belongs to another node.
type NodeMismatchError struct {
	Owner, Node uint64 // indices of the node that wrote the database and of the node that opens it
}

func (e *NodeMismatchError) Error() string {
	return fmt.Sprintf("storage: database belongs to node %d, not to node %d", e.Owner, e.Node)
}

// MovedAsideError reports that a file could not be used and was renamed. It unwraps to its cause,
// which wraps ErrDamaged, ErrForeign, a *FormatError or a *NodeMismatchError.
type MovedAsideError struct {
	Path    string // original path of the file
	MovedTo string // new path of the file
	Cause   error
}

func (e *MovedAsideError) Error() string {
	return fmt.Sprintf("%s moved aside to %s: %v", e.Path, e.MovedTo, e.Cause)
}

// Unwrap returns Cause.
func (e *MovedAsideError) Unwrap() error { return e.Cause }

// damagedError returns an error that wraps ErrDamaged and its cause.
func damagedError(cause error) error { return fmt.Errorf("%w: %w", ErrDamaged, cause) }
