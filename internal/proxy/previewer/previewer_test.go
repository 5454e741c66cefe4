package previewer

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/cuminwick/cuminwick/internal/customer/limiter"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// configuration returns one with three routes, and customers a to d of which a declares the highest rate.
func configuration(version uint64) *declarer.Configuration {
	c := &declarer.Configuration{Version: version, Routes: make(map[string]declarer.Route), Customers: make(map[string]declarer.Customer)}
	for i, n := range []string{"sale", "price", "points"} {
		c.Routes[n+"-db"] = declarer.Route{Name: "r-" + n, Database: n + "-db", Priority: uint8(i)}
	}
	for i, n := range []string{"a", "b", "c", "d"} {
		c.Customers[n] = declarer.Customer{Name: n, Priority: 1, Limit: limiter.Limit{Rate: float64(100 - 30*i)}}
	}
	return c
}

func set(names ...string) map[string]bool {
	m := make(map[string]bool)
	for _, n := range names {
		m[n] = true
	}
	return m
}

// cases holds changes from one configuration to another.
var cases = map[string]func(running, next *declarer.Configuration){
	"nothing": func(*declarer.Configuration, *declarer.Configuration) {},
	"ranked": func(_, next *declarer.Configuration) {
		next.Ranked = true
		r := next.Routes["price-db"]
		r.Anonymous = true
		next.Routes["price-db"] = r
	},
	"customers": func(running, next *declarer.Configuration) {
		running.Ranked, next.Ranked = true, true
		delete(next.Customers, "d")
		next.Customers["e"] = declarer.Customer{Name: "e", Priority: 7, Share: 50}
		next.Customers["b"] = declarer.Customer{Name: "b", Priority: 0, Limit: limiter.Limit{Rate: 70}}
		for i := range 8 {
			n := fmt.Sprintf("new-%d", i)
			next.Customers[n] = declarer.Customer{Name: n, Priority: 2}
		}
		delete(running.Routes, "points-db")
	},
	"operations": func(running, next *declarer.Configuration) {
		running.Operations = declarer.Operations{HeldCustomers: set("a", "b"), DrainedHosts: set("front-1")}
		next.Operations = declarer.Operations{
			HeldCustomers: set("b", "nobody"), HeldRoutes: set("r-sale", "sale-db"), DrainedServers: set("i-1"),
			ShareFactors: map[string]float64{"c": 0.5, "nobody else": 2}, DrainedHosts: set("front-2"),
		}
	},
	"not-newer": func(_, next *declarer.Configuration) { next.Version = 6 },
	"no-customers": func(running, next *declarer.Configuration) {
		running.Customers, next.Customers = nil, nil
		next.Ranked = true
	},
}

// The golden files fix both forms of the output: operators read one, and programs the other.
func TestGolden(t *testing.T) {
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			running, next := configuration(6), configuration(7)
			change(running, next)
			p := Compare(running, next)
			var b bytes.Buffer
			if err := p.Write(&b); err != nil {
				t.Fatal(err)
			}
			j, err := json.MarshalIndent(p, "", " ")
			if err != nil {
				t.Fatal(err)
			}
			compareGolden(t, name+".table.golden", b.Bytes())
			compareGolden(t, name+".json.golden", append(j, '\n'))
		})
	}
}

func compareGolden(t *testing.T, name string, got []byte) {
	t.Helper()
	p := filepath.Join("testdata", name)
	if *update {
		if err := os.WriteFile(p, got, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(p)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(string(want), string(got)); d != "" {
		t.Errorf("%s: %s", name, d)
	}
}

// Guards against an output that differs from run to run, as configurations are maps.
func TestOutputIsStable(t *testing.T) {
	write := func() string {
		running, next := configuration(6), configuration(7)
		cases["customers"](running, next)
		var b bytes.Buffer
		if err := Compare(running, next).Write(&b); err != nil {
			t.Fatal(err)
		}
		return b.String()
	}
	first := write()
	for range 20 {
		if s := write(); s != first {
			t.Fatalf("%s\nthen\n%s", first, s)
		}
	}
}
