package freshness

import "testing"

// Any line is read to its end without a crash, the same each time, and gives no time that is out of bounds.
func FuzzDirectives(f *testing.F) {
	f.Add([]byte(`max-age=3, x="a\",b", no-cache="c`))
	f.Add([]byte(`,,=,"`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var d, twice Directives
		d.Parse(line)
		twice.Parse(line)
		if d != twice {
			t.Fatal("read differently")
		}
		if d.MaxAge.Present && !d.MaxAge.Invalid && (d.MaxAge.Duration < 0 || d.MaxAge.Duration > MaxDeltaSeconds) {
			t.Fatal(d.MaxAge)
		}
	})
}
