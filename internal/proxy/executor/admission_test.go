package executor

import (
	"testing"

	"github.com/cuminwick/cuminwick/internal/customer/identifier"
	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// BenchmarkAdmit measures the admission of a statement where operators hold nothing back.
func BenchmarkAdmit(b *testing.B) {
	s := &Session{Board: &blackboard.Board{}, database: "db", key: identifier.DigestOf("k")}
	c := &declarer.Configuration{
		Version: 1, Routes: map[string]declarer.Route{"db": {Name: "r", Database: "db"}},
		Customers: map[string]declarer.Customer{"a": {Name: "a"}}, Keys: make(identifier.Keys),
	}
	c.Keys.Add(s.key, "a")
	s.Board.Configure(c)
	b.ReportAllocs()
	for b.Loop() {
		if m, code := s.admit(); code != declarer.CodeNone || m.customer != "a" {
			b.Fatal(m, code)
		}
	}
}
