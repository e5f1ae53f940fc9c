package storage

import (
	"errors"
	"fmt"
)

var (
	// ErrInUse says that another process has the database open.
	ErrInUse = errors.New("storage: database is in use by another process")

	// ErrDamaged says that a file is torn, cut short or not a bbolt database.
	ErrDamaged = errors.New("storage: damaged database")

	// ErrForeign says that a file is a bbolt database of something else.
	ErrForeign = errors.New("storage: database of another program")
)

// FormatError says that a database has a layout that this version does not read.
type FormatError struct {
	Version, Supported uint64
}

func (e *FormatError) Error() string {
	return fmt.Sprintf("storage: database has format %d, supported is %d", e.Version, e.Supported)
}

// NodeMismatchError says that a database belongs to another node.
type NodeMismatchError struct {
	Owner, Node uint64 // indices of the node that wrote it and of the one that opens it
}

func (e *NodeMismatchError) Error() string {
	return fmt.Sprintf("storage: database belongs to node %d, not to node %d", e.Owner, e.Node)
}

// MovedAsideError says that a file could not be used and was renamed. It unwraps to the
// cause: ErrDamaged, ErrForeign, a *FormatError or a *NodeMismatchError.
type MovedAsideError struct {
	Path    string // where the file was
	MovedTo string // where it is now
	Cause   error
}

func (e *MovedAsideError) Error() string {
	return fmt.Sprintf("%s moved aside to %s: %v", e.Path, e.MovedTo, e.Cause)
}

// Unwrap returns the cause.
func (e *MovedAsideError) Unwrap() error { return e.Cause }

// damagedError is an ErrDamaged with its cause.
func damagedError(cause error) error { return fmt.Errorf("%w: %w", ErrDamaged, cause) }
