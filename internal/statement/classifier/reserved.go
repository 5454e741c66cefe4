package classifier

import "strings"

// PreparedPrefix starts the names of the prepared statements that sessions share on the connections to
// backend servers.
const PreparedPrefix = "cuminwick_"

// refuse records why the text must not be executed.
func (s *Statement) refuse(r Refusal) {
	if s.Refusal == RefusalNone {
		s.Refusal = r
	}
}

// checkPrepared refuses the SQL name of a prepared statement that sessions share.
func (s *Statement) checkPrepared(name string) {
	if strings.HasPrefix(name, PreparedPrefix) {
		s.refuse(RefusalReservedName)
	}
}
