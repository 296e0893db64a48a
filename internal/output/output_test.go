package output

import (
	"errors"
	"strings"
	"testing"
)

var errFull = errors.New("no space left")

// limitedWriter fails after a number of successful writes.
type limitedWriter struct {
	strings.Builder
	remaining int
}

func (l *limitedWriter) Write(b []byte) (int, error) {
	if l.remaining == 0 {
		return 0, errFull
	}
	l.remaining--
	return l.Builder.Write(b)
}

func TestPrinterKeepsTheFirstError(t *testing.T) {
	w := &limitedWriter{remaining: 1}
	p := NewPrinter(w)
	p.Printf("%d\n", 1)
	if p.Err() != nil {
		t.Fatal(p.Err())
	}
	p.Println(2)
	w.remaining = 1
	p.Println(3)
	if !errors.Is(p.Err(), errFull) || w.String() != "1\n" {
		t.Errorf("after a failed write: got error %v, output %q; want the first error and the first line",
			p.Err(), w.String())
	}
}

func TestShowWritesJSONOrText(t *testing.T) {
	text := func(p *Printer) {
		table := NewTable(p, "name")
		table.AppendRow([]any{"n0"})
		table.Render()
	}
	for _, c := range []struct {
		asJSON    bool
		remaining int
		want      string
		err       error
	}{
		{true, 9, "[1]\n", nil},
		{false, 9, "│ n0   │", nil},
		{true, 0, "", errFull},
		{false, 0, "", errFull},
	} {
		w := &limitedWriter{remaining: c.remaining}
		err := Show(w, []int{1}, c.asJSON, text)
		if !errors.Is(err, c.err) || !strings.Contains(w.String(), c.want) {
			t.Errorf("Show with asJSON %v to a writer that takes %d writes: got error %v, output %q; want all output, or errFull if the writer takes none",
				c.asJSON, c.remaining, err, w.String())
		}
	}
}
