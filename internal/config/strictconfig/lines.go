package strictconfig

import (
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2/unstable"
)

// lineNumbers returns the line of each field and table of a TOML text, by path.
func lineNumbers(text []byte) map[string]int {
	index := lineIndex{lines: map[string]int{}, tables: map[string]int{}}
	var parser unstable.Parser
	parser.Reset(text)
	for parser.NextExpression() {
		expression := parser.Expression()
		names, line := keyOf(&parser, expression)
		switch expression.Kind {
		case unstable.KeyValue:
			index.addField(names, line)
		default:
			index.addTable(names, line, expression.Kind == unstable.ArrayTable)
		}
	}
	return index.lines
}

// keyOf returns the parts of an expression's key and the line of the first part.
func keyOf(parser *unstable.Parser, expression *unstable.Node) (names []string, line int) {
	for key := expression.Key(); key.Next(); {
		names = append(names, string(key.Node().Data))
		if line == 0 {
			line = parser.Shape(key.Node().Raw).Start.Line
		}
	}
	return names, line
}

// lineIndex records the lines of expressions, which are added in the order of the text.
type lineIndex struct {
	lines  map[string]int // line by path
	tables map[string]int // number of an array's tables so far, by the array's path
	prefix string         // path of the current table, with a trailing dot; empty for the top level
}

func (x *lineIndex) addField(names []string, line int) {
	path := x.prefix
	for _, name := range names {
		path = x.latestTable(path+name) + "."
	}
	x.lines[strings.TrimSuffix(path, ".")] = line
}

func (x *lineIndex) addTable(names []string, line int, inArray bool) {
	path := ""
	for i, name := range names {
		path += name
		if inArray && i == len(names)-1 {
			x.tables[path]++
		}
		path = x.latestTable(path) + "."
	}
	x.prefix = path
	x.lines[strings.TrimSuffix(path, ".")] = line
}

// latestTable appends the index of the latest table to the path of an array, as the fields and subtables that follow
// belong to that table. Any other path is returned unchanged.
func (x *lineIndex) latestTable(path string) string {
	if count := x.tables[path]; count > 0 {
		return path + "." + strconv.Itoa(count-1)
	}
	return path
}
