package scenario

import (
	"dahliapin/internal/config/listeners"
)

// Scenario is the content of one rehearsal file.
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
	Levels     []listeners.Level `toml:"level,omitempty"` // of all nodes
	Membership *Membership       `toml:"together"`
}

// Fleet describes the caches and nodes.
type Fleet struct {
	Nodes        int        `toml:"nodes"`
	Stated       int        `toml:"stated"` // number of nodes in the settings, if it differs from those running; 0 for Nodes
	Caches       int        `toml:"caches"`
	Zones        []string   `toml:"zones"`
	Spread       bool       `toml:"spread"` // nodes are distributed over all zones, not all in the first
	Group        int        `toml:"group"`  // number of caches in a group, which share deduplication
	Cores        int        `toml:"cores"`
	Queue        int        `toml:"queue"`
	Speed        [2]float64 `toml:"speed"`
	Keys         int        `toml:"keys"`
	Warm         bool       `toml:"warm"` // caches start with the content that long service would leave
	ColdFrom     float64    `toml:"cold_from"`
	ColdS        float64    `toml:"cold_s"`
	FallMultiple float64    `toml:"fall_multiple"`
	FallS        float64    `toml:"fall_s"`
	Connections  int        `toml:"connections"`
	HandshakeMs  float64    `toml:"handshake_ms"`
	IdleS        float64    `toml:"idle_s"`
	Reports      bool       `toml:"reports"`
	Protocol     string     `toml:"protocol"` // of caches: meta or http; on sockets only, as virtual time has no bytes
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
	LateShare   float64 `toml:"late_share"` // of new connections to caches, which come up late; this and the next two in virtual time only
	LateMs      float64 `toml:"late_ms"`    // by so much at the most
	LostShare   float64 `toml:"lost_share"` // of the answers of caches, which never come
}

// Discovery describes how late changes of the endpoint list reach nodes. If WatchMs is set, nodes poll it as in
// production and polls beyond its backlog are refused; otherwise changes are delivered without polls.
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
	SlackMs      float64 `toml:"slack_ms"`       // that what crosses may take, on sockets; 0 for a usual time
	LateAnswerMs float64 `toml:"late_answer_ms"` // after its deadline that a final answer may come; 0 for slack_ms
}

// Traffic describes the requests of clients.
type Traffic struct {
	PerSecond float64 `toml:"per_second"`
	Swing     float64 `toml:"swing"`
	WaveS     float64 `toml:"wave_s"`
	Keys      int     `toml:"keys"`
	Zipf      float64 `toml:"zipf"`
	Jitter    float64 `toml:"jitter"`
	Skew      float64 `toml:"skew"`       // exponent of how uneven nodes' traffic is, by their numbers; in virtual time only, 0 for even
	Leaves    float64 `toml:"leaves"`     // share of tries whose clients go early
	LeaveMs   float64 `toml:"leave_ms"`   // and after how long at the latest
	Short     float64 `toml:"short"`      // share of tries whose clients wait less than the deadline
	ShortMs   float64 `toml:"short_ms"`   // and how long at the most; half of that at the least
	Protocol  string  `toml:"protocol"`   // of clients
	LongShare float64 `toml:"long_share"` // of the keys, which have a long value; on sockets only, as virtual time has no bytes
	LongKB    int     `toml:"long_kb"`
	UntilKill bool    `toml:"until_kill"` // clients use open connections until a node that was told to end is killed, at the earliest time; on sockets only
}

// Class is one service class.
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
	Part   float64  `toml:"part,omitempty"` // of the caches or nodes, chosen by the seed, instead of names or numbers
	Zone   string   `toml:"zone,omitempty"` // all caches there
	Nodes  []int    `toml:"nodes,omitempty"`
	OverS  float64  `toml:"over_s,omitempty"` // time over which the affected caches or nodes follow one another
	Factor float64  `toml:"factor,omitempty"`
	Share  float64  `toml:"share,omitempty"`
	Rank   int      `toml:"rank,omitempty"`
	Count  int      `toml:"count,omitempty"`
	ForS   float64  `toml:"for_s,omitempty"`
	Fault  string   `toml:"fault,omitempty"`
	From   []int    `toml:"from,omitempty"`    // nodes whose messages to others it concerns; none for all
	To     []int    `toml:"to,omitempty"`      // nodes to which
	Both   bool     `toml:"both,omitempty"`    // and the other way
	TurnS  float64  `toml:"turn_s,omitempty"`  // interval at which the fault switches on and off
	LateMs float64  `toml:"late_ms,omitempty"` // largest delay of messages
}

// Expect lists the expectations of a run besides the four rules, which must always hold.
type Expect struct {
	Satisfied             map[string]float64 `toml:"satisfied"` // share of first tries of a grade that were satisfied within the soft limit
	P99Ms                 map[string]float64 `toml:"p99_ms"`
	Avoided               []Avoidance        `toml:"avoided"`
	Drained               []string           `toml:"drained"`
	MaxOriginPerS         float64            `toml:"origin_most_per_s"` // attempts at the origin in any second
	RecoveredBy           float64            `toml:"recovered_by_s"`    // from then on, no worse than before the first event
	MaxPerS               map[string]float64 `toml:"most_per_s"`        // over the whole fleet, of what Counted names
	MaxAttemptsPerRequest float64            `toml:"most_legs_per_request"`
	Views                 *int               `toml:"most_view_changes"` // at any node without a fault, after all views had formed
}

// CountNames are the names of the counts over all nodes that a scenario may bound for any second.
var CountNames = []string{"list_calls", "dials", "full_dials", "probes", "misses", "origin_legs", "vain_legs"}

// Avoidance expects that a server is avoided by a time.
type Avoidance struct {
	Server string  `toml:"server"`
	ByS    float64 `toml:"by_s"`
}
