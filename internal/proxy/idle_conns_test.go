package proxy

import (
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

func TestIdleConnListKeepsOrder(t *testing.T) {
	var q idleConnList
	var plain []*upstreamConn
	chance := keyhash.Source{Seed: 7}
	links := make([]*upstreamConn, 20)
	for i := range links {
		links[i] = &upstreamConn{id: upstreamConnID(i + 1)}
	}
	for range 2000 {
		l := links[int(chance.Float64()*float64(len(links)))]
		switch at := slices.Index(plain, l); {
		case chance.Float64() < 0.5:
			if q.push(l); at < 0 {
				plain = append(plain, l)
			}
		default:
			if q.remove(l); at >= 0 {
				plain = slices.Delete(plain, at, at+1)
			}
		}
		var is []*upstreamConn
		for l := q.oldest; l != nil; l = l.newer {
			is = append(is, l)
		}
		var back []*upstreamConn
		for l := q.newest; l != nil; l = l.older {
			back = append(back, l)
		}
		slices.Reverse(back)
		if !slices.Equal(is, plain) || !slices.Equal(back, plain) {
			t.Fatalf("%d links, %d backwards, want %d", len(is), len(back), len(plain))
		}
	}
}
