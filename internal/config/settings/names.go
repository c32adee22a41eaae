package settings

import (
	"iter"
	"maps"

	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

// unknownName is the number of a name that the deployment does not state.
const unknownName = -1

// NameTable translates the names that a deployment states into numbers: those of its service classes, tenants and
// kinds of endpoints, each counted from 0 in the order of the settings. A name that it does not state is -1.
type NameTable struct {
	classes map[string]int
	tenants map[string]int
	kinds   map[string]int
	columns []string  // names of a load report's columns, in the order of the settings
	report  []float64 // buffer of LoadReport
}

// Class returns a service class's number.
func (n *NameTable) Class(name []byte) policy.ClassID { return policy.ClassID(lookup(n.classes, name)) }

// Classes returns the number of each service class by its name, in no order.
func (n *NameTable) Classes() iter.Seq2[string, int] { return maps.All(n.classes) }

// Tenant returns a tenant's number.
func (n *NameTable) Tenant(name []byte) policy.TenantID {
	return policy.TenantID(lookup(n.tenants, name))
}

// Kind returns the number of a kind of endpoint.
func (n *NameTable) Kind(name []byte) int { return lookup(n.kinds, name) }

// LoadReport returns a load report's values in the order of the stated columns, as value returns them, or nil if
// value lacks one of them. The result is valid until the next call.
func (n *NameTable) LoadReport(value func(column string) (float64, bool)) []float64 {
	n.report = n.report[:0]
	for _, column := range n.columns {
		x, ok := value(column)
		if !ok {
			return nil
		}
		n.report = append(n.report, x)
	}
	return n.report
}

func lookup(numbers map[string]int, name []byte) int {
	if i, ok := numbers[string(name)]; ok {
		return i
	}
	return unknownName
}

// numberByName returns each value's position by its name, which is the value itself or its member nameKey. Of two
// with one name, the later position counts.
func numberByName(list []*fastjson.Value, nameKey ...string) map[string]int {
	numbers := make(map[string]int, len(list))
	for i, v := range list {
		numbers[string(v.Get(nameKey...).GetStringBytes())] = i
	}
	return numbers
}
