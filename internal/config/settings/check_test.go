package settings

import (
	"errors"
	"strings"
	"testing"

	"github.com/valyala/fastjson"
)

const validSettings = `{"service_grades":[{"late_benefit":0.5}],"tenants":[{"quota_rps":null}],"zone":"a",
	"failure_domains":["a","b"],"rules":{"overload_factor":3},"tariffs":{"cross_zone":0.2},"bounds":{"cancel":true}}`

func TestValidSettingsAreDecoded(t *testing.T) {
	s, err := Decode(fastjson.MustParse(validSettings))
	if err != nil || s.Policy.Classes[0].LateValue != 0.5 || s.Policy.OverloadFactor != 3 {
		t.Fatal(s.Policy, err)
	}
}

// Guards against treating an endpoint as the origin, whose values are authoritative, when its kind is undefined or when
// the origin's kind is null and the endpoint has the first kind.
func TestUnknownKindIsNotTheOrigin(t *testing.T) {
	for _, family := range []string{`{}`, `{"origin_kind":null}`} {
		text := `{"service_grades":[{}],"kinds":["box"],"family_info":` + family + `}`
		s, err := Decode(fastjson.MustParse(text))
		for _, kind := range []string{"box", "other"} {
			if err != nil || s.Names.Kind([]byte(kind)) == s.Policy.OriginKind {
				t.Errorf("with %s, an endpoint of the kind %q is the origin (%v)", family, kind, err)
			}
		}
	}
}

// Guards against replacing a setting of the wrong type by its default without an error.
func TestInvalidSettingIsReportedInOneLine(t *testing.T) {
	for _, test := range []struct {
		want      string // within the error
		old, with string // replacement in the valid settings
		key       string
	}{
		{"service_grades[0].late_benefit", "0.5", `"half"`, "service_grades[0].late_benefit"},
		{"tenants[0].quota_rps", "null", "-1", "tenants[0].quota_rps"},
		{"rules.overload_factor", "3}", "-3}", "rules.overload_factor"},
		{"tariffs.cross_zone", "0.2", "1e999", "tariffs.cross_zone"},
		{"tariffs.cross_zone is not a finite number", "0.2", "nan", "tariffs.cross_zone"},
		{"bounds.cancel", "true", "1", "bounds.cancel"},
		{`zone is "c"`, `"zone":"a"`, `"zone":"c"`, "zone"},
		{"zone is not a string", `"zone":"a"`, `"zone":1`, "zone"},
		{"rules is not an object", `{"overload_factor":3}`, "[]", "rules"},
		{"failure_domains is not an array", `["a","b"]`, `"a"`, "failure_domains"},
		{"n_instances is not a whole", `"zone":"a"`, `"n_instances":1.5`, "n_instances"},
	} {
		t.Run(test.want, func(t *testing.T) {
			_, err := Decode(fastjson.MustParse(strings.Replace(validSettings, test.old, test.with, 1)))
			if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
				t.Fatal(err)
			}
			var invalid *KeyError
			if !errors.As(err, &invalid) || invalid.Key != test.key {
				t.Errorf("%v names the key %v, not %s", err, invalid, test.key)
			}
		})
	}
}

func TestSettingsWithoutClassesAreRejected(t *testing.T) {
	if _, err := Decode(fastjson.MustParse(`{}`)); !errors.Is(err, ErrNoClasses) {
		t.Fatal(err)
	}
}
