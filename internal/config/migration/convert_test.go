package migration

import (
	"errors"
	"slices"
	"testing"
)

const poolConfig = `{"name":"n1","listen":"10.1.2.3:11211","seed":"a1","extra":7,"known":{},` +
	`"settings":{"service_grades":[{"name":"read"}],"bounds":null,"rules":{"colds":1},"zone":"z","n_instances":2}}`

func TestPoolConfigurationIsConverted(t *testing.T) {
	const want = `{"name":"n1","listen":"127.0.0.1:11211","seed":"a1","extra":7,"settings":{"service_grades":` +
		`[{"name":"read"}],"bounds":{"streams_per_conn":1},"rules":{"colds":1},"zone":"z","n_instances":2,` +
		`"failure_domains":["z"]}}` + "\n"
	got, remarks, err := Convert([]byte(poolConfig))
	if err != nil || string(got) != want {
		t.Fatalf("%v, got %s", err, got)
	}
	wantKeys := []string{
		"extra", "settings.rules.colds", "name", "seed", "listen", "known", "settings.n_instances",
		"settings.failure_domains", "settings.tariffs.cross_zone", "settings.rules.overload_factor",
	}
	if len(remarks) != len(wantKeys) {
		t.Fatalf("%d remarks, want %d: %v", len(remarks), len(wantKeys), remarks)
	}
	for i, key := range wantKeys {
		if remarks[i].Key != key {
			t.Errorf("remark %d is for %s, want %s", i, remarks[i].Key, key)
		}
	}
}

func TestConvertedConfigurationIsReturnedUnchanged(t *testing.T) {
	once, _, err := Convert([]byte(poolConfig))
	if err != nil {
		t.Fatal(err)
	}
	twice, _, err := Convert(once)
	if err != nil || string(twice) != string(once) {
		t.Errorf("%v, got %s", err, twice)
	}
}

func TestTextThatIsNotAConfigurationIsRejected(t *testing.T) {
	for _, test := range []struct {
		name, text string
		want       error
	}{
		{"not JSON", "{", ErrNotObject},
		{"not an object", "[]", ErrNotObject},
		{"no service classes", `{"settings":{}}`, ErrNoSettings},
		{"bounds that are not an object", `{"settings":{"service_grades":[{}],"bounds":5}}`, ErrBounds},
	} {
		t.Run(test.name, func(t *testing.T) {
			if _, _, err := Convert([]byte(test.text)); !errors.Is(err, test.want) {
				t.Errorf("%v, want %v", err, test.want)
			}
		})
	}
}

// A cost or a factor that is no positive finite number gets the remark that it has to be set.
func TestUnusableCostAndFactorGetARemark(t *testing.T) {
	for _, test := range []struct {
		value  string
		remark bool
	}{
		{"0.2", false},
		{"0", true},
		{"-1", true},
		{"NaN", true},
		{"nan", true},
		{"inf", true},
		{"-inf", true},
		{`"0.2"`, true},
		{"null", true},
	} {
		old := `{"settings":{"service_grades":[{}],"tariffs":{"cross_zone":` + test.value +
			`},"rules":{"overload_factor":` + test.value + `}}}`
		_, remarks, err := Convert([]byte(old))
		if err != nil {
			t.Fatalf("%s: %v", test.value, err)
		}
		for _, key := range []string{"settings.tariffs.cross_zone", "settings.rules.overload_factor"} {
			got := slices.ContainsFunc(remarks, func(r Remark) bool { return r.Key == key })
			if got != test.remark {
				t.Errorf("%s is %s: remark %t, want %t", key, test.value, got, test.remark)
			}
		}
	}
}
