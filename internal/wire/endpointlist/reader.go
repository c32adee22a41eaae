package endpointlist

import (
	"errors"

	"github.com/valyala/fastjson"

	"dahliapin/internal/wire/jsonstream"
)

// The members of the JSON object of a list.
const (
	keyEntries  = "instances"
	keyVersion  = "generation"
	keyComplete = "reset" // the list is complete, not a change to one

	// keySource is not part of discovery's format: only lists that Append has written have it.
	keySource = "source"
)

// streamedSize is the minimum size, in bytes, of a list that is parsed entry by entry.
const streamedSize = 32 << 10

// ErrNoEntries is returned for a JSON object without a list of entries.
var ErrNoEntries = errors.New("it has no entries")

// List is a complete list of endpoints, or a list of changes.
type List struct {
	Version    int
	HasVersion bool
	Complete   bool   // the list has all endpoints
	Source     string // address of the discovery that the version belongs to; empty if it is not stated

	reader *Reader
	tree   []*fastjson.Value // the entries of a short list
	texts  [][]byte          // the entries of a long list
}

// Reader reads lists, one after the other. The zero Reader is ready to use.
type Reader struct {
	object fastjson.Parser
	entry  fastjson.Parser
}

// Read reads a list. It returns an error if any part of the text is malformed; no part of the list should be used then.
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
	list.Source = string(object.GetStringBytes(keySource))
	if list.texts == nil {
		list.tree = entries.GetArray()
	}
	return list, nil
}

// parse parses the object of a list. For a long list it returns the object without its entries, and stores their texts
// in the list after validating them.
func (r *Reader) parse(list *List, text []byte) (*fastjson.Value, error) {
	if len(text) < streamedSize {
		return r.object.ParseBytes(text)
	}
	rest, texts, ok := jsonstream.CutArray(text, keyEntries)
	if !ok {
		// A parser keeps the memory for the largest text that it has parsed, so discard this one.
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

// Each calls f for each entry, in order. The entry is valid until f returns.
func (l *List) Each(f func(*fastjson.Value)) {
	for _, entry := range l.tree {
		f(entry)
	}
	for _, text := range l.texts {
		entry, err := l.reader.entry.ParseBytes(text)
		if err != nil { // cannot happen: Read has parsed the text
			continue
		}
		f(entry)
	}
}
