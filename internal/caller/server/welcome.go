package server

import (
	"bufio"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/statement/classifier"
	"github.com/cuminwick/cuminwick/internal/wire/framer"
)

// start reads the session mark of the startup message, completes the startup and starts the reader.
// The caller has been authenticated before.
func (s *Session) start() error {
	s.in = inbound{
		reader: framer.Reader{
			Source:       bufio.NewReaderSize(s.StartupRequest.Conn, inboundBytes),
			MaximumBytes: s.MaximumMessageBytes,
		},
		maximumBytes: s.MaximumMessageBytes,
		onError:      s.disconnected,
	}
	err := s.checkStartupSettings()
	if err == nil {
		err = s.restoreStartupMark()
	}
	if err != nil {
		s.fatal(describe(err))
		return err
	}
	s.completeStartup()
	if err := s.out.flush(); err != nil {
		return err
	}
	s.in.start()
	return nil
}

// checkStartupSettings refuses settings of the startup message that a SET is refused for.
func (s *Session) checkStartupSettings() error {
	for n, v := range s.StartupRequest.Parameters {
		if classifier.ChangesSyntax(n, v) {
			return notRun(codeFeature, "setting refused: "+classifier.RefusalSyntaxSetting.String(), nil)
		}
	}
	return nil
}

func (s *Session) restoreStartupMark() error {
	t := s.StartupRequest.Parameters[classifier.SettingMark]
	if t == "" {
		return nil
	}
	return s.restoreMark(t)
}

func (s *Session) restoreMark(token string) error {
	if err := s.Marks.Restore(token, s.Director.Groups(), &s.marks); err != nil {
		return notRun(codeInvalidParameter, "the session mark is refused: "+errors.Cause(err).Error(), err)
	}
	return nil
}

func (s *Session) completeStartup() {
	s.out.send(&pgproto3.AuthenticationOk{})
	for n, v := range s.ServerParameters {
		if w, ok := s.StartupRequest.Parameters[n]; ok {
			v = w
		}
		s.out.send(&pgproto3.ParameterStatus{Name: n, Value: v})
	}
	k := make([]byte, 0, 4)
	k = append(k, byte(s.Key.SecretKey>>24), byte(s.Key.SecretKey>>16), byte(s.Key.SecretKey>>8), byte(s.Key.SecretKey))
	s.out.send(&pgproto3.BackendKeyData{ProcessID: s.Key.ProcessID, SecretKey: k})
	s.readyForQuery()
}

// reportMark sends the caller its session mark, which it presents when it connects to another entry
// host.
func (s *Session) reportMark() {
	m, ok := s.marks.Get(s.group)
	if !ok || m == s.reportedMark {
		return
	}
	t, err := s.Marks.Sign(s.marks.Marks)
	if err != nil {
		s.Log.WithError(err).WithField("step", "sign mark").WithField("session", s.ID).Error("mark not reported")
		return
	}
	s.reportedMark = m
	s.out.send(&pgproto3.ParameterStatus{Name: classifier.SettingMark, Value: t})
}
