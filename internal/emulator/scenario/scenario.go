package scenario

import (
	"dahliapin/internal/config/listeners"
)

// Scenario is the content of a rehearsal file.
type Scenario struct {
	Name       string            `toml:"name"`
	About      string            `toml:"about"`
	Seed       int64             `toml:"seed"`
	Seconds    float64           `toml:"seconds"`
	Fleet      Fleet             `toml:"fleet"`
	Origin     Origin            `toml:"origin"`
	Network    Network           `toml:"network"`
	Discovery  Discovery         `toml:"discovery"`
	Allowed    Allowed           `toml:"allowed"`
	Traffic    Traffic           `toml:"traffic"`
	Classes    []Class           `toml:"grade"`
	Events     []Event           `toml:"event"`
	Expect     Expect            `toml:"expect"`
	Levels     []listeners.Level `toml:"level,omitempty"` // degradation levels of all nodes
	Membership *Membership       `toml:"together"`
}

// Fleet describes the caches and nodes.
type Fleet struct {
	Nodes int `toml:"nodes"`
	// Stated is the number of nodes in the settings of nodes, if it differs from the number running; 0 for Nodes.
	Stated       int        `toml:"stated"`
	Caches       int        `toml:"caches"`
	Zones        []string   `toml:"zones"`
	Spread       bool       `toml:"spread"` // distributes nodes over all zones instead of placing all in the first
	Group        int        `toml:"group"`  // number of caches in a group; the caches of a group share deduplication
	Cores        int        `toml:"cores"`
	Queue        int        `toml:"queue"`
	Speed        [2]float64 `toml:"speed"`
	Keys         int        `toml:"keys"`
	Warm         bool       `toml:"warm"` // caches start with the content that they would have after long service
	ColdFrom     float64    `toml:"cold_from"`
	ColdS        float64    `toml:"cold_s"`
	FallMultiple float64    `toml:"fall_multiple"`
	FallS        float64    `toml:"fall_s"`
	Connections  int        `toml:"connections"`
	HandshakeMs  float64    `toml:"handshake_ms"`
	IdleS        float64    `toml:"idle_s"`
	Reports      bool       `toml:"reports"`
	Protocol     string     `toml:"protocol"` // of caches: meta or http; ignored in virtual time, which has no bytes
}

// Origin describes the origin behind the caches in aside mode.
type Origin struct {
	Cores        int     `toml:"cores"`
	Queue        int     `toml:"queue"`
	WorkMs       float64 `toml:"work_ms"`
	StallAt      int     `toml:"stall_at"`
	Stall        float64 `toml:"stall"`
	FallMultiple float64 `toml:"fall_multiple"`
	FallS        float64 `toml:"fall_s"`
}

// Network describes the links between clients, nodes, caches and origin.
type Network struct {
	OneWayMs    float64 `toml:"one_way_ms"`
	CrossZoneMs float64 `toml:"cross_zone_ms"`
	ClientMs    float64 `toml:"client_ms"`
	Jitter      float64 `toml:"jitter"`
	// The following fields exist in virtual time only.
	LateShare float64 `toml:"late_share"` // share of new connections to caches that are established late
	LateMs    float64 `toml:"late_ms"`    // largest delay of these
	LostShare float64 `toml:"lost_share"` // share of the answers of caches that are lost
}

// Discovery describes the delay with which changes of the endpoint list reach nodes. If WatchMs is set, nodes poll
// discovery as in production, and polls beyond its backlog are refused. Otherwise changes are delivered without polls.
type Discovery struct {
	NoticeS   [2]float64 `toml:"notice_s"`
	WatchMs   float64    `toml:"watch_ms"`
	WholeMs   float64    `toml:"whole_ms"`
	BacklogMs float64    `toml:"backlog_ms"`
}

// Allowed holds what the deployment permits nodes to do, and the limits for it.
type Allowed struct {
	Mode         string  `toml:"mode"`
	MaxAttempts  int     `toml:"most_legs"`
	Hedging      bool    `toml:"second_copies"`
	Cancel       bool    `toml:"cancel"`
	Probes       bool    `toml:"probes"`
	RetryAfterMs float64 `toml:"come_back_ms"`
	GraceMs      float64 `toml:"grace_ms"`
	ConnectMs    float64 `toml:"connect_ms"`
	WastePrice   float64 `toml:"waste_price"`
	SlackMs      float64 `toml:"slack_ms"`       // tolerance for messages in transit, on sockets; 0 for the default
	LateAnswerMs float64 `toml:"late_answer_ms"` // time after the deadline for a final answer; 0 for slack_ms
}

// Traffic describes the requests of clients.
type Traffic struct {
	PerSecond float64 `toml:"per_second"`
	Swing     float64 `toml:"swing"`
	WaveS     float64 `toml:"wave_s"`
	Keys      int     `toml:"keys"`
	Zipf      float64 `toml:"zipf"`
	Jitter    float64 `toml:"jitter"`
	// Skew is the exponent of the power law by which traffic decreases with a node's number; 0 for even traffic. It
	// exists in virtual time only.
	Skew     float64 `toml:"skew"`
	Leaves   float64 `toml:"leaves"`   // share of tries whose clients leave early
	LeaveMs  float64 `toml:"leave_ms"` // latest time at which such a client leaves
	Short    float64 `toml:"short"`    // share of tries with a deadline shorter than that of their class
	ShortMs  float64 `toml:"short_ms"` // longest such deadline; the shortest is half of it
	Protocol string  `toml:"protocol"` // of clients
	// LongShare is the share of keys with a long value. It exists on sockets only, as virtual time has no bytes.
	LongShare float64 `toml:"long_share"`
	LongKB    int     `toml:"long_kb"`
	// UntilKill makes clients use the open connections of a terminating node until it is killed, which happens at the
	// earliest permitted time. It exists on sockets only.
	UntilKill bool `toml:"until_kill"`
}

// Class is a service class, which the files call a grade.
type Class struct {
	Name    string  `toml:"name"`
	Share   float64 `toml:"share"`
	Benefit float64 `toml:"benefit"`
	Effect  string  `toml:"effect"`
	Scope   string  `toml:"scope"`
	Write   bool    `toml:"write"`
	SoftMs  float64 `toml:"soft_ms"`
	HardMs  float64 `toml:"hard_ms"`
	WorkMs  float64 `toml:"work_ms"`
	WindowS float64 `toml:"window_s"`
	Tries   int     `toml:"tries"`
}

// Event is a fault or an operation at a time.
type Event struct {
	AtS    float64  `toml:"at_s,omitempty"`
	Do     string   `toml:"do,omitempty"`
	Caches []string `toml:"caches,omitempty"`
	Part   float64  `toml:"part,omitempty"` // share of caches or nodes, chosen by the seed, instead of Caches or Nodes
	Zone   string   `toml:"zone,omitempty"` // selects all caches in a zone
	Nodes  []int    `toml:"nodes,omitempty"`
	OverS  float64  `toml:"over_s,omitempty"` // time over which the event affects caches or nodes one after the other
	Factor float64  `toml:"factor,omitempty"`
	Share  float64  `toml:"share,omitempty"`
	Rank   int      `toml:"rank,omitempty"`
	Count  int      `toml:"count,omitempty"`
	ForS   float64  `toml:"for_s,omitempty"`
	Fault  string   `toml:"fault,omitempty"`
	From   []int    `toml:"from,omitempty"`    // senders of the affected messages; empty for all nodes
	To     []int    `toml:"to,omitempty"`      // receivers of the affected messages; empty for all nodes
	Both   bool     `toml:"both,omitempty"`    // affects the opposite direction as well
	TurnS  float64  `toml:"turn_s,omitempty"`  // interval at which the fault is switched on and off
	LateMs float64  `toml:"late_ms,omitempty"` // maximum delay of messages
}

// Expect lists the expectations of a run in addition to the four rules, which must always hold.
type Expect struct {
	// Satisfied is the minimum share of first tries that are satisfied within the soft limit, by class.
	Satisfied     map[string]float64 `toml:"satisfied"`
	P99Ms         map[string]float64 `toml:"p99_ms"`
	Avoided       []Avoidance        `toml:"avoided"`
	Drained       []string           `toml:"drained"`
	MaxOriginPerS float64            `toml:"origin_most_per_s"` // attempts at the origin in any second
	// RecoveredBy is the time, in seconds, from which results must be no worse than before the first event.
	RecoveredBy           float64            `toml:"recovered_by_s"`
	MaxPerS               map[string]float64 `toml:"most_per_s"` // counts of all nodes in any second, by CountNames
	MaxAttemptsPerRequest float64            `toml:"most_legs_per_request"`
	// Views is the maximum number of view changes at a node without a fault, after all views have formed.
	Views *int `toml:"most_view_changes"`
}

// CountNames are the names of the counts of all nodes that a scenario can limit per second.
var CountNames = []string{"list_calls", "dials", "full_dials", "probes", "misses", "origin_legs", "vain_legs"}

// Avoidance is the expectation that nodes avoid a server from a time on.
type Avoidance struct {
	Server string  `toml:"server"`
	ByS    float64 `toml:"by_s"`
}
