package settings

import (
	"time"

	"dahliapin/policy"
)

// Settings holds the settings of a deployment that dahliapin reads.
type Settings struct {
	Policy          policy.Settings // settings of the policy
	Names           NameTable       // names that the deployment defines
	ConnectTimeout  time.Duration   // timeout for connecting to an endpoint
	Deadlines       []time.Duration // default deadline of a request, by service class
	LongestDeadline time.Duration   // the longest of Deadlines
}
