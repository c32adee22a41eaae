package simwire

import (
	"github.com/valyala/fastjson"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/monotime"
	"dahliapin/policy"
)

const (
	maxLists           = 16 // numbered endpoint lists: the limit of the protocol
	endpointValueCount = 7  // number of values of an endpoint in a list
	indexWeight        = 0
	indexKind          = 1
	indexLifecycle     = 2
	indexStartedAt     = 3
	indexZone          = 4
	indexID            = 5
	indexGroup         = 6
)

// storeList handles [name, number, list].
func (s *server) storeList(e event) {
	if n := settings.Number(e.at(1)); n >= 0 && n < maxLists {
		s.lists[int(n)] = cloneList(e.at(2))
	}
}

// updateEndpoints handles [name, kind of update, -, number of a list].
func (s *server) updateEndpoints(now monotime.Instant, in *instance, e event) {
	kind, ok := updateKinds[string(e.at(1).GetStringBytes())]
	n := int(settings.Number(e.at(3)))
	if !ok || n < 0 || n >= maxLists {
		s.ignore("an endpoint update of an unknown kind or list number")
		return
	}
	in.endpoints = in.endpoints[:0]
	if kind != policy.PollFailed {
		for _, v := range s.lists[n] {
			if endpoint, ok := s.endpoint(in, v.GetArray()); ok {
				in.endpoints = append(in.endpoints, endpoint)
			}
		}
	}
	in.node.UpdateEndpoints(now, kind, in.endpoints)
}

// endpoint decodes an endpoint of a list. An endpoint in an unknown state is treated as draining: it may have left the
// fleet, so it gets no new requests.
func (s *server) endpoint(in *instance, values []*fastjson.Value) (policy.Endpoint, bool) {
	if len(values) < endpointValueCount || len(values[indexID].GetStringBytes()) == 0 {
		s.ignore("an endpoint list entry without an id or with too few values")
		return policy.Endpoint{}, false
	}
	lifecycle, ok := lifecycles[string(values[indexLifecycle].GetStringBytes())]
	if !ok {
		lifecycle = policy.Draining
	}
	return policy.Endpoint{
		Weight:    settings.Number(values[indexWeight]),
		Kind:      in.names.Kind(values[indexKind].GetStringBytes()),
		Lifecycle: lifecycle,
		StartedAt: instant(values[indexStartedAt]),
		Zone:      policy.ZoneID(values[indexZone].GetStringBytes()),
		ID:        s.endpointID(values[indexID]),
		Group:     policy.GroupID(settings.Number(values[indexGroup])),
	}, true
}

// cloneList copies a list, as the parser reuses the memory of a batch for the next one.
func cloneList(v *fastjson.Value) []*fastjson.Value {
	if v == nil {
		return nil
	}
	clone, err := fastjson.ParseBytes(v.MarshalTo(nil))
	if err != nil {
		return nil
	}
	return clone.GetArray()
}

// endpointID returns the id of an endpoint. It interns ids, so that each is allocated once.
func (s *server) endpointID(v *fastjson.Value) policy.EndpointID {
	text := v.GetStringBytes()
	id, ok := s.endpointIDs[string(text)]
	if !ok {
		id = policy.EndpointID(text)
		s.endpointIDs[string(id)] = id
	}
	return id
}
