package racer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
)

// digestBytes is the length of a digest: enough to distinguish the files of a run, and short enough for
// an example of a violation.
const digestBytes = 6

// Digest returns a digest of a file's content with all defaults set. It is computed independently of
// the digest that entry hosts verify fetched files by, so that a fault in that code is detected.
func Digest(f declarer.File) string {
	f = defaulter.Fill(f)
	f.EditedFrom = 0
	b, err := json.Marshal(f)
	if err != nil {
		return "unreadable: " + err.Error()
	}
	s := sha256.Sum256(b)
	return hex.EncodeToString(s[:digestBytes])
}
