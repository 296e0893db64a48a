package emulator

import (
	"encoding/json"
	"reflect"
	"testing"

	"sloerail/internal/golden"
)

// goldenAnswer has every key and every phase.
func goldenAnswer() ListResponse {
	return ListResponse{Revision: 7, Complete: true, Members: []Entry{
		{ID: "s-0", HostPort: "10.0.0.1:9000", Locality: "a", Flavor: "big-box", Cell: 3, Phase: Up, Size: 1.5, UpSince: 1700000000123},
		{ID: "s-1", HostPort: "10.0.0.2:9000", Locality: "b", Flavor: "small-box", Cell: -1, Phase: Draining, Size: 1},
		{ID: "s-2", Phase: Removed},
	}}
}

// What the stand-in for the list service answers is in the form of the service.
func TestListFormIsFrozen(t *testing.T) {
	for file, answer := range map[string]ListResponse{"list.json": goldenAnswer(), "empty.json": NewList().Snapshot()} {
		raw, err := json.Marshal(answer)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, file, raw)
		var read ListResponse
		if err := json.Unmarshal(golden.Read(t, file), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, answer) {
			t.Errorf("%s: read %+v", file, read)
		}
	}
}

// Settings hold these words.
func TestRetrySafetyWordsAreFrozen(t *testing.T) {
	for got, want := range map[RetrySafety]string{Idempotent: "free", IdempotencyKeyed: "guarded", NonIdempotent: "single_shot"} {
		if string(got) != want {
			t.Errorf("got %q, want %q", got, want)
		}
	}
}
