package runner

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/cuminwick/cuminwick/internal/soak/planner"
	"github.com/cuminwick/cuminwick/internal/soak/replicator"
)

var (
	answerSeeds  = flag.Int("soak.answer-seeds", 1, "number of seeds of TestAnswersBelongToTheirStatements")
	answerLength = flag.Duration("soak.answer-length", 10*time.Second, "time during which servers answer twice and callers send odd texts")
)

// Shares of a soak's operations whose texts hold odd bytes, and whose statements are sent several at once.
const (
	oddPercent      = 15
	pipelinePercent = 10
)

// Guards against answers that reach another statement, statements that nobody sent and values of other sessions, as
// servers answer twice and texts hold parts of line ends.
func TestAnswersBelongToTheirStatements(t *testing.T) {
	soakSeeds(t, *answerSeeds, soakAnswers)
}

// causesOf returns whether servers answer twice and whether texts are odd in the soak with the seed: only texts,
// both, or only answers.
func causesOf(seed uint64) (repeats, odd bool) { return seed%3 != 0, seed%3 != 2 }

// repetitionOf returns how servers answer twice in the soak with the seed: in three seeds out of nine whole and
// unchanged only.
func repetitionOf(seed uint64) replicator.Repetition {
	return replicator.Repetition{CutIn: seed/3%3 > 0, SignAnew: seed/3%3 > 1}
}

func soakAnswers(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	d := &deployment{directory: newDirectory(t, "soak-answers", seed), seed: seed, hostCount: *hosts, statementTime: shortStatement}
	d.customers, d.connections = kindOfSoak(seed)
	s := &soakRun{
		deployment: d, random: rand.New(rand.NewPCG(seed, 1)), injector: &injector{deployment: d},
		calm: *answerLength, pipelinePercent: pipelinePercent,
	}
	repeats, odd := causesOf(seed)
	d.repetition, d.oddErrors = repetitionOf(seed), odd
	if repeats {
		s.plan = planner.Repetitions(seed, *answerLength, groups*serversPerGroup)
	}
	if odd {
		s.oddPercent = oddPercent
	}
	s.test(ctx, t, seed)
}

// sample returns at most n findings, with some of each kind.
func sample(findings []string, n int) []string {
	const perKind = 4
	var l []string
	kinds := make(map[string]int)
	for _, f := range findings {
		if k, _, _ := strings.Cut(f, ":"); kinds[k] < perKind || len(findings) <= n {
			kinds[k]++
			l = append(l, f)
		}
	}
	return l[:min(n, len(l))]
}

// answerSummary tells how many answers there were, and how many findings of each kind.
func (s *soakRun) answerSummary(findings []string) string {
	answered, sent, repeated := 0, 0, 0
	errors, kinds := make(map[string]int), make(map[string]int)
	for i, r := range s.deployment.recorders {
		for _, x := range r.History().Statements {
			keyword, _, _ := strings.Cut(x.Text, " ")
			if x.Answered {
				answered++
			}
			if x.Code != "" {
				errors[keyword+" "+x.Code]++
			}
		}
		n := s.deployment.groups[i].Answers()
		sent, repeated = sent+n.All, repeated+n.Repeated
	}
	for _, f := range findings {
		k, _, _ := strings.Cut(f, ":")
		kinds[k]++
	}
	return fmt.Sprintf("odd texts %t, %+v, %d connections, %d customers: %d answers to callers, %d of servers, %d of them twice; mixed %d, pinned %d, unasked %d; findings %v; errors %v",
		s.oddPercent > 0, s.deployment.repetition, s.deployment.connections, s.deployment.customers, answered, sent, repeated, kinds["mixed"], kinds["pinned"], kinds["unasked"], kinds, errors)
}
