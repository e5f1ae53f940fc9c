package peer

import (
	"fmt"
	"log/slog"
	"os"
	"sync"
	"time"

	"yardcleat.example/yardcleat/config"
)

// Keyring holds the fleet's keys. Packets are sealed with the first key and opened with any of
// them. A key file is read again when it changes, so a key can be replaced while the fleet is in
// service, in three steps, each completed at all nodes before the next: add the new key as the
// last one, make it the first one, remove the old key. A node that has only a removed key is
// excluded from the fleet within KeyFileCheckInterval.
type Keyring struct {
	path      string
	log       *slog.Logger
	mu        sync.Mutex
	keys      [][]byte
	modTime   time.Time
	size      int64
	checkedAt time.Time
}

// KeyFileCheckInterval is the minimum time between checks of the key file for changes.
const KeyFileCheckInterval = time.Second

// NewKeyring returns a Keyring of keys. path is the file that they were read from; "": they did not
// come from a file and do not change.
func NewKeyring(keys [][]byte, path string, log *slog.Logger) *Keyring {
	k := &Keyring{path: path, log: log, keys: keys}
	if info, err := os.Stat(path); err == nil {
		k.modTime, k.size = info.ModTime(), info.Size()
	}
	return k
}

// Keys returns the current keys. It reads the key file again if it has changed; an invalid or
// unreadable file leaves the keys as they are.
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
		k.log.Error("reloading the peer keys failed; keeping the current ones", "error", err)
		return k.keys
	}
	k.keys = keys
	k.log.Info("peer keys reloaded", "keys", fmt.Sprint(len(keys)))
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
