// Package output writes command results: as JSON for programs, or as lines and tables for people.
package output

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/jedib0t/go-pretty/v6/table"
)

// Printer writes text and keeps the first error of its writer; after an error it writes nothing more.
type Printer struct {
	to  io.Writer
	err error
}

// NewPrinter returns a Printer that writes to a writer.
func NewPrinter(to io.Writer) *Printer { return &Printer{to: to} }

// Write implements io.Writer.
func (p *Printer) Write(text []byte) (int, error) {
	if p.err != nil {
		return 0, p.err
	}
	n, err := p.to.Write(text)
	p.err = err
	return n, err
}

// Printf writes formatted text; Err reports an error.
func (p *Printer) Printf(format string, args ...any) { _, _ = fmt.Fprintf(p, format, args...) }

// Println writes its arguments as one line; Err reports an error.
func (p *Printer) Println(args ...any) { _, _ = fmt.Fprintln(p, args...) }

// Err returns the first error of the writer.
func (p *Printer) Err() error { return p.err }

// Show writes a value as one line of JSON, or as the text that print makes of it.
func Show(to io.Writer, value any, asJSON bool, print func(p *Printer)) error {
	if asJSON {
		return json.NewEncoder(to).Encode(value)
	}
	p := NewPrinter(to)
	print(p)
	return p.Err()
}

// NewTable returns an empty table that Render writes to a writer.
func NewTable(to io.Writer, header ...any) table.Writer {
	t := table.NewWriter()
	t.SetOutputMirror(to)
	t.SetStyle(table.StyleLight)
	t.AppendHeader(header)
	return t
}
