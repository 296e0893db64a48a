package main

import (
	"bytes"
	"testing"

	"sloerail/internal/golden"
)

// TestTranscriptIsFrozen replays lines that the simulator sent, with every message and every key of the settings, and
// compares the replies byte for byte: the names on the wire, and the decisions, stay as they are.
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
			t.Errorf("the transcript has no %s", name)
		}
	}
}
