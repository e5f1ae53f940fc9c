package snapshotfile

import (
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

type testHeader struct {
	Node int `json:"node"`
}

var (
	withHeader    = Format[testHeader, []string]{Version: 2, Payload: "names"}
	withoutHeader = Format[struct{}, []string]{Version: 2, Payload: "names"}
	testNames     = []string{"a", "<b>"}
)

func writeFile(t *testing.T, path, content string) {
	t.Helper()
	if err := os.WriteFile(path, []byte(content), 0o600); err != nil {
		t.Fatal(err)
	}
}

func readFile(t *testing.T, path string) string {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	return string(b)
}

func TestWrittenSnapshotIsReadBack(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	for _, names := range [][]string{testNames, {}, nil} { // each write replaces the previous content
		if err := withHeader.Write(path, testHeader{Node: 3}, names); err != nil {
			t.Fatal(err)
		}
		header, got, err := withHeader.Read(path)
		if err != nil || header.Node != 3 || !slices.Equal(got, names) {
			t.Errorf("read %+v, %q, %v; want node 3, %q", header, got, err, names)
		}
	}
	if err := withoutHeader.Write(path, struct{}{}, testNames); err != nil {
		t.Fatal(err)
	}
	if _, got, err := withoutHeader.Read(path); err != nil || !slices.Equal(got, testNames) {
		t.Errorf("read %q, %v; want %q", got, err, testNames)
	}
}

func TestMembersAreWrittenInOrder(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	if err := withHeader.Write(path, testHeader{Node: 3}, testNames); err != nil {
		t.Fatal(err)
	}
	payload := `["a","\u003cb\u003e"]`
	want := `{"version":2,"node":3,"sum":"` + checksum([]byte(payload)) + `","names":` + payload + `}`
	if got := readFile(t, path); got != want {
		t.Errorf("written as %s, want %s", got, want)
	}
}

func TestUnusableSnapshotIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	if err := withHeader.Write(path, testHeader{Node: 3}, testNames); err != nil {
		t.Fatal(err)
	}
	complete := readFile(t, path)
	emptySum := checksum(nil)
	for _, c := range []struct {
		name, content string
		wantChecksum  bool
		wantVersion   int // 0: a DamagedError is wanted
	}{
		{name: "empty", content: ""},
		{name: "not JSON", content: "servers"},
		{name: "JSON of another type", content: "[1]"},
		{name: "trailing data", content: complete + "}"},
		{name: "payload changed", content: strings.Replace(complete, `"a"`, `"z"`, 1), wantChecksum: true},
		{name: "sum changed", content: strings.Replace(complete, `"sum":"`, `"sum":"0`, 1), wantChecksum: true},
		{name: "without a sum", content: `{"version":2,"node":3,"names":[]}`, wantChecksum: true},
		{name: "without a payload", content: `{"version":2,"node":3,"sum":"` + emptySum + `"}`},
		{name: "header of another type", content: strings.Replace(complete, `"node":3`, `"node":"three"`, 1)},
		{name: "payload of another type", content: `{"version":2,"sum":"` + checksum([]byte("7")) + `","names":7}`},
		{name: "newer version", content: strings.Replace(complete, `"version":2`, `"version":3`, 1), wantVersion: 3},
		{name: "older version", content: strings.Replace(complete, `"version":2`, `"version":1`, 1), wantVersion: 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			writeFile(t, path, c.content)
			header, payload, err := withHeader.Read(path)
			if header != (testHeader{}) || payload != nil {
				t.Errorf("read %+v, %q together with an error", header, payload)
			}
			if c.wantVersion > 0 {
				var version *VersionError
				if !errors.As(err, &version) || version.Got != c.wantVersion || version.Want != 2 {
					t.Errorf("error %v, want a VersionError for version %d", err, c.wantVersion)
				}
				return
			}
			var damaged *DamagedError
			if !errors.As(err, &damaged) || errors.Is(err, ErrChecksum) != c.wantChecksum {
				t.Errorf("error %v, want a DamagedError; checksum mismatch: %v", err, c.wantChecksum)
			}
		})
	}
}

func TestTruncatedSnapshotIsRejected(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	if err := withHeader.Write(path, testHeader{Node: 3}, testNames); err != nil {
		t.Fatal(err)
	}
	complete := readFile(t, path)
	for size := range complete {
		writeFile(t, path, complete[:size])
		var damaged *DamagedError
		if _, payload, err := withHeader.Read(path); !errors.As(err, &damaged) || payload != nil {
			t.Errorf("truncated to %d bytes: read %q, %v", size, payload, err)
		}
	}
}

func TestAbsentFileIsNotExist(t *testing.T) {
	path := filepath.Join(t.TempDir(), "snapshot")
	if _, _, err := withHeader.Read(path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("error %v", err)
	}
	if _, err := ReadPlain[[]string](path); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("plain: error %v", err)
	}
}

func TestPlainFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "plain")
	if err := WritePlain(path, testNames); err != nil {
		t.Fatal(err)
	}
	if got, want := readFile(t, path), `["a","\u003cb\u003e"]`; got != want {
		t.Errorf("written as %s, want %s", got, want)
	}
	if got, err := ReadPlain[[]string](path); err != nil || !slices.Equal(got, testNames) {
		t.Errorf("read %q, %v; want %q", got, err, testNames)
	}
	writeFile(t, path, `["a"`)
	var damaged *DamagedError
	if got, err := ReadPlain[[]string](path); !errors.As(err, &damaged) || got != nil {
		t.Errorf("truncated: read %q, %v", got, err)
	}
}

func TestWriteReportsErrors(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "missing", "snapshot")
	if err := withHeader.Write(missing, testHeader{}, testNames); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("into a missing directory: %v", err)
	}
	if err := WritePlain(missing, testNames); !errors.Is(err, fs.ErrNotExist) {
		t.Errorf("plain into a missing directory: %v", err)
	}
	unencodable := Format[struct{}, chan int]{Version: 1, Payload: "c"}
	if err := unencodable.Write(filepath.Join(t.TempDir(), "s"), struct{}{}, nil); err == nil {
		t.Error("writing a payload that can't be encoded as JSON succeeded")
	}
}

func TestErrorTexts(t *testing.T) {
	for _, c := range []struct {
		err  error
		want string
	}{
		{&VersionError{Got: 2, Want: 1}, "of version 2, not 1"},
		{&DamagedError{ErrChecksum}, "damaged: checksum mismatch"},
		{&DamagedError{errors.New("unexpected end")}, "truncated or in another format: unexpected end"},
	} {
		if got := c.err.Error(); got != c.want {
			t.Errorf("%q, want %q", got, c.want)
		}
	}
}
