// Package node is dahliapin as a library: a routing proxy that another program may embed.
//
// ReadConfig and ParseConfig return a Config, to which a listeners file and a fleet configuration may be added. New
// listens and starts, Serve runs until Shutdown has drained the node, and Reload applies a changed configuration.
// Events, traces and purges are reported to callbacks in Config, each on a goroutine of its own, so they may block.
//
// A Node consists of the proxy with its event loop, the admin server, the fleet member, and the follower of the fleet's
// replicated log. Each part owns its state; the Node passes notifications between them. All goroutines end with Serve,
// except the one that joins the fleet after a takeover, which ends by itself within seconds.
package node
