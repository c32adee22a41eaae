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
//   - QuickDelete is sent as soon as the purge has arrived in this server's log. It stops almost all readers from being
//     served the old value, but does not make the purge done. It is omitted if the ConfirmingDelete is already due;
//   - ConfirmingDelete is sent once Config.MaxFillTime has passed since the purge was requested. Every fill that could
//     have read the old value has stored it by then, so this delete removes it; later fills read the new value.
//
// A purge is requested at the time when this server is asked to order it; the origin was written before that. At
// servers that were not asked, MaxFillTime counts from the purge's arrival (ArrivalTimes), which is later.
//
// Cursor.Done is the index up to which all purges are done at a cache. It usually advances when the cache has answered
// a ConfirmingDelete. Entries that need no command, such as a purge of an invalid key, are passed over. Cursor.Done
// also changes with the second flush of the cache, with the cursor of another control server (Cache.MergeCursor), and
// with a restart of the cache, as described below.
//
// # Flushes
//
// If the log no longer retains entries that the cache lacks, the purged keys are not known and the whole cache has to
// be emptied, twice for the same reason; the two flushes replace the deletes of all purges before the first one. A
// flush sends the cache's load to the origin. Other control servers therefore get some time first to report that they
// have carried out the purges, and a FlushLimiter spaces the flushes of several caches.
//
// A new log that replaces the current one has indexes of its own, and does not contain the purges that the cache lacks.
// The cache is then flushed twice after the replacement, whatever was done before. The progress of a flush is not
// stored, so both flushes also start over after a restart of the control server.
//
// # Restarts of a cache
//
// A restarted cache is empty, but fills that began before the restart may still reach it. The list of caches states
// when each process was started (Incarnation). For a new process Cursor.Done is set to Cursor.SafeAfterRestart, which
// covers only purges so old that all fills of earlier values were over while the list still named the old process. The
// new process needs no commands for these purges. Cursor.Done usually falls by that, but rises if the old process was
// unreachable for a long time.
//
// # Invariants
//
//   - Except for entries that need no command, and purges up to Cursor.SafeAfterRestart after a restart of the cache,
//     the cursor is never ahead of what the cache has answered, to this server or to the one that reported the cursor.
//   - The cursor falls only with another process of the cache or another log.
//   - At most MaxInFlight commands are unanswered, and answers are matched in the order of the commands.
//
// Cache and ArrivalTimes are not safe for concurrent use.
package purge
