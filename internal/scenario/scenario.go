// Package scenario decodes TOML files strictly, and finds built-in scenarios by their names.
package scenario

import (
	"bytes"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path"
	"strings"

	"github.com/pelletier/go-toml/v2"
)

// Decode decodes TOML into v. A key without a field in v is an error that names the key, because ignoring a misspelt key
// would change the meaning of the file.
func Decode(raw []byte, v any) error {
	err := toml.NewDecoder(bytes.NewReader(raw)).DisallowUnknownFields().Decode(v)
	var strict *toml.StrictMissingError
	var decodeErr *toml.DecodeError
	switch {
	case errors.As(err, &strict) && len(strict.Errors) > 0:
		return fmt.Errorf("unknown key %s", strings.Join(strict.Errors[0].Key(), "."))
	case errors.As(err, &decodeErr) && len(decodeErr.Key()) > 0:
		return fmt.Errorf("%s: %w", strings.Join(decodeErr.Key(), "."), err)
	}
	return err
}

// Library holds the built-in scenarios: TOML files in the folder "scenarios" of Files.
type Library struct{ Files fs.FS }

// Names returns the names of the library's scenarios.
func (l Library) Names() (names []string) {
	files, err := fs.Glob(l.Files, "scenarios/*.toml")
	if err != nil { // the pattern is fixed
		panic(err)
	}
	for _, file := range files {
		names = append(names, strings.TrimSuffix(path.Base(file), ".toml"))
	}
	return names
}

// Read parses the scenario of the library with this name or, if there is none, the file with this path.
func Read[T any](l Library, name string, parse func(raw []byte) (T, error)) (T, error) {
	var zero T
	raw, err := fs.ReadFile(l.Files, "scenarios/"+name+".toml")
	if err != nil {
		if raw, err = os.ReadFile(name); errors.Is(err, fs.ErrNotExist) {
			return zero, fmt.Errorf("scenario %q: no such file or built-in scenario; built in are %s",
				name, strings.Join(l.Names(), ", "))
		}
	}
	if err != nil {
		return zero, fmt.Errorf("scenario %q: %w", name, err)
	}
	value, err := parse(raw)
	if err != nil {
		return zero, fmt.Errorf("scenario %q: %w", name, err)
	}
	return value, nil
}
