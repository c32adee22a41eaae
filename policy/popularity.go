package policy

import "maps"

const (
	// hotRequests is the number of requests for a key from which it may have more replicas: two may be chance.
	hotKeyRequests = 3.0
	// minTrackedKeys is the number of keys under which demand isn't halved: too little is known to see which are hot.
	minKeysToDecay = 50
	// forgottenRequests is the number of requests under which a key is forgotten.
	minTrackedRequests = 0.5
)

// popularity measures the demand for keys: the priority weights of the requests for them, halved each second. Demand
// times the square of the mean shed preference, which is one by the root of the priority, is a number of requests.
type popularity struct {
	demand map[uint64]float64 // by key hash
	total  float64            // over all keys
}

// record counts a request.
func (p *popularity) record(key uint64, priority float64) {
	p.demand[key] += priority
	p.total += priority
}

// of returns the demand for a key.
func (p *popularity) demandFor(key uint64) float64 {
	return p.demand[key]
}

// replicas returns how many replicas reads of a key may use. A key that is asked for more than three caches' even share
// gets as many as its share of the demand amounts to, or its caches would be full while others have capacity.
func (p *popularity) replicaLimit(key uint64, meanPreference float64, caches int) int {
	demand := p.demand[key]
	if demand*meanPreference*meanPreference < hotKeyRequests {
		return replicaCount
	}
	evenShares := int(demand / p.total * float64(caches))
	return max(replicaCount, min(segmentCount, evenShares))
}

// decay halves the demand and forgets keys that are hardly asked for.
func (p *popularity) decay(meanPreference float64) {
	if len(p.demand) <= minKeysToDecay {
		return
	}
	p.total /= 2
	maps.DeleteFunc(p.demand, func(key uint64, demand float64) bool {
		p.demand[key] = demand / 2
		return demand*meanPreference*meanPreference < minTrackedRequests
	})
}
