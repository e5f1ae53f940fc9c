package peer

import (
	"bytes"
	"encoding/hex"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"yardcleat.example/yardcleat/internal/network"
)

// The format of an authenticated packet does not change, in either direction.
func TestSealedPacketHasGoldenBytes(t *testing.T) {
	const golden = "01" + "0003" + "0004" + "0102030405060708" + "000000000000002a" + "0000019adde0f800" + // header
		"68656c6c6f" + // payload
		"84a087ef521f47e98672a1db6b753939"
	key := []byte("0123456789abcdef0123456789abcdef")
	header := Header{From: 3, To: 4, Incarnation: 0x0102030405060708, Seq: 42, Sent: time.UnixMilli(0x19adde0f800)}
	payload := []byte("hello")
	if got := hex.EncodeToString(Seal(key, header, payload)); got != golden {
		t.Errorf("sealed to %s, want %s", got, golden)
	}
	b, err := hex.DecodeString(golden)
	if err != nil {
		t.Fatal(err)
	}
	h, p, ok := Open(key, b)
	if !ok || h != header || !bytes.Equal(p, payload) {
		t.Errorf("opened to %+v, %q, %v", h, p, ok)
	}
}

// A plain datagram consists of the message alone, in either direction.
func TestPlainDatagramIsTheMessage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		mem := network.NewMemory(time.Millisecond, 1)
		addresses := []string{"10.0.0.1:70", "10.0.0.2:70"}
		other, err := mem.Host("other").ListenPacket(addresses[1])
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			if err := other.Close(); err != nil {
				t.Error(err)
			}
		})
		var got []byte
		b, err := ListenPlain(PlainOptions{Network: mem.Host("me"), Listen: addresses[0], Addresses: addresses,
			Deliver: func(_ int, data []byte) { got = data }})
		if err != nil {
			t.Fatal(err)
		}
		defer b.Close()
		message := []byte{3, 1, 0, 255}
		b.Send(1, message)
		buf := make([]byte, MaxPlainPayload)
		n, from, err := other.ReadFrom(buf)
		if err != nil || !bytes.Equal(buf[:n], message) {
			t.Errorf("sent as %x, %v", buf[:n], err)
		}
		if _, err := other.WriteTo(message, from); err != nil {
			t.Fatal(err)
		}
		time.Sleep(time.Second)
		synctest.Wait()
		if !bytes.Equal(got, message) {
			t.Errorf("delivered as %x", got)
		}
	})
}

// The name and the format of the file that stores the last incarnation do not change.
func TestIncarnationFileIsGolden(t *testing.T) {
	dir := t.TempDir()
	path := filepath.Join(dir, "incarnation")
	if err := os.WriteFile(path, []byte("1764662400000000000\n"), 0o600); err != nil {
		t.Fatal(err)
	}
	if inc, err := Incarnation(dir, time.Unix(0, 1)); err != nil || inc != 1764662400000000001 {
		t.Errorf("incarnation %d, %v", inc, err)
	}
	if b, err := os.ReadFile(path); err != nil || string(b) != "1764662400000000001\n" {
		t.Errorf("file %q, %v", b, err)
	}
}
