package settings

// The keys of the settings object, as the protocol names them.
const (
	keyZone            = "zone"            // zone of this node
	keyZones           = "failure_domains" // names of all zones
	keyDiscovery       = "discovery"       // how endpoints are discovered: see discoveryByPoll
	keyTickInterval    = "round_s"         // tick interval
	keyNodes           = "n_instances"     // number of nodes
	keyOverQuotaWeight = "excess_benefit"  // weight of a request over its tenant's quota
	keyKinds           = "kinds"           // names of the endpoint kinds

	keyClasses          = "service_grades" // service classes: objects with the keys below
	keyClassName        = "name"
	keyPriorityWeight   = "benefit"
	keyIdempotency      = "effect"
	keyDedupScope       = "group"
	keyDedupWindow      = "key_ttl_s"
	keyLatencyObjective = "soft_limit_s"
	keyLateShare        = "late_benefit"
	keyDeadline         = "hard_stop_s"

	keyTenants    = "tenants" // tenants: objects with the keys below
	keyTenantName = "name"
	keyQuota      = "quota_rps"

	keyCosts         = "tariffs"
	keyCrossZoneCost = "cross_zone"
	keyWasteCost     = "waste"

	keyRules             = "rules"
	keyPollInterval      = "ask_within_s"
	keySlowStartShare    = "cold_from"
	keySlowStartDuration = "cold_s"
	keyOverloadFactor    = "overload_factor"

	keyBounds          = "bounds"
	keyMaxAttempts     = "most_legs"
	keyIdleTimeout     = "conn_idle_s"
	keyHedging         = "second_copies"
	keyCancel          = "cancel"
	keyHealthChecks    = "probes"
	keyRetryAfter      = "retry_after"
	keyMaxRetryAfter   = "max_retry_after_s"
	keyConnectTimeout  = "connect_timeout_s"
	keyFamily          = "family_info"
	keyMode            = "mode"
	keyOriginKind      = "origin_kind"
	keyTelemetry       = "telemetry"
	keyTelemetryColumn = "columns"
)

// The string values that the protocol defines.
const (
	modeCacheAside  = "aside"       // of keyMode: the node fetches misses from the origin
	discoveryByPoll = "ask"         // of keyDiscovery: the node polls the endpoint list
	columnInFlight  = "outstanding" // of keyTelemetryColumn: requests in flight at an endpoint
	columnQueue     = "backlog"     // of keyTelemetryColumn: requests queued at an endpoint
)
