package proxy

import (
	"slices"
	"testing"

	"dahliapin/internal/keyhash"
)

// Compares the list with a plain slice over a seeded sequence of operations.
func TestIdleConnListKeepsOrder(t *testing.T) {
	var q idleConnList
	var plain []*upstreamConn
	chance := keyhash.Source{Seed: 7}
	conns := make([]*upstreamConn, 20)
	for i := range conns {
		conns[i] = &upstreamConn{id: upstreamConnID(i + 1)}
	}
	for range 2000 {
		conn := conns[int(chance.Float64()*float64(len(conns)))]
		switch at := slices.Index(plain, conn); {
		case chance.Float64() < 0.5:
			q.push(conn)
			if at < 0 {
				plain = append(plain, conn)
			}
		default:
			q.remove(conn)
			if at >= 0 {
				plain = slices.Delete(plain, at, at+1)
			}
		}
		var forward []*upstreamConn
		for conn := q.oldest; conn != nil; conn = conn.newer {
			forward = append(forward, conn)
		}
		var backward []*upstreamConn
		for conn := q.newest; conn != nil; conn = conn.older {
			backward = append(backward, conn)
		}
		slices.Reverse(backward)
		if !slices.Equal(forward, plain) || !slices.Equal(backward, plain) {
			t.Fatalf("%d connections forwards, %d backwards, want %d", len(forward), len(backward), len(plain))
		}
	}
}
