package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// numbers names each number that is read, by its path; none may be negative.
var numbers = []string{
	"round_s", "n_instances", "excess_benefit", "tariffs.cross_zone", "tariffs.waste", "rules.ask_within_s", "rules.cold_from",
	"rules.cold_s", "rules.overload_factor", "bounds.connect_timeout_s", "bounds.most_legs", "bounds.conn_idle_s",
	"bounds.max_retry_after_s",
}

var (
	wholes       = []string{"n_instances", "bounds.most_legs"}
	objects      = []string{"tariffs", "rules", "bounds", "family_info", "telemetry"}
	arrays       = []string{"service_grades", "tenants", "failure_domains", "kinds", "telemetry.columns"}
	gradeNumbers = []string{"benefit", "soft_limit_s", "late_benefit", "key_ttl_s", "hard_stop_s"}
	switches     = []string{"bounds.second_copies", "bounds.cancel", "bounds.probes", "bounds.retry_after"}
	words        = []string{"zone", "discovery", "family_info.mode"}
)

// check tells in one line which key of the settings can't be what it says. What is left out has its default.
func check(env *fastjson.Value) error {
	at := func(path string) *fastjson.Value { return env.Get(strings.Split(path, ".")...) }
	for _, path := range objects { // first of all: in what is none, nothing would be found, and all left at its default
		if v := at(path); stated(v) && v.Type() != fastjson.TypeObject {
			return fmt.Errorf("%s is not an object", path)
		}
	}
	for _, path := range arrays {
		if v := at(path); stated(v) && v.Type() != fastjson.TypeArray {
			return fmt.Errorf("%s is not a list", path)
		}
	}
	for _, path := range numbers {
		if err := checkNumber(path, at(path)); err != nil {
			return err
		}
	}
	for _, path := range wholes {
		if x := Number(at(path)); x != math.Trunc(x) || x > math.MaxInt32 {
			return fmt.Errorf("%s is not a whole number", path)
		}
	}
	for i, g := range env.GetArray("service_grades") {
		for _, key := range gradeNumbers {
			if err := checkNumber(fmt.Sprintf("service_grades[%d].%s", i, key), g.Get(key)); err != nil {
				return err
			}
		}
	}
	for i, v := range env.GetArray("tenants") {
		if err := checkNumber(fmt.Sprintf("tenants[%d].quota_rps", i), v.Get("quota_rps")); err != nil {
			return err
		}
	}
	for _, path := range switches {
		if v := at(path); stated(v) && v.Type() != fastjson.TypeTrue && v.Type() != fastjson.TypeFalse {
			return fmt.Errorf("%s is neither true nor false", path)
		}
	}
	for _, path := range words {
		if v := at(path); stated(v) && v.Type() != fastjson.TypeString {
			return fmt.Errorf("%s is not a text", path)
		}
	}
	zone, places := string(env.GetStringBytes("zone")), env.GetArray("failure_domains")
	if zone != "" && len(places) > 0 && !slices.ContainsFunc(places, func(v *fastjson.Value) bool {
		return string(v.GetStringBytes()) == zone
	}) {
		return fmt.Errorf("zone is %q, which failure_domains does not name", zone)
	}
	return nil
}

func stated(v *fastjson.Value) bool { return v != nil && v.Type() != fastjson.TypeNull }

func checkNumber(path string, v *fastjson.Value) error {
	if !stated(v) {
		return nil
	}
	x, err := v.Float64()
	switch {
	case err != nil || math.IsInf(x, 0) || math.IsNaN(x):
		return fmt.Errorf("%s is not a finite number", path)
	case x < 0:
		return fmt.Errorf("%s is negative", path)
	}
	return nil
}
