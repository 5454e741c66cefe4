package parser

import (
	"crypto/sha256"
	"encoding/base64"
	"strconv"
	"strings"
)

// verifierPrefix is the prefix of a SCRAM-SHA-256 verifier in PostgreSQL's format.
const verifierPrefix = "SCRAM-SHA-256$"

// isVerifier reports whether s is a verifier of the form
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
	return err == nil && n > 0 && decodedLength(salt) > 0 &&
		decodedLength(stored) == sha256.Size && decodedLength(server) == sha256.Size
}

// decodedLength returns the number of bytes that s encodes in base64, -1 if it isn't base64.
func decodedLength(s string) int {
	b, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return -1
	}
	return len(b)
}
