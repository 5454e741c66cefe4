package executor

import (
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// runSet runs SET, SET LOCAL, SET TRANSACTION and RESET.
func (s *Session) runSet(v *pgquery.VariableSetStmt) (*Result, error) {
	switch v.Kind {
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		s.Reset()
		return &Result{Tag: "RESET"}, nil
	case pgquery.VariableSetKind_VAR_RESET, pgquery.VariableSetKind_VAR_SET_DEFAULT:
		s.changeSetting(v.Name, s.StartupSettings[CanonicalSetting(v.Name)], v.IsLocal)
		if v.Kind == pgquery.VariableSetKind_VAR_RESET {
			return &Result{Tag: "RESET"}, nil
		}
	case pgquery.VariableSetKind_VAR_SET_MULTI:
		return s.setTransaction(v)
	default:
		t, err := settingText(v.Args)
		if err != nil {
			return nil, err
		}
		s.changeSetting(v.Name, t, v.IsLocal)
	}
	return &Result{Tag: "SET"}, nil
}

// setTransaction runs SET TRANSACTION and SET SESSION CHARACTERISTICS.
func (s *Session) setTransaction(v *pgquery.VariableSetStmt) (*Result, error) {
	for _, a := range v.Args {
		d := a.GetDefElem()
		if d.GetDefname() != "transaction_read_only" {
			continue
		}
		on := d.Arg.GetAConst().GetIval().GetIval() != 0
		if v.Name == "TRANSACTION" {
			s.readOnly = on
			continue
		}
		s.changeSetting("default_transaction_read_only", onOff(on), false)
	}
	return &Result{Tag: "SET"}, nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// changeSetting changes a setting for the session or, if local, until the transaction ends.
func (s *Session) changeSetting(name, value string, local bool) {
	name = CanonicalSetting(name)
	if local && !s.inTransactionBlock {
		return
	}
	if local {
		saveOriginal(&s.settingsBeforeSetLocal, s.Settings, name)
	} else if s.inTransactionBlock {
		saveOriginal(&s.settingsBeforeSet, s.Settings, name)
		delete(s.settingsBeforeSetLocal, name)
	}
	s.assignSetting(name, value)
}

// CanonicalSetting returns a setting's name in the case in which the server reports it, lower case if
// the server does not report it.
func CanonicalSetting(name string) string {
	for n := range reportedSettings {
		if strings.EqualFold(n, name) {
			return n
		}
	}
	return strings.ToLower(name)
}

func settingText(args []*pgquery.Node) (string, error) {
	var t []string
	for _, a := range args {
		v, err := constantValue(a.GetAConst())
		if err != nil {
			return "", err
		}
		t = append(t, string(FormatText(pgtype.TextOID, v)))
	}
	return strings.Join(t, ", "), nil
}

func (s *Session) runShow(v *pgquery.VariableShowStmt) (*Result, error) {
	n := CanonicalSetting(v.Name)
	if n == "transaction_read_only" {
		l, _ := s.Store.IsPrimary()
		return singleRowResult([]Column{{Name: n, Type: pgtype.TextOID}}, []any{onOff(s.readOnly || !l)}, "SHOW"), nil
	}
	t, ok := s.Setting(n)
	if !ok {
		return nil, pgError("42704", "unrecognized configuration parameter %q", v.Name)
	}
	return singleRowResult([]Column{{Name: n, Type: pgtype.TextOID}}, []any{t}, "SHOW"), nil
}

// Setting returns the value of the setting with the given canonical name, and whether it exists.
func (s *Session) Setting(name string) (string, bool) {
	v, ok := s.Settings[name]
	return v, ok
}

// restoreSettings sets the settings in old to their values there.
func (s *Session) restoreSettings(old map[string]string) {
	for n, v := range old {
		s.assignSetting(n, v)
	}
}

// assignSetting assigns a setting and reports it to the client if PostgreSQL does so.
func (s *Session) assignSetting(name, value string) {
	s.Settings[name] = value
	if reportedSettings[name] && s.Report != nil {
		s.Report(name, value)
	}
}

// reportedSettings are the settings whose changes the server reports to the client.
var reportedSettings = map[string]bool{
	"application_name":              true,
	"client_encoding":               true,
	"DateStyle":                     true,
	"TimeZone":                      true,
	"IntervalStyle":                 true,
	"standard_conforming_strings":   true,
	"default_transaction_read_only": true,
}

// saveOriginal saves a setting's value in m before its first change in a transaction.
func saveOriginal(m *map[string]string, settings map[string]string, name string) {
	if *m == nil {
		*m = map[string]string{}
	}
	if _, ok := (*m)[name]; !ok {
		(*m)[name] = settings[name]
	}
}

// Reset restores all settings to StartupSettings.
func (s *Session) Reset() {
	for n := range s.Settings {
		if _, ok := s.StartupSettings[n]; !ok {
			delete(s.Settings, n)
		}
	}
	for n, v := range maps.All(s.StartupSettings) {
		if s.Settings[n] != v {
			s.assignSetting(n, v)
		}
	}
}
