// Package listing reads lists of caches in discovery's form. A long list is read entry by entry, as its tree would take twenty times its size.
package endpointlist

import (
	"errors"

	"github.com/valyala/fastjson"

	"dahliapin/internal/wire/jsonstream"
)

const (
	entriesName = "instances"
	splitFrom   = 32 << 10 // bytes of a list from which it is read entry by entry
)

// ErrNoList says that a text is JSON, and no list.
var ErrNoList = errors.New("it has no entries")

// List is one list, or the changes of one. It is valid as long as the text that it was read from, and until its Reader reads another.
type List struct {
	Version    int
	HasVersion bool
	Complete   bool // it names all caches there are

	reader *Reader
	tree   []*fastjson.Value // entries of a short list
	texts  [][]byte          // entries of a long one
}

// Reader reads one list after the other. The zero Reader is ready.
type Reader struct {
	object, entry fastjson.Parser
}

// Read reads a list. An error says that the text can't be taken: nothing in it is to be believed.
func (r *Reader) Read(text []byte) (List, error) {
	l := List{reader: r}
	object, err := r.split(&l, text)
	if err != nil {
		return List{}, err
	}
	entries := object.Get(entriesName)
	if entries == nil || entries.Type() != fastjson.TypeArray {
		return List{}, ErrNoList
	}
	l.HasVersion = object.Exists("generation")
	l.Version, l.Complete = object.GetInt("generation"), object.GetBool("reset")
	if l.texts == nil {
		l.tree = entries.GetArray()
	}
	return l, nil
}

// split parses a list's object: of a long one without its entries, which are looked at one by one.
func (r *Reader) split(l *List, text []byte) (*fastjson.Value, error) {
	if len(text) < splitFrom {
		return r.object.ParseBytes(text)
	}
	rest, texts, ok := jsonstream.Array(text, entriesName)
	if !ok {
		defer func() { r.object = fastjson.Parser{} }() // its memory grows to the largest that it has parsed
		return r.object.ParseBytes(text)
	}
	for _, entry := range texts {
		if _, err := r.entry.ParseBytes(entry); err != nil {
			return nil, err
		}
	}
	l.texts = texts
	return r.object.ParseBytes(rest)
}

// Len counts the entries.
func (l *List) Len() int { return len(l.tree) + len(l.texts) }

// Each calls f for each entry, which is valid only until f returns.
func (l *List) Each(f func(*fastjson.Value)) {
	for _, entry := range l.tree {
		f(entry)
	}
	for _, text := range l.texts {
		if entry, err := l.reader.entry.ParseBytes(text); err == nil { // it was parsed before
			f(entry)
		}
	}
}
