package caller

import (
	"fmt"
	"strings"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/checker"
	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

// oddWords are parts of any field, oddEnds those of a last field only.
var (
	oddWords = []string{"\n", "\r", "\x00", "\t", "\xff\xfe", "\n\nBYE\n", "\nROLLBACK", "é", "\r\r"}
	oddEnds  = []string{
		" ", "  ", "  x", " WRITE lf", " READ lf", "\nQUERY id2 WRITE q2c y", "\nQUERY - SET who other", "\nDONE sig", "\nREADY I -",
		"\rROW r", "\nROW a\nROW b", "\r",
	}
	// oddItems are few, so that sessions use the same ones at the same time.
	oddItems = []string{"0\ny", "1\r", "2\x00\x00z", "3\t\t", "4\xff", "5\nBYE"}
)

// word returns a text of odd bytes without blanks.
func (s *Session) word(start string) string {
	return withoutLineEnds(start + pick(s, oddWords) + pick(s, []string{"", "a", pick(s, oddWords)}))
}

// last returns a text of odd bytes for the last field of a message.
func (s *Session) last(start string) string {
	switch s.Random.IntN(3) {
	case 0:
		return s.word(start)
	case 1:
		return withoutLineEnds(s.word(start) + pick(s, oddEnds))
	}
	return withoutLineEnds(start + pick(s, oddEnds))
}

func pick(s *Session, l []string) string { return l[s.Random.IntN(len(l))] }

// withoutLineEnds parts each CR LF, which ends a line wherever it stands.
func withoutLineEnds(text string) string { return strings.ReplaceAll(text, "\r\n", "\r\x00\n") }

// data returns the data of a write of the value.
func (s *Session) data(value int) string {
	if !s.chance(s.OddPercent) {
		return fmt.Sprint(value)
	}
	return s.last(fmt.Sprintf("%d ", value))
}

func (s *Session) oddItem() string {
	return replicator.OddItem + pick(s, oddItems)
}

// operateOdd carries out an operation whose texts hold odd bytes.
func (s *Session) operateOdd() error {
	item := s.oddItem()
	switch s.Random.IntN(7) {
	case 0:
		return s.write(item)
	case 1:
		return s.transact(item)
	case 2:
		return s.read("READ "+item, item)
	case 3:
		item = s.last(item)
		return s.read("READ "+item, item)
	case 4:
		return s.setUp("SET " + s.word("n") + " " + pick(s, []string{s.last("v"), s.last("v"), ""}))
	}
	return s.execute(item)
}

// execute prepares a statement under a name with odd bytes, runs it, and at random forgets it.
func (s *Session) execute(item string) error {
	name, mode := s.word("p"), pick(s, []string{"READ", "WRITE"})
	if err := s.setUp("PREPARE " + name + " " + mode + " " + s.last(fmt.Sprintf("q%d", s.Random.IntN(items)))); err != nil {
		return err
	}
	var err error
	if mode == "READ" {
		err = s.read("EXEC "+name+" "+item, item)
	} else {
		err = s.writeWith("EXEC "+name, item)
	}
	if err != nil || s.Random.IntN(2) == 0 {
		return err
	}
	return s.setUp("DEALLOC " + name)
}

// setUp makes a statement that changes the session, and returns an error if it fails.
func (s *Session) setUp(text string) error {
	a, err := s.ask(text)
	if err == nil && a.code != "" {
		return errRefused
	}
	return err
}

// pipeline sends several statements at once and waits for their answers, or leaves in the middle.
func (s *Session) pipeline() error {
	item := fmt.Sprintf("x%d", s.Random.IntN(items))
	if s.chance(s.OddPercent) {
		item = s.oddItem()
	}
	w := checker.Write{Session: s.Name, Item: item, Value: s.Recorder.nextValue()}
	write := "WRITE " + item + " " + s.data(w.Value)
	texts := []string{"READ " + item, write, "EXEC look " + item, "SET n" + fmt.Sprint(s.Random.IntN(items)) + " " + s.data(w.Value), "READ " + item}
	if s.Random.IntN(2) == 0 {
		texts = []string{"BEGIN", write, "READ " + item, "COMMIT"}
	}
	sent := time.Now()
	if s.send(texts...) != nil {
		return errConnectionBroken
	}
	leave := len(texts)
	if s.Random.IntN(4) == 0 {
		leave = s.Random.IntN(len(texts))
	}
	succeeded := true
	for i, t := range texts {
		if strings.HasPrefix(t, "WRITE") {
			w.ID = s.outstanding[0].ID
		}
		if i == leave {
			return errCallerDisconnected
		}
		a, err := s.receive(sent)
		if err != nil {
			return err
		}
		if a.code != "" && (t == write || texts[0] == "BEGIN") {
			succeeded = false
		}
	}
	if succeeded {
		w.Outcome, w.Answered = checker.OutcomeRan, time.Now()
	}
	s.Recorder.Update(func(h *checker.History) { h.Writes = append(h.Writes, w) })
	return nil
}
