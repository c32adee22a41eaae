package listeners

import (
	"fmt"
	"slices"
	"time"

	"dahliapin/internal/config/settings"
	"dahliapin/internal/config/strictconfig"
	"dahliapin/policy"
)

// LevelInterval is the time between evaluations of the degradation level, and so the minimum stay at a level. An
// attempt takes milliseconds and a fault lasts seconds.
const LevelInterval = time.Second

const (
	maxLevels    = 8                // few enough for an operator to tell apart during an incident at night
	maxLevelStay = 10 * time.Minute // maximum of Level.MinStayS
)

// Shares holds shares, from 0 to 1, of the attempts or requests within one evaluation interval. In a set of bounds, 0
// means no bound.
type Shares struct {
	Late          float64 `toml:"late"`        // attempts answered after the latency objective
	Lost          float64 `toml:"lost"`        // attempts that failed, broke or timed out
	CacheRejected float64 `toml:"turned_away"` // attempts rejected by caches at capacity
	OriginLate    float64 `toml:"origin_late"` // late or lost attempts at the origin, of those there
	Rejected      float64 `toml:"rejected"`    // requests rejected by the policy, of those that the level does not shed
}

// Level is a degradation level: a state of the node in which it sheds some service classes.
type Level struct {
	Name     string   `toml:"name"`
	Enter    Shares   `toml:"enter"`  // the level is entered when a share reaches its bound
	Leave    Shares   `toml:"leave"`  // shed load is readmitted while all shares are below their bounds
	MinStayS float64  `toml:"stay_s"` // minimum stay, in seconds
	Shed     []string `toml:"shed"`   // names of the service classes whose requests are rejected
}

// MinStay returns the minimum time that a node stays at the level.
func (l *Level) MinStay() time.Duration { return fromSeconds(l.MinStayS) }

// CheckLevels checks the degradation levels of a file, which has them under the path "level". The service classes that
// they shed must be defined by the deployment's settings and be idempotent.
func CheckLevels(c *strictconfig.Checker, levels []Level, deployment *settings.Settings) {
	c.Require(len(levels) <= maxLevels, "level", "more than %d levels", maxLevels)
	for i := range levels {
		levels[i].check(c, fmt.Sprintf("level.%d.", i), levels[:i], deployment)
	}
}

func (l *Level) check(c *strictconfig.Checker, prefix string, earlier []Level, deployment *settings.Settings) {
	isSame := func(other Level) bool { return other.Name == l.Name }
	isUnique := l.Name != "" && !slices.ContainsFunc(earlier, isSame)
	c.Require(isUnique, prefix+"name", "%q is empty or a duplicate", l.Name)
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
			"%v is not above 0 and below %v, the bound for entering the level", leave, enter)
	}
	check("late", l.Enter.Late, l.Leave.Late)
	check("lost", l.Enter.Lost, l.Leave.Lost)
	check("turned_away", l.Enter.CacheRejected, l.Leave.CacheRejected)
	check("origin_late", l.Enter.OriginLate, l.Leave.OriginLate)
	check("rejected", l.Enter.Rejected, l.Leave.Rejected)
	c.Require(canBeEntered, prefix+"enter", "no bound is set, so the level is never entered")
}

func (l *Level) checkShed(c *strictconfig.Checker, prefix string, deployment *settings.Settings) {
	path := prefix + "shed"
	classes := deployment.Policy.Classes
	c.Require(len(l.Shed) > 0, path, "no grades are given")
	for _, name := range l.Shed {
		class := deployment.Names.Class([]byte(name))
		if class < 0 {
			c.Require(false, path, "the settings define no grade %q", name)
			continue
		}
		isIdempotent := classes[class].Idempotency == policy.Idempotent
		c.Require(isIdempotent, path, "%q is not idempotent and cannot be shed", name)
	}
	c.Require(len(l.Shed) < len(classes), path, "all grades would be shed")
}
