package nodetest

import (
	"bytes"
	"os"
	"path/filepath"
	"testing"
)

// ReadGolden returns the content of the golden file name in testdata.
func ReadGolden(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}

// AssertEqualBytes fails the test if got differs from want, and reports the offset of the first difference.
func AssertEqualBytes(t *testing.T, what string, got, want []byte) {
	t.Helper()
	if bytes.Equal(got, want) {
		return
	}
	n := 0
	for n < len(got) && n < len(want) && got[n] == want[n] {
		n++
	}
	t.Errorf("%s: first difference at byte %d:\n got %s\nwant %s", what, n, got[n:min(n+80, len(got))], want[n:min(n+80, len(want))])
}

// WriteFile writes text to a temporary file, which is removed when the test ends, and returns its path.
func WriteFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "file")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return path
}
