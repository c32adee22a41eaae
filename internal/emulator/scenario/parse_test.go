package scenario

import (
	"encoding/json"
	"strings"
	"testing"
)

const good = `seconds = 10
[fleet]
caches = 4
[[grade]]
name = "read"
share = 1
soft_ms = 50
hard_ms = 100
work_ms = 2
[[event]]
at_s = 2
do = "slow"
caches = ["c2"]
factor = 4
for_s = 3
`

// An invalid scenario must be rejected with the line and the reason, and not be run in part.
func TestParseErrorsNameTheLine(t *testing.T) {
	if _, err := Parse("x.toml", []byte(good)); err != nil {
		t.Fatal(err)
	}
	for change, want := range map[[2]string]string{
		{"caches = 4", "cachez = 4"}:                                 "x.toml:3: no such field: fleet.cachez",
		{"caches = 4", "caches = -4"}:                                "x.toml:3: fleet.caches: -4 is not from 1",
		{"caches = 4", "caches = \"many\""}:                          "x.toml:3: ",
		{"caches = 4", "caches = 4\nspeed = [2, 1]"}:                 "x.toml:4: fleet.speed",
		{`["c2"]`, `["c9"]`}:                                         `x.toml:13: event.0.caches: there is no server "c9"`,
		{`["c2"]`, `["elsewhere"]`}:                                  "x.toml:13: ",
		{`caches = ["c2"]`, ""}:                                      "x.toml:10: event.0.caches: slow needs either names",
		{`do = "slow"`, `do = "melt"`}:                               `x.toml:12: event.0.do: "melt" is not a known action`,
		{"factor = 4", "factor = -4"}:                                "x.toml:14: event.0.factor",
		{"factor = 4", "share = 0.5"}:                                "x.toml:10: event.0.factor",
		{"at_s = 2", "at_s = 99"}:                                    "x.toml:11: event.0.at_s: 99 is not from 0 to 10",
		{"for_s = 3", "for_s = nan"}:                                 "x.toml:15: event.0.for_s",
		{"hard_ms = 100", "hard_ms = 10"}:                            "x.toml:8: grade.0.hard_ms",
		{"share = 1", "share = 0"}:                                   "x.toml:4: grade.0: all shares are 0",
		{"share = 1", "share = 1\neffect = \"labelled\""}:            "x.toml:7: grade.0.effect: a read is idempotent",
		{"for_s = 3", "for_s = 3\n[expect]\nsatisfied={a=1}"}:        `x.toml:17: expect.satisfied: there is no grade "a"`,
		{`caches = ["c2"]`, `zone = "x"`}:                            `x.toml:13: event.0.zone: there is no zone "x"`,
		{`caches = ["c2"]`, "caches = [\"c2\"]\npart = 0.5"}:         "x.toml:13: event.0.caches: slow needs either names",
		{"for_s = 3", "for_s = 3\n[expect]\nmost_per_s={tea=1}"}:     `x.toml:17: expect.most_per_s: "tea" is none of`,
		{"for_s = 3", "for_s = 3\n[expect]\nmost_per_s={dials=nan}"}: "x.toml:17: expect.most_per_s: NaN is not from 0",
		{"for_s = 3", "for_s = 3\n[expect]\nmost_per_s={dials=inf}"}: "x.toml:17: expect.most_per_s: +Inf is not from 0",
		{"for_s = 3", "for_s = 3\n[expect]\nmost_per_s={dials=-1}"}:  "x.toml:17: expect.most_per_s: -1 is not from 0",
		{"seconds = 10", "seconds = "}:                               "x.toml:1: ",

		{"caches = 4", "caches = 4\nfall_s = 0"}: "x.toml:4: fleet.fall_s: must be over 0 if fall_multiple",
		{`do = "slow"`, `do = "discovery_slow"`}: "x.toml:12: event.0.do: discovery has no capacity limit",
		{`do = "slow"`, `do = "node_kill"`}:      "x.toml:10: event.0.nodes: node_kill needs either numbers",
	} {
		text := strings.Replace(good, change[0], change[1], 1)
		_, err := Parse("x.toml", []byte(text))
		if err == nil || !strings.HasPrefix(err.Error(), want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%q: got %v, want %s", change[1], err, want)
		}
	}
}

// A truncated or corrupted scenario must be valid or rejected with a one-line error. It must never cause a panic.
func FuzzScripts(f *testing.F) {
	f.Add([]byte(good))
	for i := range good {
		f.Add([]byte(good[:i]))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse("x.toml", text)
		if err != nil {
			if strings.Contains(err.Error(), "\n") {
				t.Errorf("the error has several lines: %q", err)
			}
			return
		}
		if !json.Valid(s.Settings("a")) || len(s.World(nil).Caches) != s.Fleet.Caches {
			t.Error("a valid scenario has invalid settings or a wrong number of caches")
		}
	})
}
