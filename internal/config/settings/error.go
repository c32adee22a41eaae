package settings

import "errors"

// ErrNoClasses says that the settings name no service class, without which no request can be decided on.
var ErrNoClasses = errors.New("the settings name no service grades, so nothing can be decided")

// KeyError says that a key of the settings has a value that cannot be used. It is one line of text.
type KeyError struct {
	Key     string // path of the key from the settings object, with list positions: service_grades[0].benefit
	Problem string // what is wrong, as the rest of a sentence that begins with the key: "is negative"
}

// Error returns the key and the problem as one sentence.
func (e *KeyError) Error() string { return e.Key + " " + e.Problem }
