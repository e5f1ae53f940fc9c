// Package snapshotfile reads and writes JSON files that persist across restarts of the process:
// with a version and a checksum ([Format]), or plain ([ReadPlain], [WritePlain]).
//
// A file is replaced atomically: a reader finds either the old or the new content, even if the
// process was killed during a write. Read errors distinguish
//
//   - an absent file: errors.Is(err, fs.ErrNotExist);
//   - content that is not JSON of the expected type, or was changed: [*DamagedError];
//   - a file of another version: [*VersionError].
//
// Functions block on disk I/O. Calls for different paths may run concurrently; writers of one
// path must not.
package snapshotfile

import (
	"bytes"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"os"

	"github.com/zeebo/blake3"

	"yardcleat.example/yardcleat/internal/files"
)

// fileMode is the mode of the files, which only their owner can read and write.
const fileMode = 0o600

// ErrChecksum is the cause of a [*DamagedError] if the payload does not match its checksum.
var ErrChecksum = errors.New("checksum mismatch")

// DamagedError means that a file was truncated, was changed, or holds other data.
type DamagedError struct {
	// Cause is ErrChecksum or the error of the JSON decoder.
	Cause error
}

// Error describes the damage. It does not contain the path, which the caller knows.
func (e *DamagedError) Error() string {
	if errors.Is(e.Cause, ErrChecksum) {
		return "damaged: " + e.Cause.Error()
	}
	return "truncated or in another format: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DamagedError) Unwrap() error { return e.Cause }

// VersionError means that the version of a file is not the one that the reader expects.
type VersionError struct{ Got, Want int }

func (e *VersionError) Error() string { return fmt.Sprintf("of version %d, not %d", e.Got, e.Want) }

// Format is one kind of snapshot file, a JSON object with these members in this order:
// "version", the members of the header H, "sum" (the BLAKE3 checksum of the payload's JSON, in
// hex) and the payload P under the name Payload. H must encode to a JSON object that has none of
// the other names; for no header, H is struct{}.
type Format[H, P any] struct {
	// Version is written to files; files of other versions are rejected.
	Version int
	// Payload is the name of the payload's member.
	Payload string
}

// envelope contains the members that all formats have in common.
type envelope struct {
	Version int    `json:"version"`
	Sum     string `json:"sum"`
}

// Write replaces the file at path. When it returns nil, the content has been synced to the disk.
func (f Format[H, P]) Write(path string, header H, payload P) error {
	content, err := f.encode(header, payload)
	if err != nil {
		return err
	}
	return files.Replace(path, content, fileMode)
}

// Read returns the header and the payload of the file at path, or zero values and one of the
// errors described in the package comment. File system errors are returned unchanged.
func (f Format[H, P]) Read(path string) (header H, payload P, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return header, payload, err
	}
	if header, payload, err = f.decode(content); err != nil {
		var noHeader H
		var noPayload P
		return noHeader, noPayload, err
	}
	return header, payload, nil
}

func (f Format[H, P]) encode(header H, payload P) ([]byte, error) {
	payloadJSON, err := json.Marshal(payload)
	if err != nil {
		return nil, err
	}
	headerJSON, err := json.Marshal(header)
	if err != nil {
		return nil, err
	}
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"version":%d,`, f.Version)
	if members := headerJSON[1 : len(headerJSON)-1]; len(members) > 0 {
		b.Write(members)
		b.WriteByte(',')
	}
	fmt.Fprintf(&b, `"sum":%q,%q:%s}`, checksum(payloadJSON), f.Payload, payloadJSON)
	return b.Bytes(), nil
}

func (f Format[H, P]) decode(content []byte) (header H, payload P, err error) {
	var common envelope
	if err := json.Unmarshal(content, &common); err != nil {
		return header, payload, &DamagedError{err}
	}
	if common.Version != f.Version {
		return header, payload, &VersionError{Got: common.Version, Want: f.Version}
	}
	var members map[string]json.RawMessage
	if err := json.Unmarshal(content, &members); err != nil {
		return header, payload, &DamagedError{err}
	}
	payloadJSON := members[f.Payload]
	if common.Sum != checksum(payloadJSON) {
		return header, payload, &DamagedError{ErrChecksum}
	}
	if err := json.Unmarshal(content, &header); err != nil {
		return header, payload, &DamagedError{err}
	}
	if err := json.Unmarshal(payloadJSON, &payload); err != nil {
		return header, payload, &DamagedError{err}
	}
	return header, payload, nil
}

func checksum(b []byte) string {
	sum := blake3.Sum256(b)
	return hex.EncodeToString(sum[:])
}

// WritePlain replaces the content of the file at path with the JSON of a value, without version
// and checksum. When it returns nil, the content has been synced to the disk.
func WritePlain[P any](path string, value P) error {
	content, err := json.Marshal(value)
	if err != nil {
		return err
	}
	return files.Replace(path, content, fileMode)
}

// ReadPlain returns the value written by [WritePlain]. It detects damage only if the content is not
// JSON of type P.
func ReadPlain[P any](path string) (value P, err error) {
	content, err := os.ReadFile(path)
	if err != nil {
		return value, err
	}
	if err := json.Unmarshal(content, &value); err != nil {
		var none P
		return none, &DamagedError{err}
	}
	return value, nil
}
