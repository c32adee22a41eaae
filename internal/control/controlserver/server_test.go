package controlserver

// PeersAddr is where control machines are heard.
func (s *Server) PeersAddr() string { return s.peerListener.Addr().String() }

// Leads tells whether it is the leader, as far as it knows.
func (s *Server) Leads() bool { return s.loop.leadership.Load().isLeader }
