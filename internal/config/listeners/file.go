package listeners

import (
	"fmt"
	"os"
	"strconv"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

// The protocols that a listener may speak, as Listener.Protocol states them.
const (
	ProtocolMeta = "meta" // the meta commands of the memcache text protocol
	ProtocolHTTP = "http" // HTTP/1.1
)

// The values of fields that are left out.
const (
	defaultHealthCheckPath     = "/"
	defaultMaxHeuristicSeconds = 3600
)

// The bounds of what a file may state.
const (
	maxListeners          = 16    // a protocol or two, on a few addresses
	maxRoutes             = 256   // of one listener: each request looks at all of them
	maxDeadlineMs         = 6e5   // ten minutes, which no deployment's deadline comes near
	maxClockOffsetSeconds = 86400 // a day
	maxHeuristicSeconds   = 86400 // a day
)

// File is an operator's file.
type File struct {
	Listeners []Listener `toml:"listener"`
	Servers   Servers    `toml:"servers"`
	Levels    []Level    `toml:"level"` // degradation levels, from the mildest to the hardest
}

// Read reads an operator's file. The service classes, tenants and kinds that it names must be those of the
// deployment. An error about the content is a strictconfig.FieldErrors.
func Read(path string, deployment *settings.Settings) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("the file cannot be read: %w", err)
	}
	return Parse(path, text, deployment)
}

// Parse decodes the text of such a file; path is for error messages.
func Parse(path string, text []byte, deployment *settings.Settings) (File, error) {
	file := File{Servers: Servers{
		HealthCheckPath: defaultHealthCheckPath,
		MaxHeuristicS:   defaultMaxHeuristicSeconds,
	}}
	c, err := strictconfig.Parse(path, text, &file)
	if err != nil {
		return file, err
	}
	c.Require(len(file.Listeners) <= maxListeners, "listener", "more than %d", maxListeners)
	for i := range file.Listeners {
		file.Listeners[i].check(c, "listener."+strconv.Itoa(i)+".", file.Listeners[:i], deployment)
	}
	file.Servers.check(c, deployment)
	CheckLevels(c, file.Levels, deployment)
	return file, c.Err()
}
