package runner

import (
	"github.com/cuminwick/cuminwick/internal/bench/checker"
	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/standin/grouper"
	"github.com/cuminwick/cuminwick/internal/standin/replicator"
)

// Tables that the loader writes.
const (
	entryTable    = "bench_entry"
	registerTable = "bench_register"
)

// Columns of the tables, in their order.
const (
	entryRequest    = 0
	entryPart       = 2
	registerSession = 0
	registerValue   = 1
	registerRequest = 2
)

// finalState returns the data of a group: the content of the server with the latest log, and the records
// that any server dropped.
func finalState(g *grouper.Group) checker.State {
	var best replicator.Dump
	var dropped []replicator.Record
	for _, s := range g.Servers {
		d := s.Dump()
		dropped = append(dropped, d.Dropped...)
		if best.BackendServer == "" || lastMark(d).Compare(lastMark(best)) > 0 {
			best = d
		}
	}
	s := checker.State{Registers: map[string]int64{}, Log: transactions(best.Log), Dropped: transactions(dropped)}
	for _, r := range best.Tables[entryTable].Rows {
		s.Entries = append(s.Entries, entry(r))
	}
	for _, r := range best.Tables[registerTable].Rows {
		s.Registers[text(r[registerSession])] = number(r[registerValue])
	}
	return s
}

// lastMark returns the mark of a dump's last record.
func lastMark(d replicator.Dump) marker.Mark {
	if len(d.Log) == 0 {
		return marker.Mark{}
	}
	return d.Log[len(d.Log)-1].Mark
}

func transactions(l []replicator.Record) []checker.Transaction {
	var o []checker.Transaction
	for i := range l {
		var t checker.Transaction
		for _, c := range l[i].Changes {
			if c.Kind != replicator.PutRow {
				continue
			}
			switch c.Table {
			case entryTable:
				t.Entries = append(t.Entries, entry(c.Values))
			case registerTable:
				t.Saves = append(t.Saves, text(c.Values[registerRequest]))
			}
		}
		if len(t.Entries)+len(t.Saves) > 0 {
			o = append(o, t)
		}
	}
	return o
}

func entry(v []any) checker.Entry {
	return checker.Entry{Request: text(v[entryRequest]), Part: number(v[entryPart])}
}

func text(v any) string {
	s, _ := v.(string)
	return s
}

func number(v any) int64 {
	n, _ := v.(int64)
	return n
}

// groupSettled reports whether all servers of a group hold the same log under one term.
func groupSettled(g *grouper.Group) bool {
	l := g.Servers[0].Store().Last()
	primaries := 0
	for _, s := range g.Servers {
		if s.Store().Last() != l {
			return false
		}
		if p, t := s.Store().IsPrimary(); p && t == l.Term {
			primaries++
		}
	}
	return primaries == 1
}
