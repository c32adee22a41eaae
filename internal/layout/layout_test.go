// Package layout tests repository-wide rules, such as which package may import which. It has no product code.
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

// layer is a part of the program. A package belongs to the layer of its longest matching path prefix in layerOf.
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
	"internal/proxy": proxy, "node": node, "internal/emulator": tools, "internal/scale": tools,
	"internal/loadgen": tools, "internal/syscallfault": tools,
	"cmd": commands, "internal/layout": commands,
}

// mayImport lists the layers each layer may import besides itself and the small libraries. No product code may import
// the tools.
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

// exceptions lists imports against the direction, with reasons, that are tolerated until the packages are split.
var exceptions = map[string]string{}

type listedPackage struct {
	ImportPath string
	Imports    []string
}

func TestLayersImportOnlyAllowedLayers(t *testing.T) {
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

// The scale experiments use the emulator, so the emulator must not import them.
func TestEmulatorDoesNotImportScale(t *testing.T) {
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
