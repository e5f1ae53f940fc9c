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

// ErrNoKey is the error of ParseKeys for a text without a key.
var ErrNoKey = errors.New("no key")

// KeyError is the error of ParseKeys for a key that is not 32 bytes in hex. It does not
// contain the key itself, which must not reach a log.
type KeyError struct {
	Position int // of the key in the text, from 1
}

func (e *KeyError) Error() string {
	return fmt.Sprintf("key %d is not of %d bytes in hex", e.Position, keySize)
}

// ParseKeys reads the keys of a fleet, of 32 bytes each, in hex. Keys are separated by line
// breaks or any other whitespace. The error is ErrNoKey or a *KeyError.
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

// fleetKeys is the keys of the block peers, from the text itself or from a file.
func (l *loader) fleetKeys(in *peersBlock) [][]byte {
	text := l.text(in.Key, "")
	at := in.DefRange
	if path := l.text(in.KeyFile, ""); path != "" {
		at = in.KeyFile.Range()
		if text != "" {
			l.mistake(at, "Two keys", "Give either key or key_file.")
		}
		b, err := os.ReadFile(path)
		if err != nil {
			l.mistake(at, "Key not readable", "The file %q can't be read: %v.", path, withoutPath(err))
			return nil
		}
		l.config.Peers.KeyFile = path
		text = string(b)
	}
	keys, err := ParseKeys(text)
	if err != nil {
		l.mistake(at, "Not a key", "The fleet's key is %d bytes in hex, %d digits, in key or, one a line, in the file named by key_file.",
			keySize, 2*keySize)
	}
	return keys
}

// withoutPath is the cause of an error about a path that the message names already.
func withoutPath(err error) error {
	var pathError *os.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
