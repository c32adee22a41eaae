// Package purge decides how a control server carries the purges of the replicated log out at one cache: which command
// is due, what counts as done, and when to try again. It does no I/O; time and random numbers are arguments. Package
// purger has the connections.
//
// # Why a second delete is needed
//
// A cache fills a key by reading the origin and then storing what it got. A fill that read the old value before the
// origin was written may store it after the delete of the purge has passed, and the old value would be served until
// it expires. No single delete can prevent that, since the fill is not visible to it. So each key is deleted twice:
//
//   - QuickDelete, as soon as the purge is known. It ends the old value's service for almost all readers, and counts
//     for nothing else;
//   - ConfirmingDelete, once Config.LongestFill has passed since the purge was known. Every fill that could have read
//     the old value has stored it by then, so this delete removes it, and later fills read the new one.
//
// A purge is done at a cache when the cache has answered the ConfirmingDelete. The Cursor says up to where all purges
// are done.
//
// The time counts from when this server was asked to have the purge ordered, where that was the case: the origin was
// written before that. Elsewhere it counts from the purge's arrival in the log (ArrivalTimes).
//
// # Flushes
//
// Where entries that the cache lacks are no longer kept, the keys are not known, and everything in the cache has to
// go: twice, for the same reason. A flush sends the cache's load to the origin, so other control servers get some
// time to say that they have done the purges, and a FlushLimiter spaces the flushes of several caches.
//
// # Restarts of a cache
//
// A cache that was restarted is empty, but fills which began at the old process's time may reach it. The list of
// caches states when each process was started (Incarnation). With a new one the cursor falls back to
// Cursor.SafeAfterRestart: purges so old that all fills of values before them were over while the list still had the
// old process.
//
// # Invariants
//
//   - The cursor is never ahead of what the cache has answered.
//   - It falls only with another process of the cache or another log.
//   - At most MaxInFlight commands are unanswered, and answers are matched in the order of the commands.
//
// A Cache and the ArrivalTimes are used by one goroutine at a time.
package purge
