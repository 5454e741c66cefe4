package changer_test

import (
	"encoding/base64"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/cuminwick/cuminwick/internal/config/changer"
	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
)

// largeFile returns a configuration of n groups of three backend servers, with a team
// and a routing rule for each. Its verifiers are random, so that they compress as badly
// as real ones.
func largeFile(n int) declarer.File {
	r := rand.NewChaCha8([32]byte{1})
	var f declarer.File
	for i := range n {
		var v [80]byte
		_, _ = r.Read(v[:])
		s := fmt.Sprint("group-", i)
		g := declarer.DatabaseGroup{Name: s, Service: fmt.Sprint("service-", i/3)}
		for j := range 3 {
			g.BackendServers = append(g.BackendServers, declarer.BackendServer{
				Name: fmt.Sprintf("%s-%d", s, j), Address: fmt.Sprintf("10.%d.%d.%d:5432", j, i/250, i%250),
				AvailabilityZone: fmt.Sprint("zone-", (i+j)%26), Region: fmt.Sprint("region-", (i+j)%7), Slots: 2, Connections: 16,
			})
		}
		f.DatabaseGroups = append(f.DatabaseGroups, g)
		f.RoutingRules = append(f.RoutingRules, declarer.RoutingRule{Name: s, Match: declarer.Match{DatabaseGroup: s}})
		f.Teams = append(f.Teams, declarer.Team{Name: "team-" + s, DatabaseGroups: []string{s}, Roles: []declarer.Role{
			{Name: "role-" + s, Verifier: "SCRAM-SHA-256$4096:" + base64.StdEncoding.EncodeToString(v[:])},
		}})
	}
	return defaulter.Fill(f)
}

// cloneLists returns f with copies of its lists, which can be edited independently.
func cloneLists(f declarer.File) declarer.File {
	f.DatabaseGroups = slices.Clone(f.DatabaseGroups)
	f.RoutingRules = slices.Clone(f.RoutingRules)
	f.Teams = slices.Clone(f.Teams)
	return f
}

// BenchmarkChange measures, at 2,800 groups, the time to make and to apply one change of
// the configuration, and its size.
func BenchmarkChange(b *testing.B) {
	f := largeFile(2800)
	x := newDocument(b, f)
	for _, c := range []struct {
		name string
		edit func(f *declarer.File)
	}{
		{"limit", func(f *declarer.File) { f.Limits.QueueLength++ }},
		{"verifier", func(f *declarer.File) {
			r := f.Teams[9].Roles[0]
			r.Verifier = f.Teams[8].Roles[0].Verifier + "A"
			f.Teams[9].Roles = []declarer.Role{r}
		}},
		{"group", func(f *declarer.File) {
			s := slices.Clone(f.DatabaseGroups[1000].BackendServers)
			s[1].Slots = 3
			f.DatabaseGroups[1000].BackendServers = s
		}},
		{"added", func(f *declarer.File) {
			g := largeFile(2801)
			f.DatabaseGroups = append(f.DatabaseGroups, g.DatabaseGroups[2800])
			f.RoutingRules = slices.Insert(f.RoutingRules, 0, g.RoutingRules[2800])
			f.Teams = append(f.Teams, g.Teams[2800])
		}},
		{"groups-100", func(f *declarer.File) {
			for i := range 100 {
				f.DatabaseGroups[28*i].Service = "other"
			}
		}},
		{"rules-reversed", func(f *declarer.File) { slices.Reverse(f.RoutingRules) }},
	} {
		n := cloneLists(f)
		c.edit(&n)
		y := newDocument(b, n)
		p, err := changer.Make(x, y)
		if err != nil {
			b.Fatal(err)
		}
		b.Run("make/"+c.name, func(b *testing.B) {
			for b.Loop() {
				_, _ = changer.Make(x, y)
			}
			b.ReportMetric(float64(len(p)), "packed-B")
		})
		b.Run("apply/"+c.name, func(b *testing.B) {
			for b.Loop() {
				if _, err := changer.Apply(x, p, y.Digest); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("split", func(b *testing.B) {
		for b.Loop() {
			_ = newDocument(b, f)
		}
		b.ReportMetric(float64(len(x.Text())), "text-B")
	})
}
