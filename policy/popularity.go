package policy

import "maps"

const (
	// hotKeyRequests is the number of requests for a key from which it may have more replicas: two may be coincidence.
	hotKeyRequests = 3.0
	// minKeysToDecay is the number of keys up to which demand does not decay: there is too little data to tell which
	// keys are hot.
	minKeysToDecay = 50
	// minTrackedRequests is the number of requests below which a key is dropped.
	minTrackedRequests = 0.5
	// maxTrackedKeys limits the memory for the demand, some 1 MB, whatever keys clients send.
	maxTrackedKeys = 1 << 15
)

// popularity measures the demand for keys: the sum of the priority weights of the requests for a key, halved each
// second while more than minKeysToDecay keys are tracked, and sooner if maxTrackedKeys are. The raw preference
// (admission) is the inverse square root of the priority, so the square of its mean is about 1 divided by the mean
// priority, and the demand multiplied by that square is about the number of requests.
type popularity struct {
	demand map[uint64]float64 // by key hash
	total  float64            // over all keys, including those dropped meanwhile; halved like demand
}

// record counts a request. If a new key would be one too many, it first lets the demand decay. A key for which there is
// no room even then is counted in the total only: each decay brings the other keys closer to being dropped.
func (p *popularity) record(key uint64, priority, meanRawPreference float64) {
	p.total += priority
	if _, isTracked := p.demand[key]; !isTracked && len(p.demand) >= maxTrackedKeys {
		p.decay(meanRawPreference)
		if len(p.demand) >= maxTrackedKeys {
			return
		}
	}
	p.demand[key] += priority
}

// demandFor returns the demand for a key.
func (p *popularity) demandFor(key uint64) float64 {
	return p.demand[key]
}

// replicaLimit returns how many replicas the reads of a key may use. A hot key gets as many replicas as there are
// caches that would serve its share of the demand if it were spread evenly, from replicaCount to segmentCount;
// otherwise its caches would be full while others have capacity.
func (p *popularity) replicaLimit(key uint64, meanRawPreference float64, caches int) int {
	demand := p.demand[key]
	if demand*meanRawPreference*meanRawPreference < hotKeyRequests {
		return replicaCount
	}
	evenShares := int(demand / p.total * float64(caches))
	return max(replicaCount, min(segmentCount, evenShares))
}

// decay halves the demand and drops keys that are rarely requested.
func (p *popularity) decay(meanRawPreference float64) {
	if len(p.demand) <= minKeysToDecay {
		return
	}
	p.total /= 2
	maps.DeleteFunc(p.demand, func(key uint64, demand float64) bool {
		p.demand[key] = demand / 2
		return demand*meanRawPreference*meanRawPreference < minTrackedRequests
	})
}
