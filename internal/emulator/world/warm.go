package world

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// WarmCaches fills the caches with up to maxKeys of the most popular keys, as after a long time of service; the most
// popular keys are the most recently used. It routes three requests for each key, without ending them: a decider that
// prefers the least loaded replica thereby puts the key at three replicas. The decider of route must not be used
// afterwards.
func WarmCaches(
	w *World, route func(policy.Instant, *policy.Request) policy.Decision, now policy.Instant, t *Traffic, maxKeys int,
) {
	class := slices.IndexFunc(t.Classes, func(c Class) bool { return !c.Write })
	if class < 0 {
		return
	}
	for rank := min(t.Keys, maxKeys) - 1; rank >= 0; rank-- {
		key := KeyOf(rank)
		for range 3 {
			decision := route(now, &policy.Request{
				ID:        "w",
				Key:       key,
				Class:     policy.ClassID(class),
				Tenant:    -1,
				ArrivedAt: now,
				Deadline:  now.Add(time.Hour),
			})
			w.putAt(decision.SendTo, key)
		}
	}
}

func (w *World) putAt(caches []policy.EndpointID, key string) {
	for _, id := range caches {
		if i, ok := w.byID[id]; ok && w.Servers[i].origin == nil {
			w.Servers[i].store.put(key)
		}
	}
}
