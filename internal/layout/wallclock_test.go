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

// wallClockReads are the places that may read the wall clock, by file and what is read there, with the reason. All
// others have to do with the monotonic clock alone, which no step of the wall clock moves.
var wallClockReads = map[string]string{
	"cmd/dahliapin/serve.go: Time.UnixNano":                  "the time of a record",
	"internal/freshness/response.go: http.ParseTime":         "dates of HTTP are the wall clock's (RFC 9111, 4.2.3)",
	"internal/membership/gossip/trace.go: unix.ClockGettime": "CLOCK_BOOTTIME, which no step moves",
	"internal/proxy/downstream_http.go: Time.UnixNano":       "a part of ids, so that two processes' differ",
	"internal/proxy/downstream_http.go: Time.Unix":           "the field Date of responses",
	"internal/proxy/downstream_http.go: Time.UTC":            "the field Date of responses",
	"internal/proxy/downstream_http.go: Time.Format":         "the field Date of responses",
	"internal/proxy/endpoint_start.go: Time.UnixNano":        "the endpoint list states starts by the wall clock",
	"internal/proxy/sockets/listener.go: time.Unix":          "a deadline in the past, whatever the clock says",
}

// monotonic are the methods of time.Time that use the reading of the monotonic clock where there is one. All others
// read the wall clock, or drop the monotonic reading.
var monotonic = []string{"Add", "Sub", "Before", "After", "Compare", "Equal", "IsZero"}

// monotonicFunctions are the functions outside of this module that return a time with a monotonic reading.
var monotonicFunctions = []string{"time.Now", "Time.Add"}

// clockCalls read the clock of the system past the package time.
var clockCalls = []string{"unix.ClockGettime", "unix.Gettimeofday", "unix.Time", "syscall.Gettimeofday", "syscall.Time"}

// compiledPackage is what go list tells of a package.
type compiledPackage struct {
	ImportPath, Dir, Export string
	GoFiles                 []string
}

// Deadlines, windows, waits and graces are spans of real time, and a machine's wall clock may be stepped.
func TestOnlyNamedPlacesReadTheWallClock(t *testing.T) {
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
			t.Errorf("%s reads the wall clock at %v; a span needs the monotonic one, by Sub or time.Since", key, at)
		}
	}
	for key := range wallClockReads {
		if reads[key] == nil {
			t.Errorf("%s is named as a reader of the wall clock, and is none", key)
		}
	}
}

// The check finds each way to the wall clock, and lets spans by the monotonic clock pass.
func TestReadsOfTheWallClockAreFound(t *testing.T) {
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

// isTool tells whether a file of the commands is a tool's: those run beside nodes, not in them.
func isTool(name string) bool {
	toolFiles := []string{
		"changes.go", "demo.go", "load.go", "nemesis.go", "rehearse.go", "reports.go", "scale.go", "scale_changes.go",
		"scale_changes_report.go", "soak.go",
	}
	return filepath.Dir(name) == "cmd/dahliapin" && slices.Contains(toolFiles, filepath.Base(name))
}

// compiledPackages returns the programs' packages and all that they import, by path.
func compiledPackages(t *testing.T) map[string]*compiledPackage {
	t.Helper()
	list := exec.Command("go", "list", "-deps", "-export", "-json=ImportPath,Dir,Export,GoFiles",
		"dahliapin/cmd/...")
	var complaints bytes.Buffer
	list.Stderr = &complaints
	out, err := list.Output()
	if err != nil {
		t.Fatalf("%v: %s", err, complaints.String())
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

// checkTypes finds out what the names in a package's files stand for.
func checkTypes(t *testing.T, set *token.FileSet, path string, files []*ast.File,
	all map[string]*compiledPackage) *types.Info {
	t.Helper()
	open := func(path string) (io.ReadCloser, error) {
		if all[path] == nil {
			return nil, fmt.Errorf("%s is not listed", path)
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

// clockRead is one place that reads the wall clock.
type clockRead struct {
	what string
	at   token.Pos
}

// wallClockReadsIn returns the reads in a file: uses of functions and methods, and times that are handed on as a value
// of an interface, which is printed or encoded.
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

// readsWallClock tells of a function or method whether it reads the wall clock, or returns a time that has no monotonic
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
		return !slices.Contains(monotonic, function.Name())
	}
	for result := range signature.Results().Variables() {
		if isTime(result.Type()) && !slices.Contains(monotonicFunctions, name) {
			return true
		}
	}
	return false
}

// timesAsInterfaces returns the arguments of a call that are times and become values of an interface.
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

// nameOf is the name of a function with its package, or of a method with its type.
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
