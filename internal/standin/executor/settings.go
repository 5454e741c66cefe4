package executor

import (
	"maps"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
	pgquery "github.com/pganalyze/pg_query_go/v6"
)

// set runs SET, SET LOCAL, SET TRANSACTION and RESET.
func (s *Session) set(v *pgquery.VariableSetStmt) (*Result, error) {
	switch v.Kind {
	case pgquery.VariableSetKind_VAR_RESET_ALL:
		s.Reset()
		return &Result{Tag: "RESET"}, nil
	case pgquery.VariableSetKind_VAR_RESET, pgquery.VariableSetKind_VAR_SET_DEFAULT:
		s.change(v.Name, s.StartupSettings[CanonicalSetting(v.Name)], v.IsLocal)
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
		s.change(v.Name, t, v.IsLocal)
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
		s.change("default_transaction_read_only", onOff(on), false)
	}
	return &Result{Tag: "SET"}, nil
}

func onOff(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

// change sets a setting for the session or, if local, until the transaction ends.
func (s *Session) change(name, value string, local bool) {
	name = CanonicalSetting(name)
	if local && !s.explicit {
		return
	}
	if local {
		keep(&s.local, s.Settings, name)
	} else if s.explicit {
		keep(&s.undo, s.Settings, name)
		delete(s.local, name)
	}
	s.assign(name, value)
}

// CanonicalSetting returns a setting's name as the server reports it.
func CanonicalSetting(name string) string {
	for n := range reported {
		if strings.EqualFold(n, name) {
			return n
		}
	}
	return strings.ToLower(name)
}

func settingText(args []*pgquery.Node) (string, error) {
	var t []string
	for _, a := range args {
		v, err := constant(a.GetAConst())
		if err != nil {
			return "", err
		}
		t = append(t, string(FormatText(pgtype.TextOID, v)))
	}
	return strings.Join(t, ", "), nil
}

func (s *Session) show(v *pgquery.VariableShowStmt) (*Result, error) {
	n := CanonicalSetting(v.Name)
	if n == "transaction_read_only" {
		l, _ := s.Store.IsPrimary()
		return oneRow([]Column{{Name: n, Type: pgtype.TextOID}}, []any{onOff(s.readOnly || !l)}, "SHOW"), nil
	}
	t, ok := s.Setting(n)
	if !ok {
		return nil, failure("42704", "unrecognized configuration parameter %q", v.Name)
	}
	return oneRow([]Column{{Name: n, Type: pgtype.TextOID}}, []any{t}, "SHOW"), nil
}

// Setting returns a setting's value.
func (s *Session) Setting(name string) (string, bool) {
	v, ok := s.Settings[name]
	return v, ok
}

// restore puts back settings that were changed, nil values remove them.
func (s *Session) restore(old map[string]string) {
	for n, v := range old {
		s.assign(n, v)
	}
}

// assign changes a setting and reports it where PostgreSQL does.
func (s *Session) assign(name, value string) {
	s.Settings[name] = value
	if reported[name] && s.Report != nil {
		s.Report(name, value)
	}
}

// reported are the settings whose changes callers are told.
var reported = map[string]bool{
	"application_name":              true,
	"client_encoding":               true,
	"DateStyle":                     true,
	"TimeZone":                      true,
	"IntervalStyle":                 true,
	"standard_conforming_strings":   true,
	"default_transaction_read_only": true,
}

// keep remembers a setting's value before its first change in a transaction.
func keep(m *map[string]string, settings map[string]string, name string) {
	if *m == nil {
		*m = map[string]string{}
	}
	if _, ok := (*m)[name]; !ok {
		(*m)[name] = settings[name]
	}
}

// Reset puts all settings back to those of the startup.
func (s *Session) Reset() {
	for n := range s.Settings {
		if _, ok := s.StartupSettings[n]; !ok {
			delete(s.Settings, n)
		}
	}
	for n, v := range maps.All(s.StartupSettings) {
		if s.Settings[n] != v {
			s.assign(n, v)
		}
	}
}
