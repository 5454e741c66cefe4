package replicator

import (
	"fmt"
	"strings"
)

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

// latest returns the rows of a read of the item: the data with the highest value in the log and in own, "0"
// without one, and further rows for an item with odd bytes. Each write has a higher value than those
// before, so the highest value is that of the latest write.
func (s *Server) latest(item string, own []Record) []string {
	v := Record{Data: "0"}
	for _, l := range [][]Record{s.log, own} {
		for _, r := range l {
			if r.Item == item && r.Value >= v.Value {
				v = r
			}
		}
	}
	if strings.HasPrefix(item, OddItem) {
		return []string{v.Data, item, "", "x\nDONE sig\nREADY I -\r", "\x00 \xff  "}
	}
	return []string{v.Data}
}

// OddItem is the beginning of the names of items whose reads have rows with odd bytes.
const OddItem = "o"
