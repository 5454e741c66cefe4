// Package loader reads an entry host's settings file and the secrets that it names.
package loader

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/settings/declarer"
	"github.com/cuminwick/cuminwick/internal/settings/decoder"
	"github.com/cuminwick/cuminwick/internal/settings/defaulter"
)

// MinimumKeyBytes is the minimum length of a mark key, without surrounding white space.
const MinimumKeyBytes = 16

// Load reads the settings from file. If the settings are invalid, the error is of type decoder.Faults,
// which lists all faults of the file, or if there are none, those of the secrets that it names. Relative
// file names are relative to the directory of the settings file. now is the time of the start.
func Load(file string, now time.Time) (declarer.Settings, error) {
	b, err := os.ReadFile(file)
	if err != nil {
		return declarer.Settings{}, errors.Annotate(err, "read settings file")
	}
	s := defaulter.Default()
	l, f := decoder.Decode(file, b, &s)
	if len(f) > 0 {
		return declarer.Settings{}, f
	}
	resolvePaths(&s, filepath.Dir(file))
	r := secretReader{file: file, lines: l}
	r.read(&s)
	if len(r.faults) > 0 {
		return declarer.Settings{}, r.faults
	}
	defaulter.Derive(&s, now)
	return s, nil
}

// resolvePaths joins the relative file names in s to dir, the directory of the settings file.
func resolvePaths(s *declarer.Settings, dir string) {
	l := []*string{
		&s.Callers.CertificateFile, &s.Callers.KeyFile,
		&s.Peers.AuthorityFile, &s.Peers.CertificateFile, &s.Peers.KeyFile,
		&s.Administration.CertificateFile, &s.Administration.KeyFile, &s.Administration.TokensFile,
		&s.Platform.TokenFile, &s.Backend.PasswordFile,
	}
	for i := range s.MarkKeys {
		l = append(l, &s.MarkKeys[i].File)
	}
	for _, p := range l {
		if *p != "" && !filepath.IsAbs(*p) {
			*p = filepath.Join(dir, *p)
		}
	}
}

// secretReader reads the backend password and the mark keys. Their values never appear in faults.
type secretReader struct {
	file   string
	lines  decoder.Lines
	faults decoder.Faults
}

func (r *secretReader) read(s *declarer.Settings) {
	p, problem := readPassword(&s.Backend)
	if problem != "" {
		r.addFault("backend", problem, "a password that can be read")
	}
	s.Backend.Password = p
	for i := range s.MarkKeys {
		r.readMarkKey(&s.MarkKeys[i], fmt.Sprintf("mark-keys[%d].file", i))
	}
}

func (r *secretReader) readMarkKey(k *declarer.MarkKey, key string) {
	b, err := os.ReadFile(k.File)
	b = bytes.TrimSpace(b)
	switch {
	case err != nil:
		r.addFault(key, err.Error(), "a file that can be read")
	case len(b) < MinimumKeyBytes:
		r.addFault(key, "a short key", fmt.Sprintf("%d bytes or more", MinimumKeyBytes))
	}
	k.Key = b
}

func (r *secretReader) addFault(key, found, expected string) {
	f := decoder.Fault{File: r.file, Line: r.lines[key], Key: key, Found: found, Expected: expected}
	r.faults = append(r.faults, f)
}

// readPassword returns the password for backend servers, or a description of the problem with its
// source.
func readPassword(b *declarer.Backend) (value, problem string) {
	if b.PasswordEnvironment != "" {
		v := os.Getenv(b.PasswordEnvironment)
		if v == "" {
			return "", "an empty environment variable " + b.PasswordEnvironment
		}
		return v, ""
	}
	d, err := os.ReadFile(b.PasswordFile)
	if err != nil {
		return "", err.Error()
	}
	v := string(bytes.TrimSpace(d))
	if v == "" {
		return "", "an empty file " + b.PasswordFile
	}
	return v, ""
}
