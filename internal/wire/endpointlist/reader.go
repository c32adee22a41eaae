package endpointlist

import (
	"errors"

	"github.com/valyala/fastjson"

	"dahliapin/internal/wire/jsonstream"
)

// The members of a list's object.
const (
	keyEntries  = "instances"
	keyVersion  = "generation"
	keyComplete = "reset" // the list is complete, and not a change of one
)

// streamedSize is the size, in bytes, from which a list is parsed entry by entry.
const streamedSize = 32 << 10

// ErrNoEntries says that a text is a JSON object without a list of entries.
var ErrNoEntries = errors.New("it has no entries")

// List is a list of all endpoints, or the changes of one.
type List struct {
	Version    int
	HasVersion bool
	Complete   bool // the text says that the list names all endpoints

	reader *Reader
	tree   []*fastjson.Value // the entries of a short list
	texts  [][]byte          // the entries of a long one
}

// Reader reads one list after the other. The zero Reader is ready for use.
type Reader struct {
	object fastjson.Parser
	entry  fastjson.Parser
}

// Read reads a list. An error says that the text is malformed somewhere, and that nothing in it can be relied on.
func (r *Reader) Read(text []byte) (List, error) {
	list := List{reader: r}
	object, err := r.parse(&list, text)
	if err != nil {
		return List{}, err
	}
	entries := object.Get(keyEntries)
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return List{}, ErrNoEntries
	}
	list.Version = object.GetInt(keyVersion)
	list.HasVersion = object.Exists(keyVersion)
	list.Complete = object.GetBool(keyComplete)
	if list.texts == nil {
		list.tree = entries.GetArray()
	}
	return list, nil
}

// parse parses a list's object. That of a long list comes without its entries, whose texts are checked and set.
func (r *Reader) parse(list *List, text []byte) (*fastjson.Value, error) {
	if len(text) < streamedSize {
		return r.object.ParseBytes(text)
	}
	rest, texts, ok := jsonstream.CutArray(text, keyEntries)
	if !ok {
		// A parser keeps the memory of the largest text that it has parsed, so that this one is given up.
		defer func() { r.object = fastjson.Parser{} }()
		return r.object.ParseBytes(text)
	}
	for _, entry := range texts {
		if _, err := r.entry.ParseBytes(entry); err != nil {
			return nil, err
		}
	}
	list.texts = texts
	return r.object.ParseBytes(rest)
}

// Len returns the number of entries.
func (l *List) Len() int { return len(l.tree) + len(l.texts) }

// Each calls f for each entry in its order. The entry is valid until f returns.
func (l *List) Each(f func(*fastjson.Value)) {
	for _, entry := range l.tree {
		f(entry)
	}
	for _, text := range l.texts {
		entry, err := l.reader.entry.ParseBytes(text)
		if err != nil { // Read has parsed it before
			continue
		}
		f(entry)
	}
}
