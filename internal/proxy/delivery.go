package proxy

// undelivered is what the node still has to write of answers that it has begun to write, over all clients.
type undelivered struct {
	streams     int   // streamed values that are not complete
	unsentBytes int64 // written bytes that the kernel has not accepted, because clients read slowly
}

// any reports whether the end of the process would cut off an answer.
func (u undelivered) any() bool { return u.streams > 0 || u.unsentBytes > 0 }

// countUndelivered returns what is undelivered now. It looks at each client connection.
func (p *Proxy) countUndelivered() undelivered {
	var left undelivered
	p.downstream.conns.Each(func(_ clientConnID, client *clientConn) {
		left.unsentBytes += client.socket.Unsent()
		for i := range client.pipeline {
			if client.pipeline[i].streamConn != 0 {
				left.streams++
			}
		}
	})
	return left
}
