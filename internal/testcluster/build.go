package testcluster

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
)

// errNoModule is returned by Build when neither the working directory nor a parent contains a go.mod.
var errNoModule = errors.New("no go.mod")

// built caches the programs that Build has compiled in this process.
var built = struct {
	sync.Mutex
	paths map[string]string // by package
	dirs  []string          // directories of the programs, removed by Clean
}{paths: make(map[string]string)}

// Build compiles a main package of this module and returns the path of the program. The working directory must be inside
// the module. Each package is built once per process, but again after Clean.
func Build(pkg string) (string, error) {
	built.Lock()
	defer built.Unlock()
	if path, ok := built.paths[pkg]; ok {
		return path, nil
	}
	root, err := moduleRoot()
	if err != nil {
		return "", err
	}
	dir, err := os.MkdirTemp("", "sloerail-testcluster-")
	if err != nil {
		return "", err
	}
	path := filepath.Join(dir, filepath.Base(pkg))
	cmd := exec.Command("go", "build", "-o", path, "./"+pkg)
	cmd.Dir = root
	if out, err := cmd.CombinedOutput(); err != nil {
		_ = os.RemoveAll(dir)
		return "", fmt.Errorf("building %s: %w\n%s", pkg, err, out)
	}
	built.paths[pkg] = path
	built.dirs = append(built.dirs, dir)
	return path, nil
}

// Clean removes the programs that Build has compiled.
func Clean() {
	built.Lock()
	defer built.Unlock()
	for _, dir := range built.dirs {
		_ = os.RemoveAll(dir)
	}
	clear(built.paths)
	built.dirs = nil
}

// moduleRoot returns the nearest directory at or above the working directory that contains a go.mod.
func moduleRoot() (string, error) {
	workingDir, err := os.Getwd()
	if err != nil {
		return "", err
	}
	for dir := workingDir; ; dir = filepath.Dir(dir) {
		if _, err := os.Stat(filepath.Join(dir, "go.mod")); err == nil {
			return dir, nil
		}
		if dir == filepath.Dir(dir) {
			return "", fmt.Errorf("%w in %s or its parent directories", errNoModule, workingDir)
		}
	}
}
