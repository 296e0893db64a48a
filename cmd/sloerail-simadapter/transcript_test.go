package main

import (
	"bytes"
	"testing"

	"sloerail/internal/golden"
)

// TestTranscriptIsFrozen replays recorded lines of the simulator, with every message and every key of the settings, and
// compares the replies byte for byte. Names on the wire and decisions must not change.
func TestTranscriptIsFrozen(t *testing.T) {
	in := golden.Read(t, "transcript.in")
	var out bytes.Buffer
	if err := serve(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	golden.Check(t, "transcript.out", out.Bytes())
	for _, name := range []string{"mark", "eob", "configure", "list", "peersKnown", "ingress", "healthResult", "shutdown",
		"lapsed", "headers", "neighbourSays", "reminder", "completed"} {
		if !bytes.Contains(in, []byte(`["`+name+`"`)) {
			t.Errorf("transcript.in has no message %s", name)
		}
	}
}
