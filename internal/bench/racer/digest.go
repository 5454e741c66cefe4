package racer

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/cuminwick/cuminwick/internal/config/declarer"
	"github.com/cuminwick/cuminwick/internal/config/defaulter"
)

// digestBytes are enough to tell a run's files apart and short in an example.
const digestBytes = 6

// Digest stands for a file's content with all defaults set. It isn't the digest
// by which entry hosts check what they fetch, so that a fault there can't hide.
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
