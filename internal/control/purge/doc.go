// Package purge decides how a control server carries out the purges of the replicated log at one cache: which command
// is due, what counts as done, and when to retry. It does no I/O; time and random numbers are arguments. Package purger
// manages the connections.
//
// # Why a second delete is needed
//
// A cache fills a key by reading the value from the origin and then storing it. A fill that read the old value before
// the origin was written may store it after the purge's delete was executed, and the cache would serve the old value
// until it expires. A single delete cannot prevent that, since it has no effect on a fill under way. Each key is
// therefore deleted twice:
//
//   - QuickDelete is sent as soon as the purge is known. It stops almost all readers from being served the old value,
//     but does not make the purge done;
//   - ConfirmingDelete is sent once Config.MaxFillTime has passed since the purge was known. Every fill that could have
//     read the old value has stored it by then, so this delete removes it; later fills read the new value.
//
// A purge is done at a cache when the cache has answered the ConfirmingDelete. The Cursor is the index up
// to which all purges are done.
//
// MaxFillTime counts from the time at which this server was asked to order the purge, since the origin was written
// before that. At servers that were not asked, it counts from the purge's arrival in the log (ArrivalTimes).
//
// # Flushes
//
// If the log no longer retains entries that the cache lacks, the purged keys are not known and the whole cache has to
// be emptied, twice for the same reason. A flush sends the cache's load to the origin. Other control servers therefore
// get some time first to report that they have carried out the purges, and a FlushLimiter spaces the flushes of several
// caches.
//
// # Restarts of a cache
//
// A restarted cache is empty, but fills that began before the restart may still reach it. The list of caches states
// when each process was started (Incarnation). For a new process the cursor falls back to Cursor.SafeAfterRestart,
// which covers only purges so old that all fills of earlier values were over while the list still named the old
// process.
//
// # Invariants
//
//   - The cursor is never ahead of what the cache has answered.
//   - The cursor falls only with another process of the cache or another log.
//   - At most MaxInFlight commands are unanswered, and answers are matched in the order of the commands.
//
// Cache and ArrivalTimes are not safe for concurrent use.
package purge
