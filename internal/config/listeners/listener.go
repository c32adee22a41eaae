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

// Listener is one further listener. The headers, pages and routes are those of HTTP.
type Listener struct {
	Listen   string `toml:"listen"`   // address and port
	Protocol string `toml:"protocol"` // Meta or HTTP

	// Names of the headers by which a client may state a request's properties. With an empty one it cannot.
	ClassHeader    string `toml:"grade_header"`    // service class
	TenantHeader   string `toml:"tenant_header"`   // tenant
	IDHeader       string `toml:"id_header"`       // request id, unique among the requests in flight
	DeadlineHeader string `toml:"deadline_header"` // for how many milliseconds the client waits

	ReadyPath    string  `toml:"ready_path"`    // page that tells whether requests are served; empty for none
	CountersPath string  `toml:"counters_path"` // page with the counters; empty for none
	SortQuery    bool    `toml:"sort_query"`    // a URL's key does not depend on the order of its query's parts
	Routes       []Route `toml:"route"`
}

// Route says what the requests under a path are.
type Route struct {
	Path       string   `toml:"path"`        // whole segments, with a slash at both ends; what follows is the key
	Methods    []string `toml:"methods"`     // of GET, HEAD, PUT and POST
	Class      string   `toml:"grade"`       // service class, unless the client states one
	Tenant     string   `toml:"tenant"`      // tenant, unless the client states one; empty for none
	DeadlineMs float64  `toml:"deadline_ms"` // unless the client states one; 0 for the class's deadline
}

// IsWrite tells whether a method of a route writes a value. The others read.
func IsWrite(method string) bool { return method == "PUT" || method == "POST" }

// Route returns the route with the longest path that a request is under, or nil. In that case known tells whether
// the path has a route with another method.
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

// check looks at a listener whose fields stand at the path prefix; earlier are those before it in the file.
func (l *Listener) check(c *strictconfig.Checker, prefix string, earlier []Listener, deployment *settings.Settings) {
	l.checkAddress(c, prefix, earlier)
	l.checkProtocol(c, prefix)
	l.checkHeaders(c, prefix)
	l.checkPages(c, prefix)
	c.Require(len(l.Routes) <= maxRoutes, prefix+"route", "more than %d", maxRoutes)
	for i := range l.Routes {
		l.Routes[i].check(c, prefix+"route."+strconv.Itoa(i)+".", l.Routes[:i], deployment)
	}
}

func (l *Listener) checkAddress(c *strictconfig.Checker, prefix string, earlier []Listener) {
	_, err := netip.ParseAddrPort(l.Listen)
	c.Require(err == nil, prefix+"listen", "%q is not an address and a port", l.Listen)
	isSame := func(other Listener) bool { return other.Listen == l.Listen }
	anyPort := strings.HasSuffix(l.Listen, ":0") // another port each time, so that the address may stand again
	c.Require(anyPort || !slices.ContainsFunc(earlier, isSame), prefix+"listen", "%s stands twice", l.Listen)
}

func (l *Listener) checkProtocol(c *strictconfig.Checker, prefix string) {
	path := prefix + "protocol"
	switch l.Protocol {
	case ProtocolMeta:
		c.Require(!l.hasHTTPFields(), path, "meta commands need no routes, pages and headers")
	case ProtocolHTTP:
		c.Require(len(l.Routes) > 0, path, "names no route, so nothing could be asked")
	default:
		c.Require(false, path, "%q is neither %s nor %s", l.Protocol, ProtocolMeta, ProtocolHTTP)
	}
}

// hasHTTPFields tells whether a field is stated that has a meaning for HTTP only.
func (l *Listener) hasHTTPFields() bool {
	texts := l.ReadyPath + l.CountersPath + l.ClassHeader + l.TenantHeader + l.IDHeader + l.DeadlineHeader
	return len(l.Routes) > 0 || l.SortQuery || texts != ""
}

func (l *Listener) checkHeaders(c *strictconfig.Checker, prefix string) {
	check := func(field, name string) {
		c.Require(strings.Trim(name, headerNameBytes) == "", prefix+field, "%q can't be a header's name", name)
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
	c.Require(isPath, prefix+"path", "%q does not begin and end with a slash, or has what no plain path has", r.Path)
	c.Require(len(r.Methods) > 0, prefix+"methods", "names no method")
	for _, method := range r.Methods {
		isKnown := method == "GET" || method == "HEAD" || IsWrite(method)
		c.Require(isKnown, prefix+"methods", "%q is none of GET, HEAD, PUT, POST", method)
		for _, other := range earlier {
			isSame := other.Path == r.Path && slices.Contains(other.Methods, method)
			c.Require(!isSame, prefix+"methods", "%s %s stands twice", method, r.Path)
		}
	}
	names := &deployment.Names
	c.Require(names.Class([]byte(r.Class)) >= 0, prefix+"grade", "the deployment states no grade %q", r.Class)
	isTenant := r.Tenant == "" || names.Tenant([]byte(r.Tenant)) >= 0
	c.Require(isTenant, prefix+"tenant", "the deployment states no tenant %q", r.Tenant)
	c.InRange(r.DeadlineMs, 0, maxDeadlineMs, prefix+"deadline_ms")
}
