package executor

import (
	"io"
	"testing"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/proxy/declarer"
)

// endingCaller sends one statement, if its session starts, and then ends with an error.
type endingCaller struct {
	scriptedCaller
	start, next, answer error
	// refused is the code of an error without a state.
	refused declarer.Code
}

func (c *endingCaller) Refuse(x declarer.Code, _ string) error {
	c.refused = x
	return nil
}

func (c *endingCaller) Start(time.Time) (database, key string, err error) { return "db", "", c.start }

func (c *endingCaller) Next(time.Time) (declarer.Statement, error) {
	return declarer.Statement{Verb: declarer.VerbRollback}, c.next
}

func (c *endingCaller) Done(declarer.State) error { return c.answer }

// Guards against a session that ends without anybody knowing why: what was sent, and by whom the connection
// was closed, can't be told afterwards.
func TestEndOfSessionHasItsCause(t *testing.T) {
	annotated := func(err errors.ConstError) error { return errors.WithType(errors.New("17 bytes"), err) }
	for name, x := range map[string]struct {
		caller endingCaller
		want   EndCause
	}{
		"closed":       {endingCaller{next: io.EOF}, EndClosed},
		"bye":          {endingCaller{next: ErrBye}, EndBye},
		"cut":          {endingCaller{next: annotated(ErrCut)}, EndCut},
		"malformed":    {endingCaller{next: annotated(ErrMalformed)}, EndMalformed},
		"too long":     {endingCaller{next: annotated(ErrTooLong)}, EndTooLong},
		"unread":       {endingCaller{answer: io.ErrClosedPipe}, EndUnread},
		"no startup":   {endingCaller{start: ErrDeadline}, EndNoStartup},
		"odd startup":  {endingCaller{start: annotated(ErrMalformed)}, EndMalformed},
		"never opened": {endingCaller{start: io.EOF}, EndClosed},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSession(&x.caller)
			var got []EndCause
			s.OnEnd = func(e SessionEnd) { got = append(got, e.Cause) }
			s.Run()
			if len(got) != 1 || got[0] != x.want {
				t.Errorf("ended with causes %v, want %v", got, x.want)
			}
		})
	}
}

// Guards against a refused start and a planned stop that are counted as faults of callers.
func TestEndByHostHasItsCause(t *testing.T) {
	for name, x := range map[string]struct {
		prepare func(s *Session)
		want    EndCause
	}{
		"refused": {func(s *Session) { s.stopping.Store(true) }, EndRefused},
		"stopped": {func(s *Session) { s.Caller.(*endingCaller).next = ErrDeadline }, EndStopped},
	} {
		t.Run(name, func(t *testing.T) {
			s := newSession(&endingCaller{})
			x.prepare(s)
			if s.start() {
				s.stopping.Store(true)
				s.step()
			}
			if got := s.endCause(); got != x.want {
				t.Errorf("cause %v, want %v", got, x.want)
			}
		})
	}
}

// Guards against a caller whose session ends without a word for what it has sent.
func TestOddMessageIsAnswered(t *testing.T) {
	for name, x := range map[string]struct {
		caller endingCaller
		want   declarer.Code
	}{
		"malformed":           {endingCaller{next: ErrMalformed}, declarer.CodeMalformed},
		"too long":            {endingCaller{next: ErrTooLong}, declarer.CodeTooBig},
		"malformed at start":  {endingCaller{start: ErrMalformed}, declarer.CodeMalformed},
		"too long at start":   {endingCaller{start: ErrTooLong}, declarer.CodeTooBig},
		"cut":                 {endingCaller{next: ErrCut}, declarer.CodeNone},
		"bye":                 {endingCaller{next: ErrBye}, declarer.CodeNone},
		"no startup":          {endingCaller{start: ErrDeadline}, declarer.CodeNone},
		"cut startup message": {endingCaller{start: ErrCut}, declarer.CodeNone},
	} {
		t.Run(name, func(t *testing.T) {
			newSession(&x.caller).Run()
			if x.caller.refused != x.want {
				t.Errorf("caller is told code %d, want %d", x.caller.refused, x.want)
			}
		})
	}
}
