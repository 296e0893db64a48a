package emulator

import (
	"encoding/json"
	"reflect"
	"testing"

	"sloerail/internal/golden"
)

// goldenResponse returns a response with every key and every phase.
func goldenResponse() ListResponse {
	return ListResponse{Revision: 7, Complete: true, Members: []Entry{
		{ID: "s-0", HostPort: "10.0.0.1:9000", Locality: "a", Flavor: "big-box", Cell: 3, Phase: Up, Size: 1.5, UpSince: 1700000000123},
		{ID: "s-1", HostPort: "10.0.0.2:9000", Locality: "b", Flavor: "small-box", Cell: -1, Phase: Draining, Size: 1},
		{ID: "s-2", Phase: Removed},
	}}
}

// Responses of the emulated list service have the format of the platform's list service.
func TestListFormatIsFrozen(t *testing.T) {
	for file, response := range map[string]ListResponse{"list.json": goldenResponse(), "empty.json": NewList().Snapshot()} {
		raw, err := json.Marshal(response)
		if err != nil {
			t.Fatal(err)
		}
		golden.Check(t, file, raw)
		var read ListResponse
		if err := json.Unmarshal(golden.Read(t, file), &read); err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(read, response) {
			t.Errorf("%s: decoded golden response: got %+v, want the value that was written", file, read)
		}
	}
}

// Settings contain the words for RetrySafety, so the words must not change.
func TestRetrySafetyWordsAreFrozen(t *testing.T) {
	for got, want := range map[RetrySafety]string{Idempotent: "free", IdempotencyKeyed: "guarded", NonIdempotent: "single_shot"} {
		if string(got) != want {
			t.Errorf("word for a RetrySafety: got %q, want %q", got, want)
		}
	}
}
