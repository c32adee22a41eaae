package meta

import (
	"reflect"
	"testing"
)

func FuzzResponsesSplitAnywhereReadAlike(f *testing.F) {
	for _, text := range []string{
		"VA 5 Oab h1\r\nhello\r\n",
		"HD Oab c77\r\n",
		"EN Oab h0 Z\r\n",
		"SERVER_ERROR busy\r\n",
		"SERVER_ERROR failed\r\n",
		"EN Oab Lutilization=0.4,x1=1\r\n",
		"MN\r\n",
		"STAT a 1\r\nEND\r\n",
		"VA 3 Oab\r\nhello\r\n",
		"VA 99999 O1\r\n",
		"what\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		want, wantSize, wantErr := ReadResponse(b)
		for at := range b {
			got, size, err := ReadResponse(b[:at])
			if size != 0 && (size != wantSize || !reflect.DeepEqual(got, want)) || err != nil && wantErr == nil {
				t.Fatalf("%d of %q: %v %d %v, whole: %v %d %v", at, b, got, size, err, want, wantSize, wantErr)
			}
		}
	})
}

// Guards against reading load reports from some kinds of responses only, which left two of three deployments with
// estimated instead of reported load.
func TestEveryResponseMayHaveALoadReport(t *testing.T) {
	for _, text := range []string{
		"VA 2 Oab h1 Lx=0.4,y=2\r\nab\r\n",
		"HD Oab c77 Lx=0.4,y=2\r\n",
		"EN Oab Lx=0.4,y=2\r\n",
		"SERVER_ERROR failed Lx=0.4,y=2\r\n",
		"SERVER_ERROR busy Lx=0.4,y=2\r\n",
	} {
		t.Run(text[:2], func(t *testing.T) {
			a, _, err := ReadResponse([]byte(text))
			if y, ok := Item(a.LoadReport, "y"); err != nil || !ok || string(y) != "2" {
				t.Errorf("%q: %q %v", text, a.LoadReport, err)
			}
		})
	}
}
