// Package golden compares the output of tests with golden files that an earlier version wrote. Only tests import it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "rewrite the golden files; only for an intended change of a format")

// Check fails the test unless got equals the named file of the package's testdata folder byte for byte.
func Check(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o750); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	if want := Read(t, name); string(got) != string(want) {
		t.Errorf("output differs from golden file %s\ngot  %s\nwant %s", path, got, want)
	}
}

// Read returns the content of the named file of the package's testdata folder.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
