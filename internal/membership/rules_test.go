package membership

// Rules are the guards of a detector, for tests that switch single ones off.
type Rules struct {
	MinObservers      int
	RequireMajority   bool
	DetectIsolation   bool
	FreezeRemovals    bool
	MeasureRunTime    bool
	StopOnStalledLoop bool
}

// SetRules has a detector go by other rules, to show that the invariants then break.
func SetRules(d *Detector, r Rules) {
	d.rules = rules{
		minObservers:      r.MinObservers,
		requireMajority:   r.RequireMajority,
		detectIsolation:   r.DetectIsolation,
		freezeRemovals:    r.FreezeRemovals,
		measureRunTime:    r.MeasureRunTime,
		stopOnStalledLoop: r.StopOnStalledLoop,
	}
}
