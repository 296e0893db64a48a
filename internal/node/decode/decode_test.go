package decode

import (
	"errors"
	"testing"
)

func TestJSONNamesTheField(t *testing.T) {
	var dst struct {
		Limits struct {
			Sockets int `json:"sockets"`
		} `json:"limits"`
	}
	err := JSON([]byte(`{"limits":{"sockets":"many"}}`), &dst)
	var bad *FieldError
	if !errors.As(err, &bad) || bad.Field != "limits.sockets" || bad.Error() != "limits.sockets: want int, got string" {
		t.Errorf("string for an int: got error %v, want a FieldError of limits.sockets", err)
	}
	if err := JSON([]byte(`{"limits"`), &dst); err == nil || errors.As(err, &bad) {
		t.Errorf("truncated JSON: got error %v, want one that is not a FieldError", err)
	}
}

func TestSectionRejectsUnknownKeys(t *testing.T) {
	var dst struct {
		Known int `json:"known"`
	}
	if err := Section("part", []byte(`{"known":1}`), &dst); err != nil || dst.Known != 1 {
		t.Errorf("section without unknown keys: got %+v, error %v, want Known 1", dst, err)
	}
	err := Section("part", []byte(`{"knwon":1}`), &dst)
	if want := `part: json: unknown field "knwon"`; err == nil || err.Error() != want {
		t.Errorf("section with an unknown key: got error %v, want %s", err, want)
	}
}

func TestCheckAddresses(t *testing.T) {
	for addrs, ok := range map[string]bool{
		"127.0.0.1:80": true, "server.svc:0": true, "[::1]:65535": true, "127.0.0.1:80,127.0.0.1:81": true,
		"": false, "nowhere": false, ":80": false, "127.0.0.1:http": false, "127.0.0.1:65536": false,
		"127.0.0.1:80,": false, "127.0.0.1:80,nowhere": false,
	} {
		if err := CheckAddresses(addrs); (err == nil) != ok {
			t.Errorf("addresses %q: got error %v; want the addresses accepted: %v", addrs, err, ok)
		}
	}
}
