package controlserver

import (
	"fmt"
	"net"

	"github.com/sirupsen/logrus"

	"dahliapin/internal/control/controlwire"
	"dahliapin/internal/control/purger"
	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
)

// Server is one control server.
type Server struct {
	Config
	id             uint64
	incarnation    uint64 // of a learner, otherwise 0; see incarnation.go
	sharedLog      *sharedLog
	loop           *raftLoop
	peers          map[uint64]*peer // the other control servers; not changed after Open
	status         *statusTable
	purger         *purger.Purger // nil if this server does not run purges at caches
	catchUpPacer   *pacer
	clientListener net.Listener // for nodes and clients
	peerListener   net.Listener // for other control servers
	connections    connections
	lifecycle
}

// Open starts a control server. It returns an error if the data directory cannot be used, or an address cannot be
// listened on. The error is store.ErrEmpty for a voter whose data directory is empty although Config.FirstStart is not
// set.
func Open(config Config) (*Server, error) {
	s := &Server{
		Config:       config,
		id:           config.File.Self().ID,
		incarnation:  newIncarnation(config.File.Self()),
		peers:        map[uint64]*peer{},
		catchUpPacer: &pacer{bytesPerSecond: config.File.Bounds.PaceMB * (1 << 20)},
		connections:  newConnections(),
		lifecycle:    newLifecycle(),
	}
	s.status = newStatusTable(s)
	storage := config.Storage
	if storage == nil {
		var err error
		if storage, err = config.openStorage(); err != nil {
			return nil, err
		}
	}
	if err := s.open(storage); err != nil {
		_ = storage.Close()
		return nil, err
	}
	s.start()
	s.Log.WithFields(logrus.Fields{
		"name":  s.File.Self().Name,
		"id":    s.id,
		"peers": s.peerListener.Addr().String(),
		"nodes": s.clientListener.Addr().String(),
		"last":  s.Last(),
	}).Info("control server listening")
	return s, nil
}

// open loads the state from the storage, listens, and opens the purger.
func (s *Server) open(storage Storage) error {
	var err error
	if s.sharedLog, err = openSharedLog(storage, s.logBounds()); err != nil {
		return err
	}
	if s.loop, err = newRaftLoop(s, storage); err != nil {
		return err
	}
	if s.peerListener, err = net.Listen("tcp", s.File.Control.Peers); err != nil {
		return fmt.Errorf("cannot listen for control servers on %s: %w", s.File.Control.Peers, err)
	}
	if s.clientListener, err = net.Listen("tcp", s.File.Control.Nodes); err != nil {
		_ = s.peerListener.Close()
		return fmt.Errorf("cannot listen for nodes on %s: %w", s.File.Control.Nodes, err)
	}
	if err := s.openPurger(); err != nil {
		_ = s.clientListener.Close()
		_ = s.peerListener.Close()
		return err
	}
	return nil
}

// openPurger starts the purger if the file configures purges at caches.
func (s *Server) openPurger() error {
	if s.File.Purges == nil {
		return nil
	}
	var err error
	s.purger, err = purger.Open(purger.Config{
		Settings:    s.File.Purges,
		ServerCount: len(s.File.Servers),
		Log:         s.sharedLog,
		Dir:         s.File.Control.Data,
		Logger:      s.Log,
		Now:         s.Now,
		OnProgress:  s.OnPurgeProgress,
		Seed:        uint32(keyhash.Salted(keyhash.String(s.File.Control.Label), int(s.id))),
	})
	return err
}

// start starts the goroutines.
func (s *Server) start() {
	for _, other := range s.File.Servers {
		if other.ID != s.id {
			s.peers[other.ID] = startPeer(s, other)
		}
	}
	s.goroutines.Go(s.loop.run)
	s.goroutines.Go(func() { s.sharedLog.wakeReaders(s.closed) })
	s.goroutines.Go(func() {
		s.accept(s.clientListener, s.File.Bounds.Followers+maxClients, controlwire.MaxFrameBytes, s.serveClient)
	})
	s.goroutines.Go(func() { s.accept(s.peerListener, maxPeerStreams, controlwire.MaxPeerFrameBytes, s.servePeer) })
}

// Addr returns the address at which nodes and clients are accepted.
func (s *Server) Addr() string { return s.clientListener.Addr().String() }

// Last returns the index of the newest entry that the server has.
func (s *Server) Last() replicatedlog.Index {
	_, _, last := s.sharedLog.Position()
	return last
}

// Done returns a channel that is closed when the server stops. Err then returns the reason.
func (s *Server) Done() <-chan struct{} { return s.closed }

// Err returns why the server stopped by itself, such as a failed write to disk; nil if it was closed or still runs.
func (s *Server) Err() error {
	if err := s.stopErr.Load(); err != nil {
		return *err
	}
	return nil
}

// Close stops the server and waits for its goroutines.
func (s *Server) Close() {
	s.end(nil)
	s.goroutines.Wait()
	if s.purger != nil {
		s.purger.Close()
	}
	_ = s.loop.storage.Close()
}

// end unblocks all goroutines so that they return. It may be called from any goroutine; Err returns the error of the
// first call.
func (s *Server) end(err error) {
	s.endOnce.Do(func() {
		if err != nil {
			s.stopErr.Store(&err)
			s.Log.WithError(err).Error("control server failed; stopping it")
		}
		close(s.closed)
		_ = s.clientListener.Close()
		_ = s.peerListener.Close()
		s.connections.close()
	})
}
