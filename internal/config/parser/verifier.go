package parser

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
)

// verifierPrefix starts a SCRAM-SHA-256 verifier in PostgreSQL's form.
const verifierPrefix = "SCRAM-SHA-256$"

// isVerifier reports whether s has the form
// SCRAM-SHA-256$iterations:salt$stored-key:server-key.
func isVerifier(s string) bool {
	s, ok := strings.CutPrefix(s, verifierPrefix)
	if !ok {
		return false
	}
	a, b, ok := strings.Cut(s, "$")
	if !ok {
		return false
	}
	iterations, salt, _ := strings.Cut(a, ":")
	stored, server, _ := strings.Cut(b, ":")
	n, err := strconv.Atoi(iterations)
	return err == nil && n > 0 && length(salt) > 0 &&
		length(stored) == sha256.Size && length(server) == sha256.Size
}

// length returns how many bytes s holds in base64, -1 if it isn't base64.
func length(s string) int {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return -1
	}
	return len(b)
}
