// Package golden compares what tests produce with files that an earlier version wrote. Only tests import it.
package golden

import (
	"flag"
	"os"
	"path/filepath"
	"testing"
)

var update = flag.Bool("update", false, "write the golden files anew: for a form that changes on purpose, and for no other")

// Check fails the test unless got is, byte for byte, the named file of the package's testdata folder.
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
		t.Errorf("%s differs from what was written\ngot  %s\nwant %s", path, got, want)
	}
}

// Read returns the named file of the package's testdata folder.
func Read(t *testing.T, name string) []byte {
	t.Helper()
	raw, err := os.ReadFile(filepath.Join("testdata", name))
	if err != nil {
		t.Fatal(err)
	}
	return raw
}
