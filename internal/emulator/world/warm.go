package world

import (
	"slices"
	"time"

	"dahliapin/policy"
)

// WarmCaches fills the caches with up to maxKeys of the most popular keys, the most popular last, as after a long
// time of service. route belongs to a decider that is not used again. It routes each of three requests for a key to
// the least loaded of the key's replicas, so that three replicas get the key.
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
