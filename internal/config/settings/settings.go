package settings

import (
	"time"

	"dahliapin/policy"
)

// Settings are the settings of a deployment, as far as the product reads them.
type Settings struct {
	Policy          policy.Settings // what the decisions depend on
	Names           NameTable       // the deployment's names
	ConnectTimeout  time.Duration   // how long a connection to an endpoint may take to come up
	Deadlines       []time.Duration // default deadline of a request, by service class
	LongestDeadline time.Duration   // the longest of Deadlines
}
