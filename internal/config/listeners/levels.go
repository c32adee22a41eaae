package listeners

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
	"dahliapin/policy"
)

// LevelInterval is the time between two evaluations of the degradation level, and so the least stay in one. An
// attempt takes milliseconds and a fault lasts seconds.
const LevelInterval = time.Second

const (
	maxLevels    = 8                // an operator has to tell them apart at night
	maxLevelStay = 10 * time.Minute // of the least stay that may be stated
)

// Shares are shares, from 0 to 1, of the attempts and requests of one evaluation. As a bound, 0 stands for none.
type Shares struct {
	Late          float64 `toml:"late"`        // attempts answered after the latency objective
	Lost          float64 `toml:"lost"`        // attempts that failed, broke or timed out
	CacheRejected float64 `toml:"turned_away"` // attempts rejected by caches at capacity
	OriginLate    float64 `toml:"origin_late"` // late or lost attempts at the origin, of those there
	Rejected      float64 `toml:"rejected"`    // requests rejected by the policy, of those that the level admits
}

// Level is a degradation level: a state of the node in which it sheds some service classes.
type Level struct {
	Name     string   `toml:"name"`
	Enter    Shares   `toml:"enter"`  // the level is entered once a share has reached its bound
	Leave    Shares   `toml:"leave"`  // shed load is readmitted while all shares are below their bounds
	MinStayS float64  `toml:"stay_s"` // the least stay, in seconds
	Shed     []string `toml:"shed"`   // names of the service classes whose requests are rejected
}

// MinStay returns the least time that a node stays at the level.
func (l *Level) MinStay() time.Duration { return fromSeconds(l.MinStayS) }

// CheckLevels checks a file's degradation levels, which stand there as "level". Their service classes must be those
// of the deployment, and idempotent.
func CheckLevels(c *strictconfig.Checker, levels []Level, deployment *settings.Settings) {
	c.Require(len(levels) <= maxLevels, "level", "more than %d", maxLevels)
	for i := range levels {
		levels[i].check(c, fmt.Sprintf("level.%d.", i), levels[:i], deployment)
	}
}

func (l *Level) check(c *strictconfig.Checker, prefix string, earlier []Level, deployment *settings.Settings) {
	isSame := func(other Level) bool { return other.Name == l.Name }
	isUnique := l.Name != "" && !slices.ContainsFunc(earlier, isSame)
	c.Require(isUnique, prefix+"name", "%q is no name of its own", l.Name)
	c.InRange(l.MinStayS, LevelInterval.Seconds(), maxLevelStay.Seconds(), prefix+"stay_s")
	l.checkBounds(c, prefix)
	l.checkShed(c, prefix, deployment)
}

func (l *Level) checkBounds(c *strictconfig.Checker, prefix string) {
	canBeEntered := false
	check := func(field string, enter, leave float64) {
		canBeEntered = canBeEntered || enter > 0
		c.InRange(enter, 0, 1, prefix+"enter."+field)
		isBelow := enter == 0 && leave == 0 || leave > 0 && leave < enter
		c.Require(isBelow, prefix+"leave."+field,
			"%v is not above 0 and under %v, at which the level is entered", leave, enter)
	}
	check("late", l.Enter.Late, l.Leave.Late)
	check("lost", l.Enter.Lost, l.Leave.Lost)
	check("turned_away", l.Enter.CacheRejected, l.Leave.CacheRejected)
	check("origin_late", l.Enter.OriginLate, l.Leave.OriginLate)
	check("rejected", l.Enter.Rejected, l.Leave.Rejected)
	c.Require(canBeEntered, prefix+"enter", "nothing enters it")
}

func (l *Level) checkShed(c *strictconfig.Checker, prefix string, deployment *settings.Settings) {
	path := prefix + "shed"
	classes := deployment.Policy.Classes
	c.Require(len(l.Shed) > 0, path, "names no grade")
	for _, name := range l.Shed {
		class := deployment.Names.Class([]byte(name))
		if class < 0 {
			c.Require(false, path, "the deployment states no grade %q", name)
			continue
		}
		isIdempotent := classes[class].Idempotency == policy.Idempotent
		c.Require(isIdempotent, path, "%q may have an effect, and is never shed", name)
	}
	c.Require(len(l.Shed) < len(classes), path, "leaves no grade")
}
