package replicator

import "fmt"

// position returns the end of the server's log as term and index. The index starts at 1, so that no
// position is zero.
func (s *Server) position() string { return fmt.Sprintf("%d.%d", s.term, len(s.log)+1) }

// hasPosition reports whether the server's log has reached the position.
func (s *Server) hasPosition(position string) bool {
	var term uint64
	var n int
	_, _ = fmt.Sscanf(position, "%d.%d", &term, &n)
	return term <= s.term && len(s.log)+1 >= n
}

// latest returns the highest value of the item in the log and in own, zero without one. Each write has
// a higher value than those before, so the highest value is that of the latest write.
func (s *Server) latest(item string, own []Record) int {
	v := 0
	for _, l := range [][]Record{s.log, own} {
		for _, r := range l {
			if r.Item == item {
				v = max(v, r.Value)
			}
		}
	}
	return v
}
