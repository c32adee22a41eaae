package listeners

import (
	"fmt"
	"io"
	"os"
	"strings"
	"testing"

	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/golden"
)

// allFields is a listeners file with every field.
const allFields = `[[listener]]
listen = "127.0.0.1:8081"
protocol = "http"
grade_header = "X-Class"
tenant_header = "X-Tenant"
id_header = "X-Id"
deadline_header = "X-Wait"
ready_path = "/up"
counters_path = "/counted"
sort_query = true
[[listener.route]]
path = "/a/"
methods = ["GET", "PUT"]
grade = "read"
tenant = "adda"
deadline_ms = 250.5
[[listener]]
listen = "127.0.0.1:11212"
protocol = "meta"
[servers]
http_kinds = ["box"]
host = "cache.example"
probe_path = "/alive"
clock_off_s = 0.5
heuristic = 0.1
most_heuristic_s = 120
[[level]]
name = "mild"
enter = {late = 0.2, lost = 0.3, turned_away = 0.4, origin_late = 0.5, rejected = 0.6}
leave = {late = 0.1, lost = 0.15, turned_away = 0.2, origin_late = 0.25, rejected = 0.3}
stay_s = 4.5
shed = ["read"]
`

// The listeners file in deploy and one with every field are decoded as recorded in the golden file.
func TestDecodedFilesMatchGoldenFile(t *testing.T) {
	deployed, err := os.ReadFile("../../../deploy/listeners.toml")
	if err != nil {
		t.Fatal(err)
	}
	deployment, err := settings.Decode(fastjson.MustParse(
		`{"service_grades":[{"name":"read","effect":"idempotent"},{"name":"submit"}],` +
			`"tenants":[{"name":"adda"}],"kinds":["box"]}`))
	if err != nil {
		t.Fatal(err)
	}
	var got strings.Builder
	for _, text := range []string{string(deployed), allFields} {
		file, err := Parse("operator.toml", []byte(text), &deployment)
		printFile(&got, &file)
		fmt.Fprintln(&got, "error", err)
	}
	golden.Check(t, "files.txt", []byte(got.String()))
}

func printFile(out io.Writer, file *File) {
	for _, l := range file.Listeners {
		fmt.Fprintf(out, "listener %q %q %q %q %q %q %q %q %v\n", l.Listen, l.Protocol, l.ClassHeader, l.TenantHeader,
			l.IDHeader, l.DeadlineHeader, l.ReadyPath, l.CountersPath, l.SortQuery)
		for _, r := range l.Routes {
			fmt.Fprintf(out, "route %q %q %q %q %v\n", r.Path, r.Methods, r.Class, r.Tenant, r.DeadlineMs)
		}
	}
	s := &file.HTTPCaches
	fmt.Fprintf(out, "servers %q %q %q %v %v %v\n", s.HTTPKinds, s.Host, s.HealthCheckPath, s.ClockOff(), s.Heuristic,
		s.MaxHeuristic())
	for _, l := range file.Levels {
		fmt.Fprintf(out, "level %q %v %v %v %q\n", l.Name, l.Enter, l.Leave, l.MinStayS, l.Shed)
	}
}
