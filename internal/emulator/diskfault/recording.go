package diskfault

import (
	"maps"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Image is a folder's contents, by the files' names.
type Image map[string][]byte

// WriteTo writes the files to a folder.
func (i Image) WriteTo(dir string) error {
	for name, content := range i {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Recording is the calls of one run, which began with an empty folder.
type Recording struct {
	Calls []Call // complete once the run has ended

	dir   string
	count atomic.Int64 // of Calls
}

// Count is how many calls there are so far. The function that is recorded may ask.
func (r *Recording) Count() int { return int(r.count.Load()) }

// Record runs a function and records its calls.
func Record(dir string, r *Recording, body func()) error {
	r.dir = dir
	return Run(dir, func(call Call) Action {
		r.Calls = append(r.Calls, call)
		r.count.Add(1)
		return Action{Skip: call.Operation == Sync}
	}, body)
}

// KilledAt is what the folder may have after kill -9 at a call: nothing of it, and of a write the first half as well.
func (r *Recording) KilledAt(call int) []Image {
	d := newDisk(r.dir)
	for _, c := range r.Calls[:call] {
		d.apply(c)
	}
	images := []Image{d.image(d.names, everything)}
	if c := r.Calls[call]; c.Operation == Write && len(c.Data) > 1 {
		c.Data = c.Data[:len(c.Data)/2]
		d.apply(c)
		images = append(images, d.image(d.names, everything))
	}
	return images
}

// PowerLostAt is what the folder may have after a loss of power at a call: with the names as of the folder's last sync
// or the present ones; and of what was written to each file since its last sync nothing, everything, one change alone,
// or all but one.
func (r *Recording) PowerLostAt(call int) []Image {
	d := newDisk(r.dir)
	for _, c := range r.Calls[:call] {
		d.apply(c)
	}
	var images []Image
	for _, names := range []map[string]*file{d.durableNames, d.names} {
		images = append(images, d.image(names, nothing), d.image(names, everything))
		longest := 0
		for _, f := range names {
			longest = max(longest, len(f.unsynced))
		}
		for chosen := range longest {
			only := func(i int) bool { return i == chosen }
			allBut := func(i int) bool { return i != chosen }
			images = append(images, d.image(names, only), d.image(names, allBut))
		}
	}
	return images
}

func nothing(int) bool    { return false }
func everything(int) bool { return true }

// file is a file's content, and the changes since its last sync.
type file struct {
	durable  []byte
	unsynced []Call
}

// disk is a folder in which names and contents become durable each by their own sync.
type disk struct {
	dir          string
	names        map[string]*file
	durableNames map[string]*file
}

func newDisk(dir string) *disk {
	return &disk{dir: dir, names: map[string]*file{}, durableNames: map[string]*file{}}
}

// apply carries out a call.
func (d *disk) apply(c Call) {
	name := filepath.Base(c.Path)
	f := d.names[name]
	switch c.Operation {
	case Create:
		if f == nil {
			d.names[name] = &file{}
		}
	case Write, Truncate:
		f.unsynced = append(f.unsynced, c)
	case Sync:
		if c.Path == d.dir {
			d.durableNames = maps.Clone(d.names)
			return
		}
		if f == nil { // a file that was removed while it is open
			return
		}
		f.durable = f.content(everything)
		f.unsynced = nil
	case Link:
		if newName := filepath.Base(c.NewPath); d.names[newName] == nil { // it fails if there is one
			d.names[newName] = f
		}
	case Rename:
		delete(d.names, name)
		d.names[filepath.Base(c.NewPath)] = f
	case Remove:
		delete(d.names, name)
	}
}

// image is the folder with some names, and of each file the unsynced changes whose positions are kept.
func (d *disk) image(names map[string]*file, kept func(position int) bool) Image {
	image := Image{}
	for name, f := range names {
		image[name] = f.content(kept)
	}
	return image
}

// content is what the file has with some of its unsynced changes.
func (f *file) content(kept func(position int) bool) []byte {
	content := append([]byte(nil), f.durable...)
	for i, c := range f.unsynced {
		switch {
		case !kept(i):
		case c.Operation == Truncate:
			content = resized(content, c.Size)
		default:
			content = resized(content, max(int64(len(content)), c.Offset+int64(len(c.Data))))
			copy(content[c.Offset:], c.Data)
		}
	}
	return content
}

// resized cuts content off, or fills it up with zeros.
func resized(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}
