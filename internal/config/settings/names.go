package settings

import (
	"iter"
	"maps"

	"github.com/valyala/fastjson"

	"dahliapin/policy"
)

// unknownName is the number of a name that the deployment does not define.
const unknownName = -1

// NameTable maps the names that a deployment defines to numbers: those of its service classes, tenants and endpoint
// kinds, each numbered from 0 in the order of the settings. An undefined name is mapped to -1.
type NameTable struct {
	classes map[string]int
	tenants map[string]int
	kinds   map[string]int
	columns []string  // names of a load report's columns, in the order of the settings
	report  []float64 // buffer of LoadReport
}

// Class returns the number of a service class.
func (n *NameTable) Class(name []byte) policy.ClassID { return policy.ClassID(lookup(n.classes, name)) }

// Classes returns the name and number of each service class, in no particular order.
func (n *NameTable) Classes() iter.Seq2[string, int] { return maps.All(n.classes) }

// Tenant returns the number of a tenant.
func (n *NameTable) Tenant(name []byte) policy.TenantID {
	return policy.TenantID(lookup(n.tenants, name))
}

// Kind returns the number of an endpoint kind.
func (n *NameTable) Kind(name []byte) int { return lookup(n.kinds, name) }

// LoadReport returns the values of a load report, obtained from value, in the order of the configured columns. It
// returns nil if a column has no value. The result is valid until the next call.
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

// numberByName maps each value's name to its index. The name is the value itself or its member nameKey. If a name
// occurs twice, the later index is used.
func numberByName(list []*fastjson.Value, nameKey ...string) map[string]int {
	numbers := make(map[string]int, len(list))
	for i, v := range list {
		numbers[string(v.Get(nameKey...).GetStringBytes())] = i
	}
	return numbers
}
