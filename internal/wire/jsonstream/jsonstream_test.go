package jsonstream

import (
	"testing"

	"github.com/valyala/fastjson"
)

// Parsing the elements and the rest separately must give the same result as parsing the whole text.
func FuzzPartsParseLikeTheWhole(f *testing.F) {
	for _, text := range []string{
		`{"generation":4,"reset":true,"instances":[{"a":"]\"},{"},{"c":[3,{"b":[]}]},{}]}`,
		"{\n \"instances\" : [ ] ,\"generation\":1 }",
		`{"instances":[1],"instances":[2]}`,
		`{"instances":{}}`,
		`{"inst\u0061nces":[1],"instances":[2]}`,
		`{"x":[1,{"instances":[9]}],"instances":[{"x":null} , {"y":true}]} `,
		`{"instances":[1,]}`,
		`{"instances":[1]`,
		`{"instances":[1]}x`,
		`[1]`,
		`{}`,
		``,
		`{"instances":[{"a":1}{"b":2}]}`,
		`{"instances":[1 2]}`,
		`{"instances":[}]}`,
		"{\"instances\":[]\x00}",
	} {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text string) {
		rest, elements, ok := CutArray([]byte(text), "instances")
		if !ok {
			return
		}
		whole, wholeErr := fastjson.Parse(text)
		parts, partsErr := parseParts(rest, elements)
		if (partsErr == nil) != (wholeErr == nil) {
			t.Fatalf("%q: in parts %v, as a whole %v", text, partsErr, wholeErr)
		}
		if partsErr != nil {
			return
		}
		want := whole.GetArray("instances")
		if len(want) != len(parts) {
			t.Fatalf("%q: %d elements, want %d", text, len(parts), len(want))
		}
		for i, v := range want {
			if v.String() != parts[i] {
				t.Fatalf("%q: element %d is %s, want %s", text, i, parts[i], v)
			}
		}
	})
}

// parseParts parses the rest of an object and its elements, and returns the elements as JSON text.
func parseParts(rest []byte, elements [][]byte) (printed []string, err error) {
	if _, err := fastjson.ParseBytes(rest); err != nil {
		return nil, err
	}
	for _, element := range elements {
		v, err := fastjson.ParseBytes(element)
		if err != nil {
			return nil, err
		}
		printed = append(printed, v.String())
	}
	return printed, nil
}

func TestCutArray(t *testing.T) {
	rest, elements, ok := CutArray([]byte(`{"generation":4, "instances": [ {"a":"],"}, {} ] }`), "instances")
	wantRest := `{"generation":4, "instances": [] }`
	if !ok || string(rest) != wantRest || len(elements) != 2 || string(elements[0]) != `{"a":"],"}` {
		t.Errorf("%v %q %q", ok, rest, elements)
	}
}

func TestCutArrayReturnsFalseForUnsupportedForms(t *testing.T) {
	for _, text := range []string{
		`{"instances":[1],"instances":[2]}`,
		`{"inst\u0061nces":[1]}`,
		`{"instances":7}`,
		`{"instances":[{},2]}`,
		`{"other":[1]}`,
		`{"instances":[1]} x`,
		`[]`,
	} {
		if _, _, ok := CutArray([]byte(text), "instances"); ok {
			t.Errorf("%q was cut, but must be parsed as a whole", text)
		}
	}
}

func TestCutMember(t *testing.T) {
	rest, value, ok := CutMember([]byte(`{"a":{"known":1}, "known" : {"x":"}"} ,"b":2}`), "known")
	if !ok || string(rest) != `{"a":{"known":1}, "known" : null ,"b":2}` || string(value) != `{"x":"}"}` {
		t.Errorf("%v %q %q", ok, rest, value)
	}
	if _, _, ok := CutMember([]byte(`{"a":1}`), "known"); ok {
		t.Error("found a member that is absent")
	}
}
