package settings

import (
	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

const (
	noOriginKind = -2 // matches no endpoint: an endpoint of an undefined kind has the kind -1, so -1 cannot be used
	noColumn     = -1 // index of a load report column that is not configured
)

// The protocol's values for idempotency and for the scope of deduplication. A class with any other value, or none, is
// not idempotent, or its repeated requests are recognized by the same endpoint only.
var (
	idempotencies = map[string]policy.Idempotency{
		"idempotent":   policy.Idempotent,
		"deduplicated": policy.IdempotentByKey,
	}
	dedupScopes = map[string]policy.DedupScope{
		"all":  policy.AllCaches,
		"zone": policy.SameZone,
	}
)

// Decode validates and decodes the settings object. It returns ErrNoClasses if the object has no service class, and a
// *KeyError for the first key with an invalid value. A key that is missing or null has its default.
func Decode(object *fastjson.Value) (Settings, error) {
	if len(object.GetArray(keyClasses)) == 0 {
		return Settings{}, ErrNoClasses
	}
	if err := check(object); err != nil {
		return Settings{}, err
	}
	s := Settings{ConnectTimeout: Seconds(object.Get(keyBounds, keyConnectTimeout))}
	s.decodeNames(object)
	s.decodeClasses(object.GetArray(keyClasses))
	s.decodeTopology(object)
	s.decodeCosts(object)
	s.decodeBounds(object.Get(keyBounds))
	s.decodeRules(object.Get(keyRules))
	s.decodeTelemetry(object.GetArray(keyTelemetry, keyTelemetryColumn))
	return s, nil
}

func (s *Settings) decodeNames(object *fastjson.Value) {
	s.Names.classes = numberByName(object.GetArray(keyClasses), keyClassName)
	s.Names.tenants = numberByName(object.GetArray(keyTenants), keyTenantName)
	s.Names.kinds = numberByName(object.GetArray(keyKinds))
}

func (s *Settings) decodeClasses(classes []*fastjson.Value) {
	for _, class := range classes {
		s.Policy.Classes = append(s.Policy.Classes, policy.ServiceClass{
			PriorityWeight:   class.GetFloat64(keyPriorityWeight),
			LateValue:        Number(class.Get(keyLateShare)),
			LatencyObjective: Seconds(class.Get(keyLatencyObjective)),
			Idempotency:      idempotencies[string(class.GetStringBytes(keyIdempotency))],
			DedupScope:       dedupScopes[string(class.GetStringBytes(keyDedupScope))],
			DedupWindow:      Seconds(class.Get(keyDedupWindow)),
		})
		deadline := Seconds(class.Get(keyDeadline))
		s.Deadlines = append(s.Deadlines, deadline)
		s.LongestDeadline = max(s.LongestDeadline, deadline)
	}
}

// decodeTopology decodes the node's environment: its zone, the number of nodes, discovery and the origin.
func (s *Settings) decodeTopology(object *fastjson.Value) {
	s.Policy.Zone = policy.ZoneID(object.GetStringBytes(keyZone))
	s.Policy.Nodes = object.GetInt(keyNodes)
	s.Policy.PollEndpoints = string(object.GetStringBytes(keyDiscovery)) == discoveryByPoll
	s.Policy.TickInterval = Seconds(object.Get(keyTickInterval))

	family := object.Get(keyFamily)
	s.Policy.CacheAside = string(family.GetStringBytes(keyMode)) == modeCacheAside
	s.Policy.OriginKind = noOriginKind
	if isSet(family.Get(keyOriginKind)) {
		s.Policy.OriginKind = family.GetInt(keyOriginKind)
	}
}

func (s *Settings) decodeCosts(object *fastjson.Value) {
	for _, tenant := range object.GetArray(keyTenants) {
		s.Policy.Tenants = append(s.Policy.Tenants, policy.Tenant{QuotaPerSecond: Number(tenant.Get(keyQuota))})
	}
	s.Policy.OverQuotaWeight = object.GetFloat64(keyOverQuotaWeight)
	s.Policy.CrossZoneCost = object.GetFloat64(keyCosts, keyCrossZoneCost)
	s.Policy.WasteCost = object.GetFloat64(keyCosts, keyWasteCost)
}

func (s *Settings) decodeBounds(bounds *fastjson.Value) {
	s.Policy.MaxAttempts = bounds.GetInt(keyMaxAttempts)
	s.Policy.IdleTimeout = Seconds(bounds.Get(keyIdleTimeout))
	s.Policy.HedgingAllowed = bounds.GetBool(keyHedging)
	s.Policy.CancelAllowed = bounds.GetBool(keyCancel)
	s.Policy.HealthChecksAllowed = bounds.GetBool(keyHealthChecks)
	if bounds.GetBool(keyRetryAfter) {
		s.Policy.MaxRetryAfter = Seconds(bounds.Get(keyMaxRetryAfter))
	}
}

func (s *Settings) decodeRules(rules *fastjson.Value) {
	s.Policy.PollInterval = Seconds(rules.Get(keyPollInterval))
	s.Policy.SlowStartShare = rules.GetFloat64(keySlowStartShare)
	s.Policy.SlowStartDuration = Seconds(rules.Get(keySlowStartDuration))
	s.Policy.OverloadFactor = Number(rules.Get(keyOverloadFactor))
}

func (s *Settings) decodeTelemetry(columns []*fastjson.Value) {
	s.Policy.InFlightColumn = noColumn
	s.Policy.QueueColumn = noColumn
	for i, column := range columns {
		name := string(column.GetStringBytes())
		s.Names.columns = append(s.Names.columns, name)
		switch name {
		case columnInFlight:
			s.Policy.InFlightColumn = i
		case columnQueue:
			s.Policy.QueueColumn = i
		}
	}
}
