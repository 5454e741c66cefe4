// Package identifier finds the customer that holds a caller's key.
//
// Keys are secrets. They are kept and passed on as digests only, so that no dump of a host's memory,
// log or message between hosts shows one.
package identifier

import (
	"crypto/sha256"
	"encoding/base64"

	"github.com/juju/errors"
)

// digestBytes is the length of a Digest. No key with a given digest can be found by trial.
const digestBytes = 16

// Digest stands for a key.
type Digest [digestBytes]byte

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	d := sha256.Sum256([]byte(key))
	return Digest(d[:digestBytes])
}

// MarshalText encodes the digest in base64, for URLs and without padding.
func (d Digest) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, d[:]), nil
}

// ErrDigest is returned for a text that isn't a digest.
const ErrDigest = errors.ConstError("not the digest of a key")

// UnmarshalText decodes the text of MarshalText.
func (d *Digest) UnmarshalText(text []byte) error {
	b, err := base64.RawURLEncoding.AppendDecode(nil, text)
	if err != nil || len(b) != digestBytes {
		return errors.Annotatef(ErrDigest, "%d bytes", len(text))
	}
	*d = Digest(b)
	return nil
}

// Keys holds the customers by the digests of their keys, with an empty name for a key that several
// customers declare. A lookup compares digests, so that its time tells nothing about how much of a
// key is right.
type Keys map[Digest]string

// Add makes d a key of the customer. A key of several customers identifies none of them.
func (k Keys) Add(d Digest, customer string) {
	if o, ok := k[d]; ok && o != customer {
		customer = ""
	}
	k[d] = customer
}

// Customer returns the name of the customer that holds the key, false if none or several do.
func (k Keys) Customer(d Digest) (string, bool) {
	c := k[d]
	return c, c != ""
}
