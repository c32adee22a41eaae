// Package layout holds the test of which package may import which. It has no code of the product.
package layout

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"strings"
	"testing"
)

const module = "dahliapin/"

// layer is a part of the program. Packages belong to the layer with the longest matching folder.
type layer string

const (
	small      layer = "small libraries"
	decisions  layer = "policy"
	config     layer = "internal/config"
	wire       layer = "internal/wire"
	discovery  layer = "internal/discovery"
	membership layer = "internal/membership"
	control    layer = "internal/control"
	proxy      layer = "internal/proxy"
	node       layer = "node"
	tools      layer = "emulator, scale and load generator"
	commands   layer = "cmd"
)

var layerOf = map[string]layer{
	"policy": decisions, "internal/config": config, "internal/wire": wire, "internal/discovery": discovery,
	"internal/membership": membership, "internal/control": control,
	"internal/proxy": proxy, "node": node, "internal/emulator": tools, "internal/scale": tools, "internal/loadgen": tools,
	"internal/syscallfault": tools,
	"cmd":                   commands, "internal/layout": commands,
}

// mayImport says what a layer imports beside itself and the small libraries. Nothing of the product imports the tools.
var mayImport = map[layer][]layer{
	small:      nil,
	decisions:  nil,
	config:     {decisions},
	wire:       {decisions, config},
	discovery:  {decisions},
	membership: {config},
	control:    {config, wire, discovery, membership, decisions},
	proxy:      {decisions, config, wire, discovery},
	node:       {proxy, membership, control, config, wire, decisions},
	tools:      {decisions, config, wire, discovery, membership, control, proxy, node},
	commands:   {decisions, config, wire, discovery, membership, control, proxy, node, tools},
}

// exceptions are imports against the direction that stand until the packages are split; each names its reason.
var exceptions = map[string]string{}

type listedPackage struct {
	ImportPath string
	Imports    []string
}

func TestImportsPointOneWay(t *testing.T) {
	for _, p := range listPackages(t) {
		from := strings.TrimPrefix(p.ImportPath, module)
		for _, path := range p.Imports {
			to, ours := strings.CutPrefix(path, module)
			if !ours || allowed(from, to) {
				continue
			}
			if _, excepted := exceptions[from+" -> "+to]; !excepted {
				t.Errorf("%s (%s) imports %s (%s)", from, layerFor(from), to, layerFor(to))
			}
		}
	}
}

// The emulator is used by the scale experiments, not the other way round.
func TestTheEmulatorDoesNotImportScale(t *testing.T) {
	for _, p := range listPackages(t) {
		if !strings.HasPrefix(p.ImportPath, module+"internal/emulator") {
			continue
		}
		for _, path := range p.Imports {
			if strings.HasPrefix(path, module+"internal/scale") {
				t.Errorf("%s imports %s", p.ImportPath, path)
			}
		}
	}
}

func allowed(from, to string) bool {
	source, target := layerFor(from), layerFor(to)
	if source == target || target == small {
		return true
	}
	for _, l := range mayImport[source] {
		if l == target {
			return true
		}
	}
	return false
}

func layerFor(path string) layer {
	for {
		if l, ok := layerOf[path]; ok {
			return l
		}
		i := strings.LastIndexByte(path, '/')
		if i < 0 {
			return small
		}
		path = path[:i]
	}
}

func listPackages(t *testing.T) []listedPackage {
	t.Helper()
	list := exec.Command("go", "list", "-json=ImportPath,Imports", module+"...")
	list.Dir = "../.."
	out, err := list.Output()
	if err != nil {
		t.Fatal(err)
	}
	var all []listedPackage
	for decoder := json.NewDecoder(bytes.NewReader(out)); ; {
		var p listedPackage
		err := decoder.Decode(&p)
		if errors.Is(err, io.EOF) {
			return all
		}
		if err != nil {
			t.Fatal(err)
		}
		all = append(all, p)
	}
}
