// Package fronts reads what an operator states of further listeners: the protocol spoken there, and for HTTP which
// requests are of which service grade; which caches speak HTTP; and reduced
// service levels.
package listeners

import (
	"fmt"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"strings"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
	"dahliapin/internal/proxy/degradation"
)

// The protocols that a front may speak.
const (
	Meta = "meta"
	HTTP = "http"
)

const (
	most       = 16  // fronts: a protocol or two, on a few addresses
	mostRoutes = 256 // of one front; each request looks at all of them
	mostMs     = 6e5 // that a request may be waited for: no deployment's deadline is near it
)

// File is an operator's file.
type File struct {
	Listeners []Listener          `toml:"listener"`
	Servers   Servers             `toml:"servers"`
	Levels    []degradation.Level `toml:"level"`
}

// Servers is what is stated of caches that speak HTTP.
type Servers struct {
	HTTPKinds       []string `toml:"http_kinds"`       // the kinds of cache that do
	Host            string   `toml:"host"`             // under which they are asked; empty for their addresses
	HealthCheckPath string   `toml:"probe_path"`       // answers 200 where one is up
	ClockOffS       float64  `toml:"clock_off_s"`      // how far their clocks may be off
	Heuristic       float64  `toml:"heuristic"`        // share of the time since Last-Modified for which what states nothing is fresh
	MaxHeuristicS   float64  `toml:"most_heuristic_s"` // bound of that
}

// ClockOff is how far their clocks may be off.
func (s *Servers) ClockOff() time.Duration { return time.Duration(s.ClockOffS * float64(time.Second)) }

// MaxHeuristic bounds what is guessed.
func (s *Servers) MaxHeuristic() time.Duration {
	return time.Duration(s.MaxHeuristicS * float64(time.Second))
}

// Listener is one further listener.
type Listener struct {
	Listen   string `toml:"listen"`
	Protocol string `toml:"protocol"`
	// The names of headers by which a client may state its grade, its tenant and for how many milliseconds it waits; an
	// empty one states nothing.
	ClassHeader    string  `toml:"grade_header"`
	TenantHeader   string  `toml:"tenant_header"`
	IDHeader       string  `toml:"id_header"` // and the name of its request, of no two that are in hand
	DeadlineHeader string  `toml:"deadline_header"`
	ReadyPath      string  `toml:"ready_path"`    // answers whether requests are served; empty for none
	CountersPath   string  `toml:"counters_path"` // answers the counters; empty for none
	SortQuery      bool    `toml:"sort_query"`    // the order of a query's parts makes no other key
	Routes         []Route `toml:"route"`
}

// Route says what requests under a path are.
type Route struct {
	Path       string   `toml:"path"` // whole segments, from the first on; what follows is the key
	Methods    []string `toml:"methods"`
	Class      string   `toml:"grade"`
	Tenant     string   `toml:"tenant"`
	DeadlineMs float64  `toml:"deadline_ms"` // unless the client states one; 0 for the grade's deadline
}

// IsWrite tells whether a method puts a value; the others that may stand in a route read.
func IsWrite(method string) bool { return method == "PUT" || method == "POST" }

// Read reads an operator's file. Grades and tenants are those that the deployment states.
func Read(path string, terms *settings.Settings) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("the file cannot be read: %w", err)
	}
	return Parse(path, text, terms)
}

// Parse reads the text of such a file.
func Parse(path string, text []byte, terms *settings.Settings) (File, error) {
	file := File{Servers: Servers{HealthCheckPath: "/", MaxHeuristicS: 3600}}
	c, err := strictconfig.Parse(path, text, &file)
	if err != nil {
		return file, err
	}
	all := file.Listeners
	c.Require(len(all) <= most, "listener", "more than %d", most)
	for i := range all {
		f, at := &all[i], "listener."+strconv.Itoa(i)+"."
		_, err := netip.ParseAddrPort(f.Listen)
		c.Require(err == nil, at+"listen", "%q is not an address and a port", f.Listen)
		c.Require(!slices.ContainsFunc(all[:i], func(o Listener) bool { return o.Listen == f.Listen }) || strings.HasSuffix(f.Listen, ":0"),
			at+"listen", "%s stands twice", f.Listen)
		c.Require(f.Protocol == Meta || f.Protocol == HTTP, at+"protocol", "%q is neither %s nor %s", f.Protocol, Meta, HTTP)
		for field, name := range map[string]string{"grade_header": f.ClassHeader, "tenant_header": f.TenantHeader, "id_header": f.IDHeader,
			"deadline_header": f.DeadlineHeader} {
			c.Require(strings.Trim(name, "-abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789") == "", at+field, "%q can't be a header's name", name)
		}
		for field, page := range map[string]string{"ready_path": f.ReadyPath, "counters_path": f.CountersPath} {
			c.Require(page == "" || page[0] == '/', at+field, "%q does not begin with a slash", page)
		}
		c.Require(f.Protocol != Meta || len(f.Routes) == 0 && !f.SortQuery && f.ReadyPath+f.CountersPath+f.ClassHeader+f.TenantHeader+f.IDHeader+f.DeadlineHeader == "",
			at+"protocol", "meta commands need no routes, pages and headers")
		c.Require(f.Protocol != HTTP || len(f.Routes) > 0, at+"protocol", "names no route, so nothing could be asked")
		c.Require(len(f.Routes) <= mostRoutes, at+"route", "more than %d", mostRoutes)
		for n := range f.Routes {
			f.check(c, n, at+"route."+strconv.Itoa(n)+".", terms)
		}
	}
	file.Servers.check(c, terms)
	degradation.Check(c, file.Levels, terms)
	return file, c.Err()
}

func (s *Servers) check(c *strictconfig.Checker, terms *settings.Settings) {
	for _, kind := range s.HTTPKinds {
		n := terms.Names.Kind([]byte(kind))
		c.Require(n >= 0, "servers.http_kinds", "the deployment states no kind %q", kind)
		c.Require(n < 0 || n != terms.Policy.OriginKind, "servers.http_kinds", "%q is the origin, which is spoken to as ever", kind)
	}
	c.Require(strings.HasPrefix(s.HealthCheckPath, "/") && !strings.ContainsAny(s.HealthCheckPath, " \r\n"), "servers.probe_path", "%q is no path", s.HealthCheckPath)
	c.Require(!strings.ContainsAny(s.Host, " /\r\n\t"), "servers.host", "%q is no host", s.Host)
	c.InRange(s.ClockOffS, 0, 86400, "servers.clock_off_s")
	c.InRange(s.Heuristic, 0, 1, "servers.heuristic")
	c.InRange(s.MaxHeuristicS, 0, 86400, "servers.most_heuristic_s")
}

func (f *Listener) check(c *strictconfig.Checker, n int, at string, terms *settings.Settings) {
	r := &f.Routes[n]
	c.Require(strings.HasPrefix(r.Path, "/") && strings.HasSuffix(r.Path, "/") && !strings.ContainsAny(r.Path, "?#% "), at+"path",
		"%q does not begin and end with a slash, or has what no plain path has", r.Path)
	c.Require(len(r.Methods) > 0, at+"methods", "names no method")
	for _, m := range r.Methods {
		c.Require(m == "GET" || m == "HEAD" || IsWrite(m), at+"methods", "%q is none of GET, HEAD, PUT, POST", m)
		for _, o := range f.Routes[:n] {
			c.Require(o.Path != r.Path || !slices.Contains(o.Methods, m), at+"methods", "%s %s stands twice", m, r.Path)
		}
	}
	c.Require(terms.Names.Class([]byte(r.Class)) >= 0, at+"grade", "the deployment states no grade %q", r.Class)
	c.Require(r.Tenant == "" || terms.Names.Tenant([]byte(r.Tenant)) >= 0, at+"tenant", "the deployment states no tenant %q", r.Tenant)
	c.InRange(r.DeadlineMs, 0, mostMs, at+"deadline_ms")
}

// Route finds the route with the longest path that a request is under. Without one, known tells whether another method has one.
func (f *Listener) Route(method, path string) (found *Route, known bool) {
	for i := range f.Routes {
		r := &f.Routes[i]
		if !strings.HasPrefix(path, r.Path) {
			continue
		}
		known = true
		if slices.Contains(r.Methods, method) && (found == nil || len(r.Path) > len(found.Path)) {
			found = r
		}
	}
	return found, known
}

// Allowed lists the methods that have a route for a path.
func (f *Listener) Allowed(path string) (methods []string) {
	for _, r := range f.Routes {
		for _, m := range r.Methods {
			if strings.HasPrefix(path, r.Path) && !slices.Contains(methods, m) {
				methods = append(methods, m)
			}
		}
	}
	return methods
}
