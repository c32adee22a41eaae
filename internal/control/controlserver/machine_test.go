package controlserver

// PeersAddr is where control machines are heard.
func (m *Server) PeersAddr() string { return m.others.Addr().String() }

// Leads tells whether it is the leader, as far as it knows.
func (m *Server) Leads() bool { return m.lead.Load().leads }
