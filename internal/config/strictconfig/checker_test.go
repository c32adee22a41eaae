package strictconfig

import (
	"errors"
	"testing"
)

type testFile struct {
	Listen string      `toml:"listen"`
	Group  []testGroup `toml:"group"`
}

type testGroup struct {
	Name  string   `toml:"name"`
	Share float64  `toml:"share"`
	Item  []testID `toml:"item"`
}

type testID struct {
	ID int `toml:"id"`
}

func TestTextThatCannotBeDecodedIsReportedWithItsLine(t *testing.T) {
	for _, test := range []struct{ name, text, want string }{
		{"unknown field", "listen = \"a\"\nlisten_on = \"b\"\n", "f.toml:2: no such field: listen_on"},
		{"unknown field of a table", "[[group]]\nnmae = \"a\"\n", "f.toml:2: no such field: group.nmae"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var file testFile
			_, err := Parse("f.toml", []byte(test.text), &file)
			var invalid FieldErrors
			if !errors.As(err, &invalid) || err.Error() != test.want {
				t.Errorf("%v, want %s", err, test.want)
			}
		})
	}
	for _, text := range []string{"listen = \"a\"\nlisten = 3\n", "listen = \n", "[[group]]\nname = 3\n"} {
		var file testFile
		_, err := Parse("f.toml", []byte(text), &file)
		var invalid FieldErrors
		if !errors.As(err, &invalid) || invalid[0].Line == 0 {
			t.Errorf("%q: %v has no line", text, err)
		}
	}
}

func TestRequirementIsReportedWithTheLineOfItsField(t *testing.T) {
	text := "listen = \"a\"\n[[group]]\nname = \"x\"\n[[group]]\nname = \"y\"\n[[group.item]]\nid = 1\n[[group.item]]\n"
	for _, test := range []struct {
		path string
		line int
	}{
		{"listen", 1}, {"group.0", 2}, {"group.0.name", 3}, {"group.1.name", 5}, {"group.1.item.0.id", 7},
		{"group.1.item.1.id", 8}, // left out: the line of its table
		{"group.0.share", 2},
		{"port", 0},
	} {
		t.Run(test.path, func(t *testing.T) {
			var file testFile
			c, err := Parse("f.toml", []byte(text), &file)
			if err != nil {
				t.Fatal(err)
			}
			c.Require(false, test.path, "is %d", 7)
			want := FieldError{File: "f.toml", Line: test.line, Reason: test.path + ": is 7"}
			var got FieldErrors
			if !errors.As(c.Err(), &got) || len(got) != 1 || got[0] != want {
				t.Errorf("%+v, want %+v", got, want)
			}
		})
	}
}

func TestErrorsComeInTheOrderOfTheLines(t *testing.T) {
	var file testFile
	c, err := Parse("f.toml", []byte("listen = \"a\"\n[[group]]\nname = \"x\"\nshare = 2.0\n"), &file)
	if err != nil {
		t.Fatal(err)
	}
	if c.Err() != nil {
		t.Errorf("error for a valid file: %v", c.Err())
	}
	c.InRange(file.Group[0].Share, 0, 1, "group.0.share")
	c.Require(file.Listen == "a", "listen", "must not be reported, as the requirement holds")
	c.Require(false, "group.0.name", "is taken")
	if want := "f.toml:3: group.0.name: is taken"; c.Err().Error() != want {
		t.Errorf("%v, want %s", c.Err(), want)
	}
}
