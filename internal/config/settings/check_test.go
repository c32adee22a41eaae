package settings

import (
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

// A setting that is read must not be taken for its default because it is of a wrong kind, unsaid.
func TestASettingThatCantBeIsNamedInOneLine(t *testing.T) {
	const good = `{"service_grades":[{"late_benefit":0.5}],"tenants":[{"quota_rps":null}],"zone":"a","failure_domains":["a","b"],
		"rules":{"overload_factor":3},"tariffs":{"cross_zone":0.2},"bounds":{"cancel":true}}`
	if terms, err := Decode(fastjson.MustParse(good)); err != nil || terms.Policy.Classes[0].LateShare != 0.5 || terms.Policy.OverloadFactor != 3 {
		t.Fatal(terms.Policy, err)
	}
	// a kind that the settings do not name was the origin's, and so was the first of all where the origin's was null
	for _, family := range []string{`{}`, `{"origin_kind":null}`} {
		terms, err := Decode(fastjson.MustParse(`{"service_grades":[{}],"kinds":["box"],"family_info":` + family + `}`))
		for _, kind := range []string{"box", "other"} {
			if err != nil || terms.Names.Kind([]byte(kind)) == terms.Policy.OriginKind {
				t.Errorf("with %s, a cache of the kind %q is the origin (%v)", family, kind, err)
			}
		}
	}
	for key, turn := range map[string][2]string{
		"service_grades[0].late_benefit": {"0.5", `"half"`}, "tenants[0].quota_rps": {"null", "-1"}, "rules.overload_factor": {"3}", "-3}"},
		"tariffs.cross_zone": {"0.2", "1e999"}, "bounds.cancel": {"true", "1"}, "zone is \"c\"": {`"zone":"a"`, `"zone":"c"`},
		"zone is not a text": {`"zone":"a"`, `"zone":1`}, "rules is not an object": {`{"overload_factor":3}`, "[]"},
		"failure_domains is not a list": {`["a","b"]`, `"a"`}, "n_instances is not a whole": {`"zone":"a"`, `"n_instances":1.5`},
	} {
		_, err := Decode(fastjson.MustParse(strings.Replace(good, turn[0], turn[1], 1)))
		if err == nil || !strings.Contains(err.Error(), key) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v", key, err)
		}
	}
}
