package policy

import (
	"math"

	"dahliapin/internal/keyhash"
)

const (
	// admissionWindow is the number of attempts that an admission controller starts with and keeps at least: by
	// fewer, chance would look like a collapse. It is a number and not a time, so that a node that sees few requests
	// notices as soon as one that sees hundreds.
	admissionWindow = 10.0
	// maxOfferedPerUseful is how many attempts may be offered for each useful one before requests are shed: a few
	// that fail are bad luck.
	maxOfferedPerUseful = 1.1
	// rejectionWeight is what a rejection counts for among the attempts offered: it is useless, but costs little.
	rejectionWeight = 0.1
	// trialShare is the share of the requests offered that is always admitted, to see a recovery.
	minAdmittedShare = 0.03
	// minPriority bounds the shed preference of requests that are worth next to nothing.
	minPriority = 0.01
	// preferenceWindow is the number of requests over which the mean shed preference is taken.
	shedPreferenceWindow = 50
)

// admissionController sets what is offered to a scope's caches against what of it is useful.
type admissionController struct {
	offered float64 // requests shed, and attempts that whose result depends on load
	useful  float64 // of those, answered in time; late ones by ServiceClass.LateValue
}

// admission decides which requests to shed before their first attempt. The failure it guards against is congestion
// collapse: caches that are offered more than they can do spend their time on requests that miss their deadline.
// Errors, broken connections and failed connects don't count, since they indicate a faulty endpoint or an old list:
// counted, a few faulty caches would have most of the traffic shed.
type admission struct {
	settings    *Settings
	rng         *keyhash.Source
	controllers [scopeCount]admissionController // homeZone, otherZones
	// meanPreference is the mean shed preference of requests.
	meanShedPreference float64
}

func newAdmission(settings *Settings, rng *keyhash.Source) admission {
	open := admissionController{offered: admissionWindow, useful: admissionWindow}
	return admission{
		settings:           settings,
		rng:                rng,
		controllers:        [scopeCount]admissionController{open, open},
		meanShedPreference: 1,
	}
}

// shedPreference returns how readily a request of a priority is shed: 1 on the mean, more for lower priorities. It is
// relative to the mean, or a lot of requests of low priority would have all of them shed for good.
func (a *admission) shedPreference(priority float64) float64 {
	preference := 1 / math.Sqrt(max(priority, minPriority))
	a.meanShedPreference += (preference - a.meanShedPreference) / shedPreferenceWindow
	return preference / a.meanShedPreference
}

// shouldShed decides by chance whether a request that would go to a scope's caches is rejected: the more the offered
// attempts exceed the useful ones, and the higher its shed preference. A request that is shed counts as offered.
func (a *admission) shouldShed(scope placementScope, zoneLocal bool, preference float64) bool {
	controller := &a.controllers[scope]
	tolerated := maxOfferedPerUseful
	if zoneLocal && scope == homeZone {
		// What home can't do is offered to other zones instead, at a price: so no surplus is tolerated here.
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

// recordRejection counts an attempt that a cache of a scope rejected.
func (a *admission) recordRejection(scope placementScope) {
	a.controllers[scope].offered += rejectionWeight
}

// record counts an attempt at a cache of a scope, with a weight of 0 to 1, and how useful its answer was, 0 to 1.
func (a *admission) record(scope placementScope, weight, useful float64) {
	a.controllers[scope].offered += weight
	a.controllers[scope].useful += useful
}

// lostShare returns the share of what was offered to a scope's caches that wasn't useful.
func (a *admission) lostShare(scope placementScope) float64 {
	controller := &a.controllers[scope]
	return max(0, controller.offered-controller.useful) / max(1, controller.offered)
}

// decay halves what was counted, as long as enough is left.
func (a *admission) decay() {
	for i := range a.controllers {
		controller := &a.controllers[i]
		if controller.offered > 2*admissionWindow {
			controller.offered /= 2
			controller.useful /= 2
		}
	}
}
