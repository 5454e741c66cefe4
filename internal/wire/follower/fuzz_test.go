package follower_test

import (
	"regexp"
	"strings"
	"testing"

	"github.com/cuminwick/cuminwick/internal/wire/follower"
)

// result matches the messages of one result and open those of one that isn't complete.
const (
	result = `(?:TD*C|C|I|GC|H[dc]*C)`
	open   = `(?:TD*|G|H[dc]*)?`
)

// answers holds the items of a batch and all complete answers to them, without the messages that the
// server sends by itself.
var answers = []struct {
	items  string
	answer *regexp.Regexp
}{
	{"Q", regexp.MustCompile(`^(?:` + result + `+(?:` + open + `E)?|` + open + `E)Z$`)},
	{"PBDES", sequence([][2]string{{"", "1"}, {"", "2"}, {"t?", "t?[Tn]"}, {`(?:D*|G|H[dc]*)`, `(?:D*[Cs]|I|GC|H[dc]*C)`}})},
	{"CS", sequence([][2]string{{"", "3"}})},
}

// sequence matches the answers to the items whose answers and their beginnings are given, followed by a
// Sync. An error may come in place of each, and in place of the Sync.
func sequence(items [][2]string) *regexp.Regexp {
	r, before := "", ""
	for _, i := range items {
		r += before + i[0] + "E|"
		before += i[1]
	}
	return regexp.MustCompile("^(?:" + r + before + "E?)Z$")
}

// FuzzExpects guards against a message that is taken for a part of an answer it doesn't belong to, and
// against an answer that isn't taken as a whole.
func FuzzExpects(f *testing.F) {
	f.Add(uint8(0), "TDDCCZ")
	f.Add(uint8(0), "HdcCNTDEZ")
	f.Add(uint8(1), "12tTDDCSZ")
	f.Add(uint8(1), "12nGEZ")
	f.Add(uint8(2), "3Z")
	f.Add(uint8(2), "ZZ")
	f.Fuzz(func(t *testing.T, kind uint8, messages string) {
		m := answers[int(kind)%len(answers)]
		w := follower.Follower{Batch: newBatch(m.items)}
		taken := ""
		for i := range len(messages) {
			if w.Done() || !w.Expects(messages[i]) {
				break
			}
			w.Accept(messages[i])
			taken += messages[i : i+1]
		}
		own := strings.NewReplacer("N", "", "S", "", "A", "").Replace(messages)
		whole := w.Done() && len(taken) == len(strings.TrimRight(messages, "NSA"))
		if whole != m.answer.MatchString(own) {
			t.Errorf("answer %q to %q: taken as %q, whole %t", messages, m.items, taken, whole)
		}
	})
}
