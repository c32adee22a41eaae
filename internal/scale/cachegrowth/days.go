package cachegrowth

import (
	"fmt"
	"slices"
	"strings"
	"time"
)

// The shape of a day, in parts of its length.
const (
	faultAt       = 0.2 // when the fault of the day begins
	releaseSteps  = 4   // parts in which a release replaces the caches
	releaseShare  = 0.2 // part of the caches that a step replaces
	releaseSpan   = 0.6 // of all steps of a release
	drainLead     = 0.05
	outage        = 0.25 // duration of the outage of a zone or of discovery
	zoneToldAfter = 0.1  // delay until discovery removes the caches of a lost zone
)

// Day is a run with one kind of fault.
type Day struct {
	Name   string
	events []event
}

// event is something that happens to the fleet at a part of the day's length.
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
			{faultAt + zoneToldAfter, func(p *dayRun) error { return p.discovery.publish(p.caches.zoneGone(lostZone)) }},
			{faultAt + outage, func(p *dayRun) error { return p.caches.restoreZone(lostZone) }},
			{faultAt + outage + drainLead, func(p *dayRun) error { return p.discovery.publish(p.caches.zoneBack(lostZone)) }},
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

// DaysNamed returns the days with these names, all days for none, and an error that lists the names if one is unknown.
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

// releaseEvents replace the caches step by step: a step's caches drain, and are gone with the next version.
func releaseEvents() []event {
	var events []event
	for step := range releaseSteps {
		at := faultAt + releaseSpan*float64(step)/releaseSteps
		events = append(events,
			event{at, func(p *dayRun) error { return p.discovery.publish(p.caches.drain(step)) }},
			event{at + drainLead, func(p *dayRun) error { return p.discovery.publish(p.caches.replace(step)) }},
		)
	}
	return events
}

// time returns when in the day an event happens.
func (e event) time(day time.Duration) time.Duration { return time.Duration(e.at * float64(day)) }
