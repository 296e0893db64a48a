package main

import (
	"context"
	"errors"
	"io"
	"strings"

	"sloerail/internal/output"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailure = 1
	exitUsage   = 2
)

// run runs the program with the given arguments and returns the exit code.
func run(ctx context.Context, arguments []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errs)
	printer := output.NewPrinter(errs) // a failure to write to standard error can't be reported
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"): // cobra's error has no type of its own
		printer.Printf("sloerail: %v\nsloerail: see 'sloerail --help'\n", err)
		return exitUsage
	}
	printer.Println("sloerail:", err)
	return exitFailure
}
