package server

import (
	"bufio"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// start welcomes the caller, who has authenticated by now.
func (s *Session) start() error {
	s.in = inbound{
		reader: framer.Reader{
			Source:       bufio.NewReaderSize(s.Greeting.Conn, inboundBytes),
			MaximumBytes: s.MaximumMessageBytes,
		},
		maximumBytes: s.MaximumMessageBytes,
		lost:         s.lost,
	}
	if err := s.startMark(); err != nil {
		s.fatal(describe(err))
		return err
	}
	s.welcome()
	if err := s.out.flush(); err != nil {
		return err
	}
	s.in.start()
	return nil
}

func (s *Session) startMark() error {
	t := s.Greeting.Parameters[classifier.SettingMark]
	if t == "" {
		return nil
	}
	return s.takeMark(t)
}

func (s *Session) takeMark(token string) error {
	if err := s.Marks.Restore(token, s.Director.Groups(), &s.marks); err != nil {
		return notRun(codeInvalidParameter, "the session mark is refused: "+errors.Cause(err).Error(), err)
	}
	return nil
}

func (s *Session) welcome() {
	s.out.send(&pgproto3.AuthenticationOk{})
	for n, v := range s.ServerParameters {
		if w, ok := s.Greeting.Parameters[n]; ok {
			v = w
		}
		s.out.send(&pgproto3.ParameterStatus{Name: n, Value: v})
	}
	k := make([]byte, 0, 4)
	k = append(k, byte(s.Key.SecretKey>>24), byte(s.Key.SecretKey>>16), byte(s.Key.SecretKey>>8), byte(s.Key.SecretKey))
	s.out.send(&pgproto3.BackendKeyData{ProcessID: s.Key.ProcessID, SecretKey: k})
	s.ready()
}

// reportMark gives the caller the mark to bring along when it roams.
func (s *Session) reportMark() {
	m, ok := s.marks.Get(s.group)
	if !ok || m == s.sent {
		return
	}
	t, err := s.Marks.Sign(s.marks.Marks)
	if err != nil {
		s.Log.WithError(err).WithField("step", "sign mark").WithField("session", s.ID).Error("mark not reported")
		return
	}
	s.sent = m
	s.out.send(&pgproto3.ParameterStatus{Name: classifier.SettingMark, Value: t})
}
