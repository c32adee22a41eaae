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
	modelRetained = 150 // entries that the log retains
)

// variant describes how a control server is broken. It is correct if only maxFillTime is set.
type variant struct {
	name           string
	maxFillTime    time.Duration // that it assumes
	cursorLeads    bool          // the cursor on disk is ahead of the answers
	startsAtNewest bool          // it assumes that a reconnected cache has no old values
	keepsCursor    bool          // it keeps the cursor for another process of the cache
	wantOldValues  bool          // whether old values are expected
}

// Simulates ten minutes of purges, fills of random length, cut connections, cache restarts and server kills. The cache
// must never hold a value older than the purges that the cursor counts as done. The broken variants show that the test
// detects such values.
func TestNoValueIsOlderThanTheCursor(t *testing.T) {
	maxFillTime := testConfig.MaxFillTime
	for _, v := range []variant{
		{name: "correct", maxFillTime: maxFillTime},
		{name: "no confirming delete", wantOldValues: true},
		{name: "cursor ahead of the answers", maxFillTime: maxFillTime, cursorLeads: true, wantOldValues: true},
		{name: "starts at newest on reconnect", maxFillTime: maxFillTime, startsAtNewest: true, wantOldValues: true},
		{name: "cursor of the old process kept", maxFillTime: maxFillTime, keepsCursor: true, wantOldValues: true},
	} {
		t.Run(v.name, func(t *testing.T) {
			oldValues := 0
			for seed := range uint32(20) {
				m := newModel(t, v, seed)
				oldValues += m.run()
			}
			if (oldValues > 0) != v.wantOldValues {
				t.Errorf("found %d old values; expected any: %t", oldValues, v.wantOldValues)
			}
		})
	}
}

// modelFill is a fill under way.
type modelFill struct {
	key     int
	value   int // the origin's version plus 1; 0 means none
	storeAt monotime.Instant
}

// modelWrite is a write at the origin whose purge is not in the log yet.
type modelWrite struct {
	key, version           int
	requestedAt, orderedAt monotime.Instant
}

// model simulates a cache, its origin and its network; the fixture has the control server.
type model struct {
	*fixture
	variant
	random keyhash.Source
	seed   uint32

	origin    [modelKeys]int              // versions
	cached    map[int]int                 // by key, as modelFill.value
	fills     []modelFill                 // under way
	writes    []modelWrite                // not ordered yet
	versions  map[replicatedlog.Index]int // origin version of each purge
	orderedAt monotime.Instant            // when the last write's purge is ordered

	started   Incarnation // process of the cache
	listed    Incarnation // process named by the list
	listedAt  monotime.Instant
	cutSteps  int // steps for which the connection is cut
	downSteps int // steps for which the cache is down

	disk     Cursor // cursor on the control server's disk
	checked  replicatedlog.Index
	purged   [modelKeys]int // purged versions, up to checked
	mostDone replicatedlog.Index
}

func newModel(t *testing.T, v variant, seed uint32) *model {
	m := &model{
		fixture:  newFixture(t),
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
	return Config{MaxFillTime: m.variant.maxFillTime, CommandInterval: testConfig.CommandInterval}
}

func (m *model) chance(probability float64) bool { return m.random.Float64() < probability }

func (m *model) randomDuration(most float64) time.Duration {
	return time.Duration(m.random.Float64() * most)
}

func (m *model) randomKey() int { return int(m.random.Float64() * modelKeys) }

// run runs the simulation and returns how often a value was older than the cursor allows.
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
		m.t.Errorf("seed %d: only %d of %d purges done, cursor %+v", m.seed, m.mostDone, m.log.last(), m.Cursor())
	}
	return oldValues
}

// write sometimes writes a key at the origin and requests its purge.
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

// orderWrites appends the purges that are due to the log.
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
	m.log.floor = replicatedlog.Index(max(0, len(m.log.entries)-modelRetained))
}

// fill starts a fill of a key that is not cached, and stores the values of finished fills.
func (m *model) fill() {
	key := m.randomKey()
	if m.downSteps == 0 && m.cached[key] == 0 {
		storeAt := m.now.Add(m.randomDuration(float64(testConfig.MaxFillTime)))
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

// fail sometimes cuts the connection, restarts the cache or kills the control server.
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

// list passes the process named by the list to the control server.
func (m *model) list() {
	if m.downSteps == 0 && m.now >= m.listedAt {
		m.listed = m.started
	}
	before := m.Cursor()
	m.OnListed(m.now, m.listed, &m.arrivals)
	if m.keepsCursor && m.Cursor().Done < before.Done {
		m.forceCursor(Cursor{Log: before.Log, Incarnation: m.listed, Done: before.Done})
	}
}

// exchange sends commands and handles answers while there is a connection.
func (m *model) exchange() {
	if m.cutSteps > 0 || m.downSteps > 0 {
		if m.AnswerOverdue(m.now) || m.chance(0.01) {
			m.OnDisconnect(m.now, 0)
		}
		m.sendAll()
		if m.startsAtNewest && m.cutSteps+m.downSteps == 1 {
			m.forceCursor(Cursor{Log: m.log.id, Incarnation: m.listed, Done: m.log.last()})
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

// execute executes a command at the cache. While the list names the previous process, that one gets the command.
func (m *model) execute(command Command) {
	switch {
	case m.listed != m.started:
	case command.Kind >= Flush:
		clear(m.cached)
	default:
		delete(m.cached, int(command.Key[0]-'0'))
	}
}

// countOldValues counts cached values that are older than purges done. It counts none while the list names the previous
// process, since the control server cannot know of the new one.
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
