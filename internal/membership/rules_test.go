package membership

// Rules are the safety rules of a detector, for tests that disable some of them.
type Rules struct {
	MinObservers      int
	RequireMajority   bool
	DetectIsolation   bool
	FreezeRemovals    bool
	MeasureRunTime    bool
	StopOnStalledLoop bool
}

// SetRules replaces the rules of a detector, to show that the invariants then break.
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
