package config

import (
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"strings"
)

// keySize is the length of a fleet's key in bytes.
const keySize = 32

// ErrNoKey is returned by ParseKeys for a text that contains no key.
var ErrNoKey = errors.New("no key")

// KeyError is returned by ParseKeys for a key that is not 32 bytes in hex. It does not
// contain the key itself, which must not be logged.
type KeyError struct {
	Position int // of the key in the text, from 1
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key %d is not %d bytes in hex", e.Position, keySize)
}

// ParseKeys parses the keys of a fleet: 32 bytes each, in hex, separated by line breaks or any
// other whitespace. The error is ErrNoKey or a *KeyError.
func ParseKeys(text string) (keys [][]byte, err error) {
	for field := range strings.FieldsSeq(text) {
		key, err := hex.DecodeString(field)
		if err != nil || len(key) != keySize {
			return nil, &KeyError{Position: len(keys) + 1}
		}
		keys = append(keys, key)
	}
	if len(keys) == 0 {
		return nil, ErrNoKey
	}
	return keys, nil
}

// fleetKeys returns the fleet's keys from key or key_file of the block peers.
func (l *loader) fleetKeys(in *peersBlock) [][]byte {
	text := l.text(in.Key, "")
	at := in.DefRange
	if path := l.text(in.KeyFile, ""); path != "" {
		at = in.KeyFile.Range()
		if text != "" {
			l.addError(at, "Two keys", "Give either key or key_file.")
		}
		b, err := os.ReadFile(path)
		if err != nil {
			l.addError(at, "Key not readable", "The file %q can't be read: %v.", path, withoutPath(err))
			return nil
		}
		l.config.Peers.KeyFile = path
		text = string(b)
	}
	keys, err := ParseKeys(text)
	if err != nil {
		l.addError(at, "Not a key", "The fleet's key is %d bytes in hex, %d digits, in key or, one a line, in the file named by key_file.",
			keySize, 2*keySize)
	}
	return keys
}

// withoutPath returns the cause of a path error, for messages that already contain the path.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
