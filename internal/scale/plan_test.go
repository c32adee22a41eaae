package scale

import (
	"fmt"
	"math"
	"strings"
	"testing"
	"time"
)

func TestParseFileReportsInvalidSettings(t *testing.T) {
	for _, c := range []struct{ text, want string }{
		{"", ""},
		{"[places]\nregions = 11\nsites = 28\nzones = 37\n[cut]\nregion = 10\nfor_s = 3\n[budget]\nkb_per_s = 19", ""},
		{"[places]\nregion = 11", "f.toml:2: no such field: places.region"},
		{"[places]\nregions = 11\nsites = 28", "f.toml:1: places.zones: 1 is not from 11 to 2000"},
		{"[starts]\napart_ms = 0", "f.toml:2: starts.apart_ms: 0 is not from 1 to 10000"},
		{"[between]\nloss = 2", "f.toml:2: between.loss: 2 is not from 0 to 0.9"},
		{"[between]\ndelay_ms = 5\ndelay_most_ms = 4", "f.toml:3: between.delay_most_ms: 4 is not from 5 to 2000"},
		{"[cut]\nfor_s = 3", "f.toml:2: cut.for_s: there is one region only"},
		{"[members]\npause_s = 0", "f.toml:2: members.pause_s: 0 is not from 0.2 to 60"},
		{"[budget]\nmemory_mb = -1", "f.toml:2: budget.memory_mb: -1 is not from 0 to 1e+06"},
		{"[budget]\nkb_per_s = nan", "f.toml:2: budget.kb_per_s: NaN is not from 0 to 1e+06"},
	} {
		_, err := ParseFile("f.toml", []byte(c.text))
		if got := fmt.Sprint(err); c.want == "" && err != nil || c.want != "" && got != c.want {
			t.Errorf("%q: got error %v, want %q", c.text, err, c.want)
		}
	}
}

func TestPlanCheckReportsInvalidFlags(t *testing.T) {
	withBudget := func(budget Budget) Plan {
		return Plan{Nodes: 480, Real: 8, Window: time.Minute, File: File{Budget: budget}}
	}
	for _, c := range []struct {
		plan Plan
		want string
	}{
		{withBudget(Budget{CorePercent: maxBudget, MemoryMB: maxBudget, KBPerS: maxBudget}), ""},
		{withBudget(Budget{CorePercent: math.NaN()}), "--core NaN is not from 0 to 1e+06"},
		{withBudget(Budget{MemoryMB: math.Inf(1)}), "--memory +Inf is not from 0 to 1e+06"},
		{withBudget(Budget{KBPerS: -1}), "--kb -1 is not from 0 to 1e+06"},
		{Plan{Nodes: 480, Real: 8, Window: time.Minute}, ""},
		{Plan{Nodes: 2, Window: time.Minute}, "--nodes"},
		{Plan{Nodes: 480, Real: 33, Window: time.Minute}, "--real"},
		{Plan{Nodes: 480, Real: 8, Window: time.Second}, "--for"},
		{Plan{Nodes: 8, Real: 8, Window: time.Minute}, "leave no size"},
		{Plan{Nodes: 480, Real: 8, Window: time.Minute, Sizes: []int{8}}, "--sizes"},
		{Plan{Nodes: 480, Real: 8, Window: time.Minute, Sizes: []int{4000}}, "--sizes"},
		{Plan{Nodes: 2000, Window: time.Minute, NodesPerProcess: 4}, "processes"},
	} {
		err := c.plan.Check()
		if c.want == "" && err != nil || c.want != "" && (err == nil || !strings.Contains(err.Error(), c.want)) {
			t.Errorf("%+v: got error %v, want one that contains %q", c.plan, err, c.want)
		}
		if c.want == "" && fmt.Sprint(c.plan.Sizes) != "[60 120 240 480]" {
			t.Errorf("sizes are %v, want 60, 120, 240 and 480", c.plan.Sizes)
		}
	}
}
