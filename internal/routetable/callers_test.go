package routetable

import (
	"fmt"
	"testing"

	"github.com/onsi/gomega"

	"gentiantide.example/gentiantide/internal/core"
)

// Guards against callers that get the organisation of another key, against public routes
// that ask for a key, and against configurations without organisations that ask for one.
// The load it answers: callers of 81 organisations, on keyed and public routes.
func TestIdentify(t *testing.T) {
	closed, public := &Route{Host: "h", Kind: KindBatch}, &Route{Host: "p", Kind: KindBatch, Public: true}
	open, keyed := NewTable(1, Limits{}, []*Route{closed, public}), NewTable(2, Limits{}, []*Route{closed, public})
	keyed.Organisations = NewOrganisations()
	keyed.Organisations.Add(&Organisation{Name: "a"}, []string{"key-a", "shared", ""})
	keyed.Organisations.Add(&Organisation{Name: "b"}, []string{"key-b", "shared"})
	for _, c := range []struct {
		table *Table
		route *Route
		key   string
		org   core.Org
		ok    bool
	}{
		{open, closed, "", "", true},
		{open, closed, "key-a", "", true},
		{keyed, closed, "key-a", "a", true},
		{keyed, closed, "key-b", "b", true},
		{keyed, closed, "shared", "a", true},
		{keyed, closed, "key-c", "", false},
		{keyed, closed, "KEY-A", "", false},
		{keyed, closed, "", "", false},
		{keyed, public, "key-b", "b", true},
		{keyed, public, "key-c", "", true},
		{keyed, public, "", "", true},
	} {
		t.Run(fmt.Sprintf("configuration %d, host %s, key %q", c.table.Version, c.route.Host, c.key), func(t *testing.T) {
			g := gomega.NewWithT(t)
			name := func(org *Organisation) core.Org {
				if org == nil {
					return ""
				}
				return org.Name
			}
			org, ok := c.table.Identify(c.route, c.key)
			g.Expect(name(org)).To(gomega.Equal(c.org))
			g.Expect(ok).To(gomega.Equal(c.ok))
			org, ok = c.table.IdentifyJobs(c.route.Host, c.key)
			g.Expect(name(org)).To(gomega.Equal(c.org))
			g.Expect(ok).To(gomega.Equal(c.ok))
		})
	}
}

// BenchmarkIdentify looks the organisation of a caller up among 10,000 keys.
func BenchmarkIdentify(b *testing.B) {
	const organisations, keysEach = 500, 20
	route := &Route{Host: "h"}
	table := NewTable(1, Limits{}, []*Route{route})
	table.Organisations = NewOrganisations()
	var keys []string
	for i := range organisations {
		own := make([]string, keysEach)
		for j := range own {
			own[j] = fmt.Sprintf("r26tta828m8%03d%06d", j, i)
		}
		keys = append(keys, own...)
		table.Organisations.Add(&Organisation{Name: core.Org(fmt.Sprint(i))}, own)
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		if org, ok := table.Identify(route, keys[i%len(keys)]); !ok || org == nil {
			b.Fatal("valid key is unknown")
		}
	}
}
