package config

import (
	"errors"
	"strings"
	"testing"
)

func TestParseKeysReturnsTypedErrors(t *testing.T) {
	good := strings.Repeat("0f", keySize)
	if _, err := ParseKeys(" \n"); !errors.Is(err, ErrNoKey) || err.Error() != "no key" {
		t.Errorf("no key: %v", err)
	}
	for _, bad := range []string{good[2:], good + "00", strings.Repeat("xy", keySize)} {
		_, err := ParseKeys(good + "\n" + bad)
		var e *KeyError
		if !errors.As(err, &e) || e.Position != 2 || err.Error() != "key 2 is not 32 bytes in hex" {
			t.Errorf("%q: %v", bad, err)
		}
	}
}
