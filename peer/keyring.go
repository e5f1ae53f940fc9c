package peer

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"yardcleat.example/yardcleat/config"
)

// Keyring holds the fleet's keys: the first seals, all open. Keys from a file are
// read again when it changes, so a key is replaced in service in three steps, each
// at all nodes before the next: add the new one as the last, make it the first,
// take the old one out. A node that has only a key taken out is out of the fleet
// within KeyringLook of that.
type Keyring struct {
	path      string
	log       *slog.Logger
	mu        sync.Mutex
	keys      [][]byte
	modTime   time.Time
	size      int64
	checkedAt time.Time
}

// KeyFileCheckInterval is how often the file is looked at.
const KeyFileCheckInterval = time.Second

// NewKeyring returns a Keyring of keys, from a file where the path is not "".
func NewKeyring(keys [][]byte, path string, log *slog.Logger) *Keyring {
	k := &Keyring{path: path, log: log, keys: keys}
	if info, err := os.Stat(path); err == nil {
		k.modTime, k.size = info.ModTime(), info.Size()
	}
	return k
}

// Keys are those to use now. A file that can't be used changes nothing.
func (k *Keyring) Keys() [][]byte {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := time.Now()
	if k.path == "" || now.Sub(k.checkedAt) < KeyFileCheckInterval {
		return k.keys
	}
	k.checkedAt = now
	info, err := os.Stat(k.path)
	if err == nil && info.ModTime().Equal(k.modTime) && info.Size() == k.size {
		return k.keys
	}
	var b []byte
	if err == nil {
		k.modTime, k.size = info.ModTime(), info.Size()
		b, err = os.ReadFile(k.path)
	}
	var keys [][]byte
	if err == nil {
		keys, err = config.ParseKeys(string(b))
	}
	if err != nil {
		k.log.Error("the fleet's new keys can't be used; the last ones are kept", "error", err)
		return k.keys
	}
	k.keys = keys
	k.log.Info("the fleet's keys were replaced", "keys", fmt.Sprint(len(keys)))
	return k.keys
}

// open opens a packet with any of the keys.
func (k *Keyring) open(b []byte) (h Header, payload []byte, ok bool) {
	for _, key := range k.Keys() {
		if h, payload, ok = Open(key, b); ok {
			return h, payload, true
		}
	}
	return h, nil, false
}
