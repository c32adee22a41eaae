package listeners

import (
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

const headerNameBytes = "-abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789"

// Listener is an additional listener of a node. Headers, paths and routes apply to HTTP only.
type Listener struct {
	Listen   string `toml:"listen"`   // address and port
	Protocol string `toml:"protocol"` // ProtocolMeta or ProtocolHTTP

	// Names of the headers in which a client may give the properties of a request. An empty name disables the header.
	ClassHeader    string `toml:"grade_header"`    // service class
	TenantHeader   string `toml:"tenant_header"`   // tenant
	IDHeader       string `toml:"id_header"`       // request id, unique among the requests in flight
	DeadlineHeader string `toml:"deadline_header"` // milliseconds for which the client waits

	ReadyPath    string  `toml:"ready_path"`    // readiness page; empty for none
	CountersPath string  `toml:"counters_path"` // page with the counters; empty for none
	SortQuery    bool    `toml:"sort_query"`    // the order of query parameters does not change the key
	Routes       []Route `toml:"route"`
}

// Route configures the requests under a path.
type Route struct {
	Path       string   `toml:"path"`        // begins and ends with a slash; the rest of the URL is the key
	Methods    []string `toml:"methods"`     // of GET, HEAD, PUT and POST
	Class      string   `toml:"grade"`       // service class, unless the client gives one
	Tenant     string   `toml:"tenant"`      // tenant, unless the client gives one; empty for none
	DeadlineMs float64  `toml:"deadline_ms"` // deadline, unless the client gives one; 0 for that of the class
}

// IsWrite reports whether a method of a route writes a value. The other methods read.
func IsWrite(method string) bool { return method == "PUT" || method == "POST" }

// Route returns the route with the longest matching path for a request, or nil. If it returns nil, known reports
// whether the path has a route for another method.
func (l *Listener) Route(method, path string) (found *Route, known bool) {
	for i := range l.Routes {
		r := &l.Routes[i]
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

// AllowedMethods returns the methods that have a route for a path.
func (l *Listener) AllowedMethods(path string) []string {
	var methods []string
	for _, r := range l.Routes {
		if !strings.HasPrefix(path, r.Path) {
			continue
		}
		for _, method := range r.Methods {
			if !slices.Contains(methods, method) {
				methods = append(methods, method)
			}
		}
	}
	return methods
}

// check validates a listener whose fields have the given path prefix; earlier are the listeners before it in the file.
func (l *Listener) check(c *strictconfig.Checker, prefix string, earlier []Listener, deployment *settings.Settings) {
	l.checkAddress(c, prefix, earlier)
	l.checkProtocol(c, prefix)
	l.checkHeaders(c, prefix)
	l.checkPages(c, prefix)
	c.Require(len(l.Routes) <= maxRoutes, prefix+"route", "more than %d routes", maxRoutes)
	for i := range l.Routes {
		l.Routes[i].check(c, prefix+"route."+strconv.Itoa(i)+".", l.Routes[:i], deployment)
	}
}

func (l *Listener) checkAddress(c *strictconfig.Checker, prefix string, earlier []Listener) {
	_, err := netip.ParseAddrPort(l.Listen)
	c.Require(err == nil, prefix+"listen", "%q is not an address and port", l.Listen)
	isSame := func(other Listener) bool { return other.Listen == l.Listen }
	anyPort := strings.HasSuffix(l.Listen, ":0") // the system chooses a free port, so the address may be repeated
	c.Require(anyPort || !slices.ContainsFunc(earlier, isSame), prefix+"listen", "%s is used more than once", l.Listen)
}

func (l *Listener) checkProtocol(c *strictconfig.Checker, prefix string) {
	path := prefix + "protocol"
	switch l.Protocol {
	case ProtocolMeta:
		c.Require(!l.hasHTTPFields(), path, "a meta listener takes no routes, pages or headers")
	case ProtocolHTTP:
		c.Require(len(l.Routes) > 0, path, "an HTTP listener needs a route")
	default:
		c.Require(false, path, "%q is neither %s nor %s", l.Protocol, ProtocolMeta, ProtocolHTTP)
	}
}

// hasHTTPFields reports whether a field that applies to HTTP only is set.
func (l *Listener) hasHTTPFields() bool {
	texts := l.ReadyPath + l.CountersPath + l.ClassHeader + l.TenantHeader + l.IDHeader + l.DeadlineHeader
	return len(l.Routes) > 0 || l.SortQuery || texts != ""
}

func (l *Listener) checkHeaders(c *strictconfig.Checker, prefix string) {
	check := func(field, name string) {
		c.Require(strings.Trim(name, headerNameBytes) == "", prefix+field, "%q is not a valid header name", name)
	}
	check("grade_header", l.ClassHeader)
	check("tenant_header", l.TenantHeader)
	check("id_header", l.IDHeader)
	check("deadline_header", l.DeadlineHeader)
}

func (l *Listener) checkPages(c *strictconfig.Checker, prefix string) {
	check := func(field, path string) {
		c.Require(path == "" || path[0] == '/', prefix+field, "%q does not begin with a slash", path)
	}
	check("ready_path", l.ReadyPath)
	check("counters_path", l.CountersPath)
}

func (r *Route) check(c *strictconfig.Checker, prefix string, earlier []Route, deployment *settings.Settings) {
	isPath := strings.HasPrefix(r.Path, "/") && strings.HasSuffix(r.Path, "/") && !strings.ContainsAny(r.Path, "?#% ")
	c.Require(isPath, prefix+"path", "%q does not begin and end with a slash, or is not a plain path", r.Path)
	c.Require(len(r.Methods) > 0, prefix+"methods", "no methods are given")
	for _, method := range r.Methods {
		isKnown := method == "GET" || method == "HEAD" || IsWrite(method)
		c.Require(isKnown, prefix+"methods", "%q is none of GET, HEAD, PUT, POST", method)
		for _, other := range earlier {
			isSame := other.Path == r.Path && slices.Contains(other.Methods, method)
			c.Require(!isSame, prefix+"methods", "%s %s has a route already", method, r.Path)
		}
	}
	names := &deployment.Names
	c.Require(names.Class([]byte(r.Class)) >= 0, prefix+"grade", "the settings define no grade %q", r.Class)
	isTenant := r.Tenant == "" || names.Tenant([]byte(r.Tenant)) >= 0
	c.Require(isTenant, prefix+"tenant", "the settings define no tenant %q", r.Tenant)
	c.InRange(r.DeadlineMs, 0, maxDeadlineMs, prefix+"deadline_ms")
}
