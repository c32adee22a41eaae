// Package node is dahliapin as a library: one router on sockets that another program may embed.
//
// ReadConfig and ParseConfig return a Config, to which the operator's file and the fleet's may be added. New listens
// and starts, Serve runs until Shutdown has drained the node, and Reload takes a changed configuration. Events, traces
// and purges are reported through functions of Config, each on a goroutine of its own, so that they may take their
// time.
//
// A Node joins its parts: the proxy with its event loop, the admin server, the membership with the other nodes, and
// the follower of the fleet's log of changes. Each part owns its state; a Node holds them, and passes on what one has
// to know of another. Goroutines end with Serve, but for the one that joins the fleet after a takeover, which ends by
// itself within seconds.
package node
