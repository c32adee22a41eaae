package purge

import (
	"fmt"
	"testing"
	"time"

	"dahliapin/internal/control/replicatedlog"
	"dahliapin/internal/keyhash"
	"dahliapin/internal/monotime"
)

const (
	modelStep     = 50 * time.Millisecond
	modelDuration = 10 * time.Minute
	modelKeys     = 6
	modelKept     = 150 // entries of the log
)

// variant is how a control server is broken; the zero one but for fills is sound.
type variant struct {
	name           string
	fills          time.Duration // the longest fill that it counts on
	cursorLeads    bool          // its cursor on disk is ahead of what was answered
	startsAtNewest bool          // it takes a cache that returns for one without old values
	keepsCursor    bool          // its cursor holds for another process of the cache
	breaks         bool          // whether an old value is to be found
}

// A cache and a control server live through ten minutes of purges, fills of random length, cut connections, restarts
// of the cache and kills of the server. The cache never holds a value that is older than what the cursor says is
// purged. The broken variants show that the check sees it.
func TestNoValueIsOlderThanTheCursor(t *testing.T) {
	for _, v := range []variant{
		{name: "sound", fills: testConfig.LongestFill},
		{name: "no confirming delete", breaks: true},
		{name: "a cursor that leads", fills: testConfig.LongestFill, cursorLeads: true, breaks: true},
		{name: "a cache that returns is current", fills: testConfig.LongestFill, startsAtNewest: true, breaks: true},
		{name: "a cursor of the process before", fills: testConfig.LongestFill, keepsCursor: true, breaks: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			oldValues := 0
			for seed := range uint32(20) {
				m := newModel(t, v, seed)
				oldValues += m.run()
			}
			if (oldValues > 0) != v.breaks {
				t.Errorf("%d old values", oldValues)
			}
		})
	}
}

// modelFill is a fill under way.
type modelFill struct {
	key     int
	value   int // 1 more than the origin's version, so that 0 is for none
	storeAt monotime.Instant
}

// modelWrite is a write at the origin whose purge is not ordered yet.
type modelWrite struct {
	key, version           int
	requestedAt, orderedAt monotime.Instant
}

// model is a cache and its surroundings; the bench has the control server.
type model struct {
	*bench
	variant
	random keyhash.Source
	seed   uint32

	origin    [modelKeys]int              // versions
	cached    map[int]int                 // by key, as modelFill.value
	fills     []modelFill                 // under way
	writes    []modelWrite                // not ordered yet
	versions  map[replicatedlog.Index]int // that purges are of
	orderedAt monotime.Instant            // of the last write

	started   Incarnation // the cache's process
	listed    Incarnation // and as the list has it
	listedAt  monotime.Instant
	cutSteps  int // steps for which the connection is cut
	downSteps int // steps for which the cache is down

	disk     Cursor // the control server's
	checked  replicatedlog.Index
	purged   [modelKeys]int // versions that are purged, up to checked
	mostDone replicatedlog.Index
}

func newModel(t *testing.T, v variant, seed uint32) *model {
	m := &model{
		bench:    newBench(t),
		variant:  v,
		random:   keyhash.Source{Seed: seed},
		seed:     seed,
		cached:   map[int]int{},
		versions: map[replicatedlog.Index]int{},
		started:  1,
		listed:   1,
	}
	m.Cache = NewCache(m.config(), Cursor{}, m.now)
	m.log.requestedAt = map[replicatedlog.Index]monotime.Instant{}
	return m
}

func (m *model) config() Config {
	return Config{LongestFill: m.variant.fills, CommandInterval: testConfig.CommandInterval}
}

func (m *model) chance(probability float64) bool { return m.random.Float64() < probability }

func (m *model) randomDuration(most float64) time.Duration {
	return time.Duration(m.random.Float64() * most)
}

func (m *model) randomKey() int { return int(m.random.Float64() * modelKeys) }

// run returns how often a value was older than the cursor said.
func (m *model) run() int {
	oldValues := 0
	for step := range int(modelDuration / modelStep) {
		m.wait(modelStep)
		m.write()
		m.orderWrites()
		m.fill()
		m.fail()
		m.list()
		m.exchange()
		oldValues += m.countOldValues()
		m.mostDone = max(m.mostDone, m.Cursor().Done)
		if step%20 == 0 {
			m.disk = m.Cursor()
		}
	}
	if m.mostDone < 1000 {
		m.t.Errorf("seed %d: only %d of %d done, %+v", m.seed, m.mostDone, m.log.last(), m.Cursor())
	}
	return oldValues
}

// write writes a key at the origin now and then, and requests its purge.
func (m *model) write() {
	if !m.chance(0.2) {
		return
	}
	key := m.randomKey()
	m.origin[key]++
	m.orderedAt = max(m.orderedAt, m.now.Add(m.randomDuration(2e9)))
	write := modelWrite{key: key, version: m.origin[key], requestedAt: m.now, orderedAt: m.orderedAt}
	m.writes = append(m.writes, write)
}

// orderWrites puts purges into the log whose time has come.
func (m *model) orderWrites() {
	for len(m.writes) > 0 && m.writes[0].orderedAt <= m.now {
		write := m.writes[0]
		m.writes = m.writes[1:]
		m.publish(fmt.Sprint(write.key))
		m.versions[m.log.last()] = write.version
		if m.log.last()%3 > 0 { // the others were requested at another server
			m.log.requestedAt[m.log.last()] = write.requestedAt
		}
	}
	m.log.floor = replicatedlog.Index(max(0, len(m.log.entries)-modelKept))
}

// fill begins a fill of a key that is not cached, and stores the values of those that are over.
func (m *model) fill() {
	key := m.randomKey()
	if m.downSteps == 0 && m.cached[key] == 0 {
		storeAt := m.now.Add(m.randomDuration(float64(testConfig.LongestFill)))
		m.fills = append(m.fills, modelFill{key: key, value: m.origin[key] + 1, storeAt: storeAt})
	}
	underWay := m.fills[:0]
	for _, fill := range m.fills {
		if fill.storeAt > m.now {
			underWay = append(underWay, fill)
		} else if m.downSteps == 0 {
			m.cached[fill.key] = fill.value
		}
	}
	m.fills = underWay
}

// fail cuts the connection, restarts the cache or kills the control server now and then.
func (m *model) fail() {
	switch {
	case m.chance(0.0015):
		m.cutSteps = int(m.random.Float64() * 1200)
	case m.chance(0.001):
		m.downSteps = int(m.random.Float64() * 200)
		m.started++
		m.listedAt = m.now.Add(m.randomDuration(6e9))
		clear(m.cached)
	case m.chance(0.001):
		if m.cursorLeads {
			m.disk.Log = m.log.id
			m.disk.Done = m.log.last()
		}
		m.Cache = NewCache(m.config(), m.disk, m.now)
		m.arrivals = ArrivalTimes{}
		m.record()
	}
	m.cutSteps = max(0, m.cutSteps-1)
	m.downSteps = max(0, m.downSteps-1)
}

// list tells the control server which process of the cache the list has.
func (m *model) list() {
	if m.downSteps == 0 && m.now >= m.listedAt {
		m.listed = m.started
	}
	before := m.Cursor()
	m.OnListed(m.now, m.listed, &m.arrivals)
	if m.keepsCursor && m.Cursor().Done < before.Done {
		m.forceCursor(Cursor{Log: before.Log, Started: m.listed, Done: before.Done})
	}
}

// exchange sends commands and takes answers, as far as there is a connection.
func (m *model) exchange() {
	if m.cutSteps > 0 || m.downSteps > 0 {
		if m.AnswerOverdue(m.now) || m.chance(0.01) {
			m.OnDisconnect(m.now, 0)
		}
		m.sendAll()
		if m.startsAtNewest && m.cutSteps+m.downSteps == 1 {
			m.forceCursor(Cursor{Log: m.log.id, Started: m.listed, Done: m.log.last()})
		}
		return
	}
	m.sendAll()
	for len(m.inFlight) > 0 && m.chance(0.9) { // the rest is answered in later steps
		m.execute(m.inFlight[0].Command)
		m.answer(1)
	}
	if m.chance(0.02) {
		m.OnDisconnect(m.now, 0)
	}
}

// execute has the cache do a command. While the list has the process before it, that one answers, elsewhere.
func (m *model) execute(command Command) {
	switch {
	case m.listed != m.started:
	case command.Kind >= Flush:
		clear(m.cached)
	default:
		delete(m.cached, int(command.Key[0]-'0'))
	}
}

// countOldValues counts cached values that are older than what is done. While the list has the process before, nobody
// can know.
func (m *model) countOldValues() int {
	done := m.Cursor().Done
	if done < m.checked {
		m.checked = 0
		m.purged = [modelKeys]int{}
	}
	for ; m.checked < done; m.checked++ {
		key := m.log.entries[m.checked].Body[0] - '0'
		m.purged[key] = m.versions[m.checked+1]
	}
	oldValues := 0
	for key, value := range m.cached {
		if value-1 < m.purged[key] && m.listed == m.started {
			oldValues++
		}
	}
	return oldValues
}
