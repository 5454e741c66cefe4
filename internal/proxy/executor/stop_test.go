package executor

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/cuminwick/cuminwick/internal/proxy/blackboard"
	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// scriptedCaller sends statements with pauses between them, and then waits.
type scriptedCaller struct {
	statements []declarer.Statement
	pause      time.Duration
	// silent is set if the caller doesn't start the session.
	silent bool
	// last is a statement that arrives as the session is interrupted, if its verb is set.
	last declarer.Statement

	interrupted chan struct{}
	answered    []declarer.Code
}

func (c *scriptedCaller) Start(time.Time) (database, key string, err error) {
	if c.silent {
		<-c.interrupted
		return "", "", ErrDeadline
	}
	return "db", "", nil
}

func (c *scriptedCaller) Next(time.Time) (declarer.Statement, error) {
	pause := time.Hour
	if len(c.statements) > 0 {
		pause = c.pause
	}
	select {
	case <-c.interrupted:
		if x := c.last; x.Verb != declarer.VerbUnknown {
			c.last = declarer.Statement{}
			return x, nil
		}
		return declarer.Statement{}, ErrDeadline
	case <-time.After(pause):
	}
	x := c.statements[0]
	c.statements = c.statements[1:]
	return x, nil
}

func (c *scriptedCaller) Interrupt() {
	select {
	case <-c.interrupted:
	default:
		close(c.interrupted)
	}
}

func (c *scriptedCaller) Ready() error                       { return nil }
func (c *scriptedCaller) Refuse(declarer.Code, string) error { return nil }
func (c *scriptedCaller) Close()                             {}

func (c *scriptedCaller) Done(declarer.State) error {
	c.answered = append(c.answered, declarer.CodeNone)
	return nil
}

func (c *scriptedCaller) Fail(x declarer.Code, _ string, _ declarer.State) error {
	c.answered = append(c.answered, x)
	return nil
}

func (c *scriptedCaller) Forward(a *declarer.Answer, _ declarer.State) error {
	return c.Done(a.State)
}

// newSession returns a session of the caller at a host that knows no servers.
func newSession(c Caller) *Session {
	b := &blackboard.Board{}
	b.Configure(&declarer.Configuration{Version: 1, Routes: map[string]declarer.Route{"db": {Name: "db", Database: "db", Group: "g"}}})
	return &Session{Caller: c, Board: b, RetryBudgets: &RetryBudgets{}, Observer: &Observer{Board: b}, Reporter: noReporter{}, Ready: func() bool { return true }}
}

// stopped runs a session whose host stops its sessions every 50 ms, and returns its caller and when it ended.
func stopped(c *scriptedCaller) time.Duration {
	c.interrupted = make(chan struct{})
	s := newSession(c)
	began, ended := time.Now(), make(chan struct{})
	go func() {
		s.Run()
		close(ended)
	}()
	for {
		select {
		case <-ended:
			return time.Since(began)
		case <-time.After(50 * time.Millisecond):
			s.Stop(100 * time.Millisecond)
		}
	}
}

// Guards against statements that are broken off, as their session is ended while they are on their way.
func TestStopSparesCallersThatWereJustAnswered(t *testing.T) {
	set := declarer.Statement{Verb: declarer.VerbSet, Name: "a", Argument: "1"}
	for name, x := range map[string]struct {
		caller   scriptedCaller
		answered int
		within   time.Duration
	}{
		"idle":                {scriptedCaller{}, 0, 150 * time.Millisecond},
		"not started":         {scriptedCaller{silent: true}, 0, 150 * time.Millisecond},
		"busy":                {scriptedCaller{statements: []declarer.Statement{set, set, set, set, set}, pause: 80 * time.Millisecond}, 5, 550 * time.Millisecond},
		"idle after its last": {scriptedCaller{statements: []declarer.Statement{set}, pause: 20 * time.Millisecond}, 1, 170 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				took := stopped(&x.caller)
				if len(x.caller.answered) != x.answered || took > x.within {
					t.Errorf("%d statements answered, want %d; ended after %v, at most %v", len(x.caller.answered), x.answered, took, x.within)
				}
			})
		})
	}
}

// Guards against a transaction that begins in a session which is being ended, and is cut off right after.
func TestEndingSessionBeginsNoTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedCaller{last: declarer.Statement{Verb: declarer.VerbBegin}}
		stopped(c)
		if len(c.answered) != 1 || c.answered[0] != declarer.CodeBusy {
			t.Errorf("BEGIN is answered with codes %v, want %v", c.answered, declarer.CodeBusy)
		}
	})
}

// Guards against a statement that a stopping host takes when all must be answered, and that is neither refused nor run.
func TestStatementAfterAnswersAreDueIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := &scriptedCaller{statements: []declarer.Statement{{ID: "x", Verb: declarer.VerbRead, Text: "READ a"}}, interrupted: make(chan struct{})}
		s := newSession(c)
		due := time.Now()
		s.StopTimes = func() (StopTimes, bool) { return StopTimes{BeginBy: due, AnswerBy: due}, true }
		time.Sleep(time.Second)
		s.start()
		began := time.Now()
		if !s.step() || len(c.answered) != 1 || c.answered[0] != declarer.CodeBusy || time.Since(began) > 0 {
			t.Errorf("answered with codes %v after %v, want %v at once", c.answered, time.Since(began), declarer.CodeBusy)
		}
	})
}

// noReporter drops all reports.
type noReporter struct{}

func (noReporter) Statement(*Report) {}
