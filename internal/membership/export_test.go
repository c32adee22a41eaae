package membership

// Break has a book go by other rules, to see that the judge catches it.
func Break(b *Detector, observers int, majority, doubts, freezes, runs, turns bool) {
	b.rules = rules{observers, majority, doubts, freezes, runs, turns}
}
