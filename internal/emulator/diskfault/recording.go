package diskfault

import (
	"maps"
	"os"
	"path/filepath"
	"sync/atomic"
)

// Image is the content of a folder: file contents by file name.
type Image map[string][]byte

// WriteTo creates the files in a folder.
func (i Image) WriteTo(dir string) error {
	for name, content := range i {
		if err := os.WriteFile(filepath.Join(dir, name), content, 0o600); err != nil {
			return err
		}
	}
	return nil
}

// Recording holds the calls of one run, which began with an empty folder.
type Recording struct {
	Calls []Call // complete when the run has ended

	dir   string
	count atomic.Int64 // length of Calls
}

// Count returns the number of calls recorded so far. The recorded function may call it while it runs.
func (r *Recording) Count() int { return int(r.count.Load()) }

// Record runs body and records its calls. Syncs are recorded but not executed.
func Record(dir string, r *Recording, body func()) error {
	r.dir = dir
	return Run(dir, func(call Call) Action {
		r.Calls = append(r.Calls, call)
		r.count.Add(1)
		return Action{Skip: call.Operation == Sync}
	}, body)
}

// KilledAt returns the contents that the folder may have after kill -9 during a call: without that call and, if it is a
// write, also with the first half of its data.
func (r *Recording) KilledAt(call int) []Image {
	d := newDisk(r.dir)
	for _, c := range r.Calls[:call] {
		d.apply(c)
	}
	images := []Image{d.image(d.names, allChanges)}
	if c := r.Calls[call]; c.Operation == Write && len(c.Data) > 1 {
		c.Data = c.Data[:len(c.Data)/2]
		d.apply(c)
		images = append(images, d.image(d.names, allChanges))
	}
	return images
}

// PowerLostAt returns the contents that the folder may have after a power loss before a call. The names are either
// those of the folder's last sync or the current ones. Of the changes to each file since its last sync, none, all, only
// one or all but one are present.
func (r *Recording) PowerLostAt(call int) []Image {
	d := newDisk(r.dir)
	for _, c := range r.Calls[:call] {
		d.apply(c)
	}
	var images []Image
	for _, names := range []map[string]*file{d.durableNames, d.names} {
		images = append(images, d.image(names, noChanges), d.image(names, allChanges))
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

func noChanges(int) bool  { return false }
func allChanges(int) bool { return true }

// file is the synced content of a file and the changes since then.
type file struct {
	durable  []byte
	unsynced []Call
}

// disk models a folder in which file names and file contents become durable by separate syncs.
type disk struct {
	dir          string
	names        map[string]*file
	durableNames map[string]*file
}

func newDisk(dir string) *disk {
	return &disk{dir: dir, names: map[string]*file{}, durableNames: map[string]*file{}}
}

// apply applies a call to the model.
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
		if f == nil { // the file was removed while it was open
			return
		}
		f.durable = f.content(allChanges)
		f.unsynced = nil
	case Link:
		if newName := filepath.Base(c.NewPath); d.names[newName] == nil { // link fails if the name exists
			d.names[newName] = f
		}
	case Rename:
		delete(d.names, name)
		d.names[filepath.Base(c.NewPath)] = f
	case Remove:
		delete(d.names, name)
	}
}

// image returns the folder's content with the given names, in which each file has the unsynced changes that
// selects.
func (d *disk) image(names map[string]*file, selects func(position int) bool) Image {
	image := Image{}
	for name, f := range names {
		image[name] = f.content(selects)
	}
	return image
}

// content returns the file's content with the unsynced changes for which selects returns true.
func (f *file) content(selects func(position int) bool) []byte {
	content := append([]byte(nil), f.durable...)
	for i, c := range f.unsynced {
		switch {
		case !selects(i):
		case c.Operation == Truncate:
			content = resized(content, c.Size)
		default:
			content = resized(content, max(int64(len(content)), c.Offset+int64(len(c.Data))))
			copy(content[c.Offset:], c.Data)
		}
	}
	return content
}

// resized truncates content to a size, or extends it with zeros.
func resized(content []byte, size int64) []byte {
	if size <= int64(len(content)) {
		return content[:size]
	}
	return append(content, make([]byte, size-int64(len(content)))...)
}
