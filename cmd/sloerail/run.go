package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
)

// run is the program: it returns the status to end with.
func run(ctx context.Context, arguments []string, out, errs io.Writer) int {
	root := newRoot()
	root.SetArgs(arguments)
	root.SetOut(out)
	root.SetErr(errs)
	err := root.ExecuteContext(ctx)
	switch {
	case err == nil:
		return 0
	case errors.Is(err, errUse) || strings.HasPrefix(err.Error(), "unknown command"):
		fmt.Fprintf(errs, "sloerail: %v\nsloerail: see 'sloerail --help'\n", err)
		return 2
	}
	fmt.Fprintln(errs, "sloerail:", err)
	return 1
}
