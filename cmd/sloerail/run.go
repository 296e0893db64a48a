package main

import (
	"context"
	"errors"
	"io"
	"strings"

	"sloerail/internal/output"
)

// run is the program: it returns the status to end with.
func run(ctx context.Context, arguments []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errs)
	complaints := output.NewPrinter(errs) // nothing is left to tell an error of standard error to
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUsage) || strings.HasPrefix(err.Error(), "unknown command"):
		complaints.Printf("sloerail: %v\nsloerail: see 'sloerail --help'\n", err)
		return 2
	}
	complaints.Println("sloerail:", err)
	return 1
}
