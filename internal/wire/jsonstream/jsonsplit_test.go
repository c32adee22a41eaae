package jsonstream

import (
	"testing"

	"github.com/valyala/fastjson"
)

// What is split reads as the whole does: each element, and the rest.
func FuzzReadsAsTheWhole(f *testing.F) {
	for _, s := range []string{`{"generation":4,"reset":true,"instances":[{"a":"]\"},{"},{"c":[3,{"b":[]}]},{}]}`,
		"{\n \"instances\" : [ ] ,\"generation\":1 }", `{"instances":[1],"instances":[2]}`, `{"instances":{}}`, `{"inst\u0061nces":[1],"instances":[2]}`,
		`{"x":[1,{"instances":[9]}],"instances":[{"x":null} , {"y":true}]} `, `{"instances":[1,]}`, `{"instances":[1]`, `{"instances":[1]}x`, `[1]`, `{}`, ``,
		`{"instances":[{"a":1}{"b":2}]}`, `{"instances":[1 2]}`, `{"instances":[}]}`, "{\"instances\":[]\x00}"} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rest, elements, ok := Array([]byte(text), "instances")
		if !ok {
			return
		}
		whole, bad := fastjson.Parse(text)
		_, err := fastjson.ParseBytes(rest)
		var parsed []string
		for _, e := range elements {
			v, wrong := fastjson.ParseBytes(e)
			if wrong != nil {
				err = wrong
				break
			}
			parsed = append(parsed, v.String())
		}
		if (err == nil) != (bad == nil) {
			t.Fatalf("%q: in parts %v, as a whole %v", text, err, bad)
		}
		if err != nil {
			return
		}
		want := whole.GetArray("instances")
		if len(want) != len(parsed) {
			t.Fatalf("%q: %d elements, want %d", text, len(parsed), len(want))
		}
		for i, v := range want {
			if v.String() != parsed[i] {
				t.Fatalf("%q: element %d is %s, want %s", text, i, parsed[i], v)
			}
		}
	})
}

func TestArray(t *testing.T) {
	rest, elements, ok := Array([]byte(`{"generation":4, "instances": [ {"a":"],"}, {} ] }`), "instances")
	if !ok || string(rest) != `{"generation":4, "instances": [] }` || len(elements) != 2 || string(elements[0]) != `{"a":"],"}` {
		t.Errorf("%v %q %q", ok, rest, elements)
	}
	for _, whole := range []string{`{"instances":[1],"instances":[2]}`, `{"inst\u0061nces":[1]}`, `{"instances":7}`, `{"instances":[{},2]}`, `{"other":[1]}`, `{"instances":[1]} x`, `[]`} {
		if _, _, ok := Array([]byte(whole), "instances"); ok {
			t.Errorf("%q is split, and is to be parsed as a whole", whole)
		}
	}
}

func TestMember(t *testing.T) {
	rest, value, ok := Member([]byte(`{"a":{"known":1}, "known" : {"x":"}"} ,"b":2}`), "known")
	if !ok || string(rest) != `{"a":{"known":1}, "known" : null ,"b":2}` || string(value) != `{"x":"}"}` {
		t.Errorf("%v %q %q", ok, rest, value)
	}
	if _, _, ok := Member([]byte(`{"a":1}`), "known"); ok {
		t.Error("found where it is not")
	}
}
