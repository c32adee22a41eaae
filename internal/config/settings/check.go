package settings

import (
	"fmt"
	"math"
	"slices"
	"strings"

	"github.com/valyala/fastjson"
)

// The keys to check, by the type that their values must have. Numbers must be finite and not negative.
var (
	objectKeys = []string{keyCosts, keyRules, keyBounds, keyFamily, keyTelemetry}
	listKeys   = []string{
		keyClasses, keyTenants, keyZones, keyKinds, keyTelemetry + "." + keyTelemetryColumn,
	}
	numberKeys = []string{
		keyTickInterval, keyNodes, keyOverQuotaWeight,
		keyCosts + "." + keyCrossZoneCost,
		keyCosts + "." + keyWasteCost,
		keyRules + "." + keyPollInterval,
		keyRules + "." + keySlowStartShare,
		keyRules + "." + keySlowStartDuration,
		keyRules + "." + keyOverloadFactor,
		keyBounds + "." + keyConnectTimeout,
		keyBounds + "." + keyMaxAttempts,
		keyBounds + "." + keyIdleTimeout,
		keyBounds + "." + keyMaxRetryAfter,
	}
	integerKeys     = []string{keyNodes, keyBounds + "." + keyMaxAttempts}
	classNumberKeys = []string{keyPriorityWeight, keyLatencyObjective, keyLateShare, keyDedupWindow, keyDeadline}
	booleanKeys     = []string{
		keyBounds + "." + keyHedging,
		keyBounds + "." + keyCancel,
		keyBounds + "." + keyHealthChecks,
		keyBounds + "." + keyRetryAfter,
	}
	stringKeys = []string{keyZone, keyDiscovery, keyFamily + "." + keyMode}
)

// check returns a *KeyError for the first key with an invalid value. Without it, a value of the wrong type would
// silently be replaced by the default. Objects are checked first: lookups within a value that is not an object find
// nothing, so all its keys would pass as missing.
func check(object *fastjson.Value) error {
	checks := []func(*fastjson.Value) error{
		checkObjects, checkLists, checkNumbers, checkIntegers, checkClasses, checkTenants, checkBooleans, checkStrings,
		checkZone,
	}
	for _, checkGroup := range checks {
		if err := checkGroup(object); err != nil {
			return err
		}
	}
	return nil
}

func checkObjects(object *fastjson.Value) error {
	return checkType(object, objectKeys, "is not an object", fastjson.TypeObject)
}

func checkLists(object *fastjson.Value) error {
	return checkType(object, listKeys, "is not an array", fastjson.TypeArray)
}

func checkBooleans(object *fastjson.Value) error {
	return checkType(object, booleanKeys, "is neither true nor false", fastjson.TypeTrue, fastjson.TypeFalse)
}

func checkStrings(object *fastjson.Value) error {
	return checkType(object, stringKeys, "is not a string", fastjson.TypeString)
}

func checkType(object *fastjson.Value, keys []string, problem string, types ...fastjson.Type) error {
	for _, key := range keys {
		if v := valueAt(object, key); isSet(v) && !slices.Contains(types, v.Type()) {
			return &KeyError{Key: key, Problem: problem}
		}
	}
	return nil
}

func checkNumbers(object *fastjson.Value) error {
	for _, key := range numberKeys {
		if err := checkNumber(key, valueAt(object, key)); err != nil {
			return err
		}
	}
	return nil
}

func checkIntegers(object *fastjson.Value) error {
	for _, key := range integerKeys {
		if x := Number(valueAt(object, key)); x != math.Trunc(x) || x > math.MaxInt32 {
			return &KeyError{Key: key, Problem: "is not a whole number"}
		}
	}
	return nil
}

func checkClasses(object *fastjson.Value) error {
	for i, class := range object.GetArray(keyClasses) {
		for _, key := range classNumberKeys {
			if err := checkNumber(fmt.Sprintf("%s[%d].%s", keyClasses, i, key), class.Get(key)); err != nil {
				return err
			}
		}
	}
	return nil
}

func checkTenants(object *fastjson.Value) error {
	for i, tenant := range object.GetArray(keyTenants) {
		if err := checkNumber(fmt.Sprintf("%s[%d].%s", keyTenants, i, keyQuota), tenant.Get(keyQuota)); err != nil {
			return err
		}
	}
	return nil
}

// checkZone checks that a node's zone is one of the deployment's zones, if both are given.
func checkZone(object *fastjson.Value) error {
	zone := string(object.GetStringBytes(keyZone))
	zones := object.GetArray(keyZones)
	if zone == "" || len(zones) == 0 {
		return nil
	}
	isZone := func(v *fastjson.Value) bool { return string(v.GetStringBytes()) == zone }
	if slices.ContainsFunc(zones, isZone) {
		return nil
	}
	return &KeyError{Key: keyZone, Problem: fmt.Sprintf("is %q, which %s does not list", zone, keyZones)}
}

func checkNumber(key string, v *fastjson.Value) error {
	if !isSet(v) {
		return nil
	}
	x, err := v.Float64()
	if err != nil || math.IsInf(x, 0) || math.IsNaN(x) {
		return &KeyError{Key: key, Problem: "is not a finite number"}
	}
	if x < 0 {
		return &KeyError{Key: key, Problem: "is negative"}
	}
	return nil
}

func valueAt(object *fastjson.Value, key string) *fastjson.Value {
	return object.Get(strings.Split(key, ".")...)
}
