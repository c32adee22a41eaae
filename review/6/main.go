//go:build review

// Command 6 has a client send many commands at once on one connection, of which the first is for a slow origin.
package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"math/rand"
	"net"
	"os"
	"strconv"
	"strings"
	"time"

	s "dahliapin/review/standins"
)

const (
	commands   = 128
	valueSize  = 64 << 10 // PROTOCOL: values hold at most 64 KiB
	readPause  = 5 * time.Millisecond
	originWork = 140 * time.Millisecond
	slowFactor = 7.8 // "runs 2.5 to 7.8 times slower"
	readWait   = 2900 * time.Millisecond
	writeWait  = 2400 * time.Millisecond
)

func main() { os.Exit(run()) }

func run() int {
	defer s.KillAll()
	rec := s.OpenRecord()
	dir := s.Folder()

	// 14 pack boxes of 3 cores, whose work is 75 to 140 ms, and the question bank.
	fabric := s.NewFabric()
	var list []s.Instance
	for range 14 {
		c := fabric.NewCache(fmt.Sprintf("s-%08x", rand.Uint32()), 3,
			func() time.Duration { return time.Duration(75+rand.Intn(66)) * time.Millisecond })
		c.Size = valueSize
		c.OnAnswer = func(call s.Call, word string) {
			rec.Line("cache %s answers %s %s with %s after %v", c.ID, call.Key, call.ID, word, time.Since(call.At))
		}
		for i := range commands {
			c.Store(fmt.Sprintf("pack:k%d", i))
		}
		list = append(list, c.Instance(0))
	}
	work := originWork
	if s.Trouble() {
		work = time.Duration(slowFactor * float64(originWork))
	}
	origin := fabric.NewOrigin(16, func() time.Duration { return work })
	origin.OnCall = func(c s.Call) { rec.Line("origin got %s %s %s", c.Verb, c.Key, c.ID) }
	list = append(list, origin.Instance())
	registry := s.NewRegistry(list...)

	settings := s.Settings(2, s.Class("pack-fetch", "idempotent", "all", .8, 3, 5, 1),
		s.Class("score-submit", "deduplicated", "all", 1, 2.5, 5, 10))
	s.Jalpaiguri(settings)
	config := &s.NodeConfig{Name: "n1", Listen: s.FreePort(), Discovery: registry.Addr, Settings: settings,
		Seed:   fmt.Sprintf("%016x", rand.Uint64()),
		Limits: map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}}
	node := s.StartNode(config, dir)

	// Some usual traffic first.
	pool := &s.Pool{Addr: config.Listen}
	for i := range 100 {
		go pool.Read(fmt.Sprintf("pack:k%d", i), s.NewID(), "pack-fetch", 2*time.Second)
		time.Sleep(15 * time.Millisecond)
	}
	time.Sleep(time.Second)

	conn, err := net.Dial("tcp", config.Listen)
	s.Must(err)
	defer conn.Close()
	var sent bytes.Buffer
	ids := make([]string, commands)
	for i := range ids {
		ids[i] = s.NewID()
		if i == 0 {
			fmt.Fprintf(&sent, "ms pack:w 5 O%s Pc=score-submit,d=%d,k=%s\r\nhello\r\n", ids[i], writeWait.Milliseconds(), s.NewID())
			continue
		}
		fmt.Fprintf(&sent, "mg pack:k%d v O%s Pc=pack-fetch,d=%d\r\n", i, ids[i], readWait.Milliseconds())
	}
	_, err = conn.Write(sent.Bytes())
	s.Must(err)
	rec.Line("the client has sent %d commands in %d bytes; origin's work is %v", commands, sent.Len(), work)

	// The client reads all the time, 64 KiB in 5 ms at most, which is 100 Mbit a second.
	in := bufio.NewReaderSize(conn, 64<<10)
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	served, refused, failed, foreign := 0, 0, 0, 0
	for i, id := range ids {
		line, value, err := readAnswer(in)
		if err != nil {
			rec.Say("answer %d of %d did not come whole: %v", i+1, commands, err)
			break
		}
		rec.Line("answer %d %s: %s", i+1, id, line)
		switch {
		case strings.HasPrefix(line, "VA "):
			served++
			if !strings.HasPrefix(value, s.ValueOf(fmt.Sprintf("pack:k%d", i), id)) {
				foreign++
			}
			time.Sleep(readPause)
		case strings.HasPrefix(line, "HD "):
			served++
		case strings.HasPrefix(line, "SERVER_ERROR busy"):
			refused++
		default:
			failed++
		}
	}
	lost := commands - served - refused - failed
	rec.Say("%d commands: %d served (%d foreign), %d refused, %d failed, %d without a whole answer; the node lives: %t",
		commands, served, foreign, refused, failed, lost, node.Alive())
	if lost+foreign > 0 {
		return s.Broken
	}
	return s.Held
}

// readAnswer reads a line and, of a value, what follows it.
func readAnswer(in *bufio.Reader) (line, value string, err error) {
	line, err = in.ReadString('\n')
	if err != nil {
		return "", "", err
	}
	line = strings.TrimSpace(line)
	words := strings.Fields(line)
	if len(words) < 2 || words[0] != "VA" {
		return line, "", nil
	}
	size, err := strconv.Atoi(words[1])
	if err != nil {
		return line, "", err
	}
	text := make([]byte, size+2)
	_, err = io.ReadFull(in, text)
	return line, string(text), err
}
