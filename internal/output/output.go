// Package output writes command results: as JSON for programs, or as lines and tables for people.
package output

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Printer writes text, and keeps the first error of its writer. After an error it writes nothing more.
type Printer struct {
	w   io.Writer
	err error
}

// NewPrinter returns a Printer that writes to w.
func NewPrinter(w io.Writer) *Printer { return &Printer{w: w} }

// Write implements io.Writer.
func (p *Printer) Write(text []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.w.Write(text)
	p.err = err
	return n, err
}

// Printf writes formatted text; Err returns its error.
func (p *Printer) Printf(format string, args ...any) { _, _ = fmt.Fprintf(p, format, args...) }

// Println writes its arguments as one line; Err returns its error.
func (p *Printer) Println(args ...any) { _, _ = fmt.Fprintln(p, args...) }

// Err returns the first error of the writer.
func (p *Printer) Err() error { return p.err }

// Show writes value to w as one line of JSON, or calls print to write it as text.
func Show(w io.Writer, value any, asJSON bool, print func(p *Printer)) error {
	if asJSON {
		return json.NewEncoder(w).Encode(value)
	}
	p := NewPrinter(w)
	print(p)
	return p.Err()
}

// NewTable returns an empty table with a header. Its Render method writes it to w.
func NewTable(w io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(w)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}
