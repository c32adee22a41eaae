package meta

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"dahliapin/internal/golden"
)

func TestMessagesMatchGoldenFile(t *testing.T) {
	var got strings.Builder
	printCommands(&got)
	printResponses(&got)
	printWritten(&got)
	golden.Check(t, "messages.txt", []byte(got.String()))
}

func printCommands(out io.Writer) {
	for _, text := range []string{
		"mg key1 v t O17 Pgold,d,350\r\n",
		"mg key1 v\r\nmg key2 v\r\n",
		"ms key1 5 T0 O9 Pnorth,look\r\nhello\r\n",
		"ms key1 5\r\nhel",
		"mn\r\n",
		"stats\r\n",
		"md key1\r\n",
		"mg\r\n",
		"mg " + strings.Repeat("k", 251) + " v\r\n",
		"ms key 99999999999\r\n",
		"ms key x\r\n",
		"\r\n",
		"garbage here\r\n",
		"mg key1 v O\x01\r\n",
		"ms key1 2\r\nabc\r\n",
		strings.Repeat("x", 5000),
		"mg key1 v\n",
	} {
		c, size, fault := ReadCommand([]byte(text))
		fmt.Fprintf(out, "command %.40q: %d %q %q %q size %d", text, int(c.Verb), c.Key, c.Flags, c.Value, size)
		if fault != nil {
			fmt.Fprintf(out, " fault %v", *fault)
		} else if size > 0 {
			fmt.Fprintf(out, " as %q", AppendCommand(nil, &c, 123))
		}
		fmt.Fprintln(out)
	}
}

func printResponses(out io.Writer) {
	for _, text := range []string{
		"VA 5 O17 t30 Pload,2.5\r\nhello\r\n",
		"VA 5\r\nhel",
		"HD O9\r\n",
		"EN\r\n",
		"EN O3\r\n",
		"NS O3\r\n",
		"NF\r\n",
		"SERVER_ERROR busy\r\n",
		"SERVER_ERROR failed\r\n",
		"SERVER_ERROR out of memory\r\n",
		"CLIENT_ERROR bad\r\n",
		"ERROR\r\n",
		"MN\r\n",
		"VA x\r\n",
		"what\r\n",
		"V",
		"VA 99999999\r\n",
		"HD O9 Pr1,outstanding,3\r\n",
	} {
		a, size, err := ReadResponse([]byte(text))
		fmt.Fprintf(out, "answer %.40q: %v size %d %v\n", text, a, size, err)
	}
	for _, text := range []string{
		"HD O12\r\n", "NF O13\r\n", "OK\r\n", "HD\r\n", "SERVER_ERROR busy\r\n", "H", "what\r\n",
	} {
		id, flushed, size, err := ReadDeleteResponse([]byte(text))
		fmt.Fprintf(out, "deleted %q: %d %v %d %v\n", text, id, flushed, size, err)
	}
}

func printWritten(out io.Writer) {
	for _, b := range [][]byte{
		AppendValue(nil, []byte("7"), []byte("value")),
		AppendValue(nil, nil, nil),
		AppendHead(nil, []byte("7"), 12),
		AppendHead(nil, nil, 0),
		AppendReceipt(nil, []byte("7"), []byte("receipt")),
		AppendReceipt(nil, nil, nil),
		AppendBusy(nil, 0),
		AppendBusy(nil, 250),
		AppendFailed(nil),
		AppendDelete(nil, []byte("key1"), 44),
		AppendItems(nil, []byte("gold,d,350"), 9),
		AppendItems(nil, nil, 9),
		[]byte(FlushAll),
		[]byte(BadLine),
		[]byte(LineEnd),
	} {
		fmt.Fprintf(out, "written %q\n", b)
	}
}
