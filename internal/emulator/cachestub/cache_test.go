package cachestub

import (
	"bufio"
	"net"
	"testing"
	"time"

	"dahliapin/internal/emulator/logtrace"
	"dahliapin/policy"
)

func TestDeleteRemovesValueAndAnswersWhetherItExisted(t *testing.T) {
	var reported []logtrace.CacheEventKind
	c, err := Open("c", func() policy.Instant { return 1 }, func(x logtrace.CacheEvent) {
		reported = append(reported, x.Kind)
	})
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	conn, err := net.DialTimeout("tcp", c.Addr(), time.Second)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	in := bufio.NewReader(conn)
	c.Fill("a", 1)
	c.Fill("b", 1)
	for _, exchange := range [][2]string{
		{"md a q O1f\r\n", "HD O1f\r\n"},
		{"md a O20\r\n", "NF O20\r\n"},
		{"mg b v\r\n", "ERROR\r\n"},
		{"flush_all\r\n", "OK\r\n"},
		{"md b O1\r\n", "NF O1\r\n"},
	} {
		if _, err := conn.Write([]byte(exchange[0])); err != nil {
			t.Fatal(err)
		}
		if got, err := in.ReadString('\n'); got != exchange[1] {
			t.Errorf("%q: got answer %q, error %v, want %q", exchange[0], got, err, exchange[1])
		}
	}
	if _, found := c.Serve("b"); found || len(reported) != 4 || reported[2] != logtrace.Emptied {
		t.Errorf("after the flush: found %t, reported %v", found, reported)
	}
}
