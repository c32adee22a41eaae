package policy

import (
	"math"

	"dahliapin/internal/keyhash"
)

const (
	// admissionWindow is the count of attempts that an admission controller starts with; decay never brings the count
	// below it. With fewer, random losses would look like a congestion collapse. It counts attempts rather than time,
	// so that a node with few requests detects overload after as many attempts as one with hundreds.
	admissionWindow = 10.0
	// maxOfferedPerUseful is how many attempts may be offered for each useful one before requests are shed, after
	// minAdmittedShare of the offered ones is deducted; without the deduction it is 1.13. The margin tolerates a few
	// random failures.
	maxOfferedPerUseful = 1.1
	// rejectionWeight is how much a rejection by a cache counts among the offered attempts: it is useless, but cheap.
	rejectionWeight = 0.1
	// minAdmittedShare is the fraction of the requests with a shed preference of 1 that is admitted while no attempt is
	// useful, to detect a recovery. It is smaller for a higher preference.
	minAdmittedShare = 0.03
	// minPriority is the lowest priority that enters the shed preference, which bounds the preference of requests with
	// almost no value.
	minPriority = 0.01
	// rawPreferenceWindow is the number of requests over which the mean raw preference is smoothed.
	rawPreferenceWindow = 50
)

// admissionController compares the load offered to a scope's caches with how much of it was useful.
type admissionController struct {
	offered float64 // requests shed, and attempts whose result depends on load
	useful  float64 // of those, the attempts answered in time; late ones count ServiceClass.LateValue
}

// admission decides which requests to shed before their first attempt. It prevents congestion collapse: caches that are
// offered more than their capacity spend their time on requests that miss their deadline. Errors, broken connections
// and failed connects do not count, since they indicate a faulty endpoint or an outdated endpoint list; otherwise a few
// faulty caches would cause most of the traffic to be shed.
type admission struct {
	settings    *Settings
	rng         *keyhash.Source
	controllers [cacheScopeCount]admissionController // homeZone, otherZones
	// meanRawPreference is the smoothed mean of the raw preference of requests: the inverse square root of their
	// priority.
	meanRawPreference float64
}

func newAdmission(settings *Settings, rng *keyhash.Source) admission {
	initial := admissionController{offered: admissionWindow, useful: admissionWindow}
	return admission{
		settings:          settings,
		rng:               rng,
		controllers:       [cacheScopeCount]admissionController{initial, initial},
		meanRawPreference: 1,
	}
}

// shedPreference returns how likely a request of a priority is to be shed: about 1 on average, more for lower
// priorities. It is the raw preference relative to its mean; otherwise a large number of low-priority requests would
// all be shed permanently.
func (a *admission) shedPreference(priority float64) float64 {
	rawPreference := 1 / math.Sqrt(max(priority, minPriority))
	a.meanRawPreference += (rawPreference - a.meanRawPreference) / rawPreferenceWindow
	return rawPreference / a.meanRawPreference
}

// shouldShed decides at random whether to reject a request that would go to a scope's caches. The probability grows
// with the excess of offered over useful attempts and with the request's shed preference. A shed request counts as
// offered.
func (a *admission) shouldShed(scope placementScope, zoneLocal bool, preference float64) bool {
	controller := &a.controllers[scope]
	tolerated := maxOfferedPerUseful
	if zoneLocal && scope == homeZone {
		// Load beyond the home zone's capacity is offered to other zones at the cross-zone cost, so no excess is
		// tolerated here: with this value, the excess is positive as soon as offered exceeds useful.
		tolerated = 1 - minAdmittedShare
	}
	excess := (1-minAdmittedShare)*controller.offered - tolerated*controller.useful
	if excess <= 0 {
		return false
	}
	admitted := math.Pow(1-excess/controller.offered, preference)
	if a.rng.Float64() < admitted {
		return false
	}
	controller.offered++
	return true
}

// recordRejection counts an attempt that was rejected by a cache of a scope.
func (a *admission) recordRejection(scope placementScope) {
	a.controllers[scope].offered += rejectionWeight
}

// record counts an attempt at a cache of a scope, with a weight and the usefulness of its answer, both from 0 to 1.
func (a *admission) record(scope placementScope, weight, useful float64) {
	a.controllers[scope].offered += weight
	a.controllers[scope].useful += useful
}

// notUsefulShare returns the fraction of the load offered to a scope's caches that was not useful.
func (a *admission) notUsefulShare(scope placementScope) float64 {
	controller := &a.controllers[scope]
	return max(0, controller.offered-controller.useful) / max(1, controller.offered)
}

// decay halves the counts while enough attempts remain.
func (a *admission) decay() {
	for i := range a.controllers {
		controller := &a.controllers[i]
		if controller.offered > 2*admissionWindow {
			controller.offered /= 2
			controller.useful /= 2
		}
	}
}
