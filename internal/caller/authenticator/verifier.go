package authenticator

import (
	"encoding/base64"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/xdg-go/scram"
)

// errVerifier never contains the verifier itself.
const errVerifier = errors.ConstError("verifier isn't in PostgreSQL's form")

// parseVerifier parses a verifier of the form SCRAM-SHA-256$iterations:salt$stored-key:server-key.
func parseVerifier(s string) (scram.StoredCredentials, error) {
	var c scram.StoredCredentials
	p := strings.FieldsFunc(s, func(r rune) bool { return r == '$' || r == ':' })
	if len(p) != 5 || p[0] != Mechanism {
		return c, errVerifier
	}
	n, err := strconv.Atoi(p[1])
	if err != nil || n <= 0 {
		return c, errVerifier
	}
	salt, err := base64.StdEncoding.DecodeString(p[2])
	if err != nil {
		return c, errVerifier
	}
	c.KeyFactors = scram.KeyFactors{Salt: string(salt), Iters: n}
	if c.StoredKey, err = base64.StdEncoding.DecodeString(p[3]); err != nil {
		return c, errVerifier
	}
	if c.ServerKey, err = base64.StdEncoding.DecodeString(p[4]); err != nil {
		return c, errVerifier
	}
	return c, nil
}
