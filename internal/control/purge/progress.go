package purge

// Progress describes how far a control server has carried out purges at a cache. Servers report it to each other and to
// operators. A node's progress in the log is replicatedlog.Progress.
type Progress struct {
	Cache        string `cbor:"1,keyasint"`
	Incarnation  int64  `cbor:"2,keyasint,omitempty"`  // the cache's Incarnation
	Log          uint64 `cbor:"3,keyasint,omitempty"`  // the cursor's log
	Done         uint64 `cbor:"4,keyasint,omitempty"`  // purges up to here are done
	QuickDeleted uint64 `cbor:"5,keyasint,omitempty"`  // each key up to here was deleted at least once
	Overdue      uint64 `cbor:"6,keyasint,omitempty"`  // entries that should be done by now
	Flushing     bool   `cbor:"7,keyasint,omitempty"`  // missing entries are not retained: it has to be emptied
	Reason       string `cbor:"8,keyasint,omitempty"`  // why the last connection ended; empty after an answer
	UnansweredMs uint64 `cbor:"9,keyasint,omitempty"`  // since the last answer, if one is due or the connection ended
	Server       uint64 `cbor:"10,keyasint,omitempty"` // the control server that reports; set by package controlserver
	AgeMs        uint64 `cbor:"11,keyasint,omitempty"` // age of the report; set by package controlserver
	OtherLog     bool   `cbor:"12,keyasint,omitempty"` // the cursor belongs to another log than the server's
}
