package output

import (
	"errors"
	"strings"
	"testing"
)

var errFull = errors.New("no space left")

// limited fails once it has taken so many writes.
type limited struct {
	strings.Builder
	left int
}

func (l *limited) Write(b []byte) (int, error) {
	if l.left == 0 {
		return 0, errFull
	}
	l.left--
	return l.Builder.Write(b)
}

func TestPrinterKeepsTheFirstError(t *testing.T) {
	to := &limited{left: 1}
	p := NewPrinter(to)
	p.Printf("%d\n", 1)
	if p.Err() != nil {
		t.Fatal(p.Err())
	}
	p.Println(2)
	to.left = 1
	p.Println(3)
	if !errors.Is(p.Err(), errFull) || to.String() != "1\n" {
		t.Errorf("%v, wrote %q", p.Err(), to.String())
	}
}

func TestShow(t *testing.T) {
	text := func(p *Printer) {
		table := NewTable(p, "name")
		table.AppendRow([]any{"n0"})
		table.Render()
	}
	for _, c := range []struct {
		asJSON bool
		left   int
		want   string
		err    error
	}{
		{true, 9, "[1]\n", nil},
		{false, 9, "│ n0   │", nil},
		{true, 0, "", errFull},
		{false, 0, "", errFull},
	} {
		to := &limited{left: c.left}
		err := Show(to, []int{1}, c.asJSON, text)
		if !errors.Is(err, c.err) || !strings.Contains(to.String(), c.want) {
			t.Errorf("JSON %v with room for %d: %v, wrote %q", c.asJSON, c.left, err, to.String())
		}
	}
}
