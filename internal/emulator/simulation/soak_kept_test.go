package simulation

import (
	"path/filepath"
	"testing"

	"dahliapin/internal/emulator/scenario"
	"dahliapin/policy"
)

// runKeptSchedules runs the module with schedules of testdata/soak, which a soak once drew and in which the module
// broke a rule.
func runKeptSchedules(t *testing.T, names ...string) {
	t.Helper()
	for _, name := range names {
		t.Run(name, func(t *testing.T) {
			s, err := scenario.Read(filepath.Join("testdata", "soak", name+".toml"))
			if err != nil {
				t.Fatal(err)
			}
			r := runSoakSchedule(t, s, func(*policy.Settings) {})
			if r.Rules != [4]uint64{} {
				t.Errorf("rules %v are broken: %v", r.Rules, r.Breaches)
			}
		})
	}
}

// A cache that was paused, or had a queue, executed a write seconds after the time that it was told for it, when the
// idempotency key of the write was no longer remembered: the write took effect twice.
func TestNoCacheExecutesAKeyedWriteThatIsOver(t *testing.T) {
	runKeptSchedules(t,
		"client-retry-while-paused-358",
		"first-try-while-paused-102",
		"connection-lost-while-queued-220",
		"connection-lost-while-paused-189",
	)
}

// A cache was told the whole time until the deadline for a write whose idempotency key is remembered for less. It
// executed the write within that time, after another cache had executed a repeat: the write took effect twice.
func TestKeyedWriteIsNotExecutedTwiceWithAShortDedupWindow(t *testing.T) {
	runKeptSchedules(t, "connection-lost-while-paused-155", "garbage-answer-then-paused-598")
}

// A cache began to execute the repeat of a write while its idempotency key was remembered, and ended after it was
// forgotten, as the cache was cold or slow. It then applied the write a second time.
func TestCacheRecognizesARepeatAsItBegins(t *testing.T) {
	runKeptSchedules(t, "repeat-begun-in-time-60", "repeat-begun-in-time-481")
}

// A fault made a cold cache slower, and the requests that it had received before that counted as an overload at once.
func TestModuleIsNotBlamedForLoadBeforeASlowdown(t *testing.T) {
	runKeptSchedules(t, "cold-cache-becomes-slow-143", "cold-cache-becomes-slow-6")
}

// Caches restarted while discovery was down, and nodes that could not know of it overloaded them. That breaks no rule.
func TestModuleIsNotBlamedForColdCachesThatItCannotKnowOf(t *testing.T) {
	runKeptSchedules(t, "cold-cache-unknown-535", "cold-cache-unknown-842")
}

// A cold cache that a fault makes many times slower gets as much as before, and falls over after a second. Nodes
// estimate its capacity from its age only, although its answers are late.
func TestModuleSparesAColdCacheThatIsSlow(t *testing.T) {
	runKeptSchedules(t,
		"slow-cold-cache-174",
		"slow-cold-cache-182",
		"slow-cold-cache-328",
		"slow-cold-cache-372",
		"slow-cold-cache-76",
	)
}

// A cancelled attempt arrived after the one that followed it over a faster link, and that counted as a hedge.
func TestRetryThatOvertakesACancelledAttemptIsNoHedge(t *testing.T) {
	runKeptSchedules(t,
		"retry-overtakes-cancelled-attempt-26",
		"retry-overtakes-cancelled-attempt-68",
		"retry-overtakes-cancelled-attempt-563",
	)
}
