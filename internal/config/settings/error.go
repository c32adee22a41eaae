package settings

import "errors"

// ErrNoClasses is returned for settings without a service class: every policy decision needs the class of a request.
var ErrNoClasses = errors.New("the settings name no service grades, so nothing can be decided")

// KeyError reports a settings key with an invalid value. Its text is one line.
type KeyError struct {
	Key     string // path of the key in the settings object, with array indexes: service_grades[0].benefit
	Problem string // predicate of a sentence whose subject is the key: "is negative"
}

// Error returns the key and the problem as one sentence.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }
