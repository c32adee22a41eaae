package layout

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"go/ast"
	"go/importer"
	"go/parser"
	"go/token"
	"go/types"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// wallClockReads lists the places that may read the wall clock, by file and function, with the reason. All other code
// must use the monotonic clock, which steps of the wall clock do not affect.
var wallClockReads = map[string]string{
	"cmd/dahliapin/serve.go: Time.UnixNano":                  "the time of a record",
	"internal/freshness/response.go: http.ParseTime":         "HTTP dates are wall clock times (RFC 9111, 4.2.3)",
	"internal/membership/gossip/trace.go: unix.ClockGettime": "CLOCK_BOOTTIME, which wall clock steps do not affect",
	"internal/proxy/downstream_http.go: Time.UnixNano":       "part of ids, so that the ids of two processes differ",
	"internal/proxy/downstream_http.go: Time.Unix":           "the field Date of responses",
	"internal/proxy/downstream_http.go: Time.UTC":            "the field Date of responses",
	"internal/proxy/downstream_http.go: Time.Format":         "the field Date of responses",
	"internal/proxy/endpoint_start.go: Time.UnixNano":        "the endpoint list has wall clock start times",
	"internal/proxy/sockets/listener.go: time.Unix":          "a deadline in the past, whatever the time is",
}

// monotonicMethods are the methods of time.Time that use the monotonic clock reading if there is one. All others use
// the wall clock reading, or drop the monotonic one.
var monotonicMethods = []string{"Add", "Sub", "Before", "After", "Compare", "Equal", "IsZero"}

// monotonicFunctions are the functions outside this module that return a time with a monotonic reading.
var monotonicFunctions = []string{"time.Now", "Time.Add"}

// clockCalls are functions that read the system clock without package time.
var clockCalls = []string{"unix.ClockGettime", "unix.Gettimeofday", "unix.Time", "syscall.Gettimeofday", "syscall.Time"}

// compiledPackage is the output of go list for one package.
type compiledPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// Deadlines, windows, waits and grace periods are durations, which a step of the machine's wall clock must not change.
func TestOnlyListedPlacesReadWallClock(t *testing.T) {
	reads := map[string][]token.Position{}
	root, err := filepath.Abs("../..")
	if err != nil {
		t.Fatal(err)
	}
	packages := compiledPackages(t)
	for _, p := range packages {
		path, ours := strings.CutPrefix(p.ImportPath, module)
		if !ours || layerFor(path) == tools {
			continue
		}
		set := token.NewFileSet()
		files := parsePackage(t, set, p)
		info := checkTypes(t, set, p.ImportPath, files, packages)
		for _, file := range files {
			name, err := filepath.Rel(root, set.Position(file.Pos()).Filename)
			if err != nil {
				t.Fatal(err)
			}
			if isTool(name) {
				continue
			}
			for _, read := range wallClockReadsIn(file, info) {
				key := name + ": " + read.what
				reads[key] = append(reads[key], set.Position(read.at))
			}
		}
	}
	for key, at := range reads {
		if wallClockReads[key] == "" {
			t.Errorf("%s reads the wall clock at %v; measure durations by the monotonic clock", key, at)
		}
	}
	for key := range wallClockReads {
		if reads[key] == nil {
			t.Errorf("%s is listed in wallClockReads but does not read the wall clock", key)
		}
	}
}

// The check must find every kind of wall clock read and accept durations measured on the monotonic clock.
func TestWallClockReadsAreFound(t *testing.T) {
	const source = `package p

import ("fmt"; "os"; "time"; "golang.org/x/sys/unix")

func spans(since time.Time) bool {
	by := since.Add(time.Second)
	return time.Now().After(by) || time.Since(since) > time.Until(by) || by.Sub(since) > 0
}

func reads(info os.FileInfo, any time.Time) {
	_ = any.Unix()
	_ = any.Round(0)
	_ = time.Date(2000, 1, 1, 0, 0, 0, 0, time.UTC)
	_ = info.ModTime()
	_ = unix.ClockGettime(0, nil)
	method := any.UnixNano
	_ = method
	fmt.Println("at", any)
}
`
	set := token.NewFileSet()
	file, err := parser.ParseFile(set, "p.go", source, parser.SkipObjectResolution)
	if err != nil {
		t.Fatal(err)
	}
	info := checkTypes(t, set, "p", []*ast.File{file}, compiledPackages(t))
	var found []string
	for _, read := range wallClockReadsIn(file, info) {
		found = append(found, read.what)
	}
	want := []string{
		"Time.Unix", "Time.Round", "time.Date", "FileInfo.ModTime", "unix.ClockGettime", "Time.UnixNano",
		"a time as an interface",
	}
	if !slices.Equal(found, want) {
		t.Errorf("found %q, want %q", found, want)
	}
}

// isTool reports whether a file of cmd belongs to a tool, which runs beside nodes and not in them.
func isTool(name string) bool {
	toolFiles := []string{
		"changes.go", "demo.go", "load.go", "nemesis.go", "rehearse.go", "reports.go", "scale.go", "scale_changes.go",
		"scale_changes_report.go", "soak.go",
	}
	return filepath.Dir(name) == "cmd/dahliapin" && slices.Contains(toolFiles, filepath.Base(name))
}

// compiledPackages returns the packages of the commands and all their dependencies, by import path.
func compiledPackages(t *testing.T) map[string]*compiledPackage {
	t.Helper()
	list := exec.Command("go", "list", "-deps", "-export", "-json=ImportPath,Dir,Export,GoFiles",
		"dahliapin/cmd/...")
	var stderr bytes.Buffer
	list.Stderr = &stderr
	out, err := list.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, stderr.String())
	}
	packages := map[string]*compiledPackage{}
	for decoder := json.NewDecoder(bytes.NewReader(out)); ; {
		var p compiledPackage
		if err := decoder.Decode(&p); errors.Is(err, io.EOF) {
			return packages
		} else if err != nil {
			t.Fatal(err)
		}
		packages[p.ImportPath] = &p
	}
}

func parsePackage(t *testing.T, set *token.FileSet, p *compiledPackage) (files []*ast.File) {
	t.Helper()
	for _, name := range p.GoFiles {
		file, err := parser.ParseFile(set, filepath.Join(p.Dir, name), nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		files = append(files, file)
	}
	return files
}

// checkTypes type-checks the files of a package and returns the resolved identifiers and expression types.
func checkTypes(t *testing.T, set *token.FileSet, path string, files []*ast.File,
	all map[string]*compiledPackage) *types.Info {
	t.Helper()
	open := func(path string) (io.ReadCloser, error) {
		if all[path] == nil {
			return nil, fmt.Errorf("package %s is not in the output of go list", path)
		}
		return os.Open(all[path].Export)
	}
	config := types.Config{Importer: importer.ForCompiler(set, "gc", open)}
	info := &types.Info{Uses: map[*ast.Ident]types.Object{}, Types: map[ast.Expr]types.TypeAndValue{}}
	if _, err := config.Check(path, set, files, info); err != nil {
		t.Fatal(err)
	}
	return info
}

// clockRead is a place that reads the wall clock.
type clockRead struct {
	what string
	at   token.Pos
}

// wallClockReadsIn returns the wall clock reads in a file: uses of functions and methods, and times passed as interface
// values, which are then printed or encoded.
func wallClockReadsIn(file *ast.File, info *types.Info) (reads []clockRead) {
	ast.Inspect(file, func(node ast.Node) bool {
		switch n := node.(type) {
		case *ast.Ident:
			if function, ok := info.Uses[n].(*types.Func); ok && readsWallClock(function) {
				reads = append(reads, clockRead{nameOf(function), n.Pos()})
			}
		case *ast.CallExpr:
			reads = append(reads, timesAsInterfaces(n, info)...)
		}
		return true
	})
	return reads
}

// readsWallClock reports whether a function or method reads the wall clock, or returns a time without monotonic
// reading.
func readsWallClock(function *types.Func) bool {
	name, signature := nameOf(function), function.Signature()
	if slices.Contains(clockCalls, name) {
		return true
	}
	if function.Pkg() == nil || strings.HasPrefix(function.Pkg().Path()+"/", module) {
		return false
	}
	if receiver := signature.Recv(); receiver != nil && isTime(receiver.Type()) {
		return !slices.Contains(monotonicMethods, function.Name())
	}
	for result := range signature.Results().Variables() {
		if isTime(result.Type()) && !slices.Contains(monotonicFunctions, name) {
			return true
		}
	}
	return false
}

// timesAsInterfaces returns the arguments of a call that are times converted to interface values.
func timesAsInterfaces(call *ast.CallExpr, info *types.Info) (reads []clockRead) {
	signature, ok := info.Types[call.Fun].Type.(*types.Signature)
	if !ok {
		return nil
	}
	for i, argument := range call.Args {
		if !isTime(info.Types[argument].Type) || call.Ellipsis.IsValid() {
			continue
		}
		parameters := signature.Params()
		last := parameters.Len() - 1
		parameter := parameters.At(min(i, last)).Type()
		if slice, ok := parameter.(*types.Slice); ok && signature.Variadic() && i >= last {
			parameter = slice.Elem()
		}
		if types.IsInterface(parameter) {
			reads = append(reads, clockRead{"a time as an interface", argument.Pos()})
		}
	}
	return reads
}

// nameOf returns the name of a function qualified by its package, or of a method qualified by its type.
func nameOf(function *types.Func) string {
	if receiver := function.Signature().Recv(); receiver != nil {
		if named, ok := types.Unalias(receiver.Type()).(*types.Named); ok {
			return named.Obj().Name() + "." + function.Name()
		}
		return function.Name()
	}
	if function.Pkg() == nil {
		return function.Name()
	}
	return function.Pkg().Name() + "." + function.Name()
}

func isTime(t types.Type) bool {
	if t == nil {
		return false
	}
	if pointer, ok := t.(*types.Pointer); ok {
		t = pointer.Elem()
	}
	named, ok := types.Unalias(t).(*types.Named)
	return ok && named.Obj().Pkg() != nil && named.Obj().Pkg().Path() == "time" && named.Obj().Name() == "Time"
}
