package listeners

import (
	"fmt"
	"os"
	"strconv"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
)

// The values of Listener.Protocol.
const (
	ProtocolMeta = "meta" // the meta commands of the memcache text protocol
	ProtocolHTTP = "http" // HTTP/1.1
)

// The defaults of optional fields.
const (
	defaultHealthCheckPath     = "/"
	defaultMaxHeuristicSeconds = 3600
)

// The limits for the values in a file.
const (
	maxListeners          = 16    // one or two protocols on a few addresses
	maxRoutes             = 256   // per listener: each request is matched against all of them
	maxDeadlineMs         = 6e5   // ten minutes, far above the deadlines of any deployment
	maxClockOffsetSeconds = 86400 // a day
	maxHeuristicSeconds   = 86400 // a day
)

// File is the operator's listeners file.
type File struct {
	Listeners  []Listener `toml:"listener"`
	HTTPCaches HTTPCaches `toml:"servers"`
	Levels     []Level    `toml:"level"` // degradation levels, from the mildest to the hardest
}

// Read reads a listeners file. The service classes, tenants and endpoint kinds that it names must be defined by the
// deployment's settings. An error about the content is a strictconfig.FieldErrors.
func Read(path string, deployment *settings.Settings) (File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return File{}, fmt.Errorf("cannot read the listeners file: %w", err)
	}
	return Parse(path, text, deployment)
}

// Parse decodes the text of a listeners file; path is its name in errors.
func Parse(path string, text []byte, deployment *settings.Settings) (File, error) {
	file := File{HTTPCaches: HTTPCaches{
		HealthCheckPath: defaultHealthCheckPath,
		MaxHeuristicS:   defaultMaxHeuristicSeconds,
	}}
	c, err := strictconfig.Parse(path, text, &file)
	if err != nil {
		return file, err
	}
	c.Require(len(file.Listeners) <= maxListeners, "listener", "more than %d listeners", maxListeners)
	for i := range file.Listeners {
		file.Listeners[i].check(c, "listener."+strconv.Itoa(i)+".", file.Listeners[:i], deployment)
	}
	file.HTTPCaches.check(c, deployment)
	CheckLevels(c, file.Levels, deployment)
	return file, c.Err()
}
