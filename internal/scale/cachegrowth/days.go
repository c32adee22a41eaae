package cachegrowth

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The timing of a day. Times are fractions of its length.
const (
	faultAt          = 0.2  // beginning of the fault
	releaseSteps     = 4    // number of steps of a release
	releaseShare     = 0.2  // share of the caches that a step replaces
	releaseSpan      = 0.6  // duration of all steps
	publishDelay     = 0.05 // from the drain of caches to their removal, and from an outage's end to its publishing
	outage           = 0.25 // duration of the outage of a zone or of discovery
	zoneRemovalDelay = 0.1  // delay until discovery removes the caches of a lost zone
)

// Day is a run with at most one kind of fault. A run is called a day in the command's flags and reports.
type Day struct {
	Name   string
	events []event
}

// event is a change of the fleet at a time, which is a fraction of the day's length.
type event struct {
	at float64
	do func(*dayRun) error
}

// Days returns all days in the order in which they run.
func Days() []Day {
	return []Day{
		{Name: "quiet"},
		{Name: "release", events: releaseEvents()},
		{Name: "zone-lost", events: []event{
			{faultAt, func(p *dayRun) error { return p.caches.loseZone(lostZone) }},
			{faultAt + zoneRemovalDelay, func(p *dayRun) error {
				return p.discovery.publish(p.caches.zoneGone(lostZone))
			}},
			{faultAt + outage, func(p *dayRun) error { return p.caches.restoreZone(lostZone) }},
			{faultAt + outage + publishDelay, func(p *dayRun) error {
				return p.discovery.publish(p.caches.zoneBack(lostZone))
			}},
		}},
		{Name: "discovery-down", events: []event{
			{faultAt, func(p *dayRun) error { return p.discovery.stop() }},
			{faultAt + outage, func(p *dayRun) error { return p.discovery.start() }},
		}},
		{Name: "restart", events: []event{
			{faultAt, func(p *dayRun) error { return p.discovery.publish(p.caches.restarted()) }},
			{faultAt, func(p *dayRun) error { return p.restartNode() }},
		}},
	}
}

// DaysNamed returns the days with the given names, or all days if there are no names. For an unknown name it returns an
// error that lists the valid ones.
func DaysNamed(names []string) ([]Day, error) {
	all := Days()
	if len(names) == 0 {
		return all, nil
	}
	var chosen []Day
	for _, name := range names {
		i := slices.IndexFunc(all, func(day Day) bool { return day.Name == name })
		if i < 0 {
			return nil, fmt.Errorf("unknown day %q; the days are %s", name, strings.Join(dayNames(all), ", "))
		}
		chosen = append(chosen, all[i])
	}
	return chosen, nil
}

func dayNames(days []Day) []string {
	names := make([]string, 0, len(days))
	for _, day := range days {
		names = append(names, day.Name)
	}
	return names
}

// releaseEvents returns the events of a release, which replaces caches step by step. In each step the old caches first
// drain and are then removed, in two versions of the endpoint list.
func releaseEvents() []event {
	var events []event
	for step := range releaseSteps {
		at := faultAt + releaseSpan*float64(step)/releaseSteps
		events = append(events,
			event{at, func(p *dayRun) error { return p.discovery.publish(p.caches.drain(step)) }},
			event{at + publishDelay, func(p *dayRun) error { return p.discovery.publish(p.caches.replace(step)) }},
		)
	}
	return events
}

// time returns the time of the event in a day of the given length.
func (e event) time(day time.Duration) time.Duration { return time.Duration(e.at * float64(day)) }
