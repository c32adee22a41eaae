package freshness

import "testing"

// Parsing any line must not panic, must be idempotent, and must yield no max-age out of range.
func FuzzDirectives(f *testing.F) {
	f.Add([]byte(`max-age=3, x="a\",b", no-cache="c`))
	f.Add([]byte(`,,=,"`))
	f.Fuzz(func(t *testing.T, line []byte) {
		var d, twice Directives
		d.Parse(line)
		twice.Parse(line)
		if d != twice {
			t.Fatal("parsing the line twice gave different directives")
		}
		if d.MaxAge.Present && !d.MaxAge.Invalid && (d.MaxAge.Duration < 0 || d.MaxAge.Duration > MaxDelta) {
			t.Fatal(d.MaxAge)
		}
	})
}
