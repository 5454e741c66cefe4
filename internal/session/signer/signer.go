// Package signer turns a session's marks into a signed token and back.
package signer

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"github.com/cuminwick/cuminwick/internal/group/marker"
	"github.com/cuminwick/cuminwick/internal/session/tracker"
)

// Errors of a token. The text of each is fit for the caller.
const (
	// ErrMalformed is a token that is truncated, too long or otherwise no token.
	ErrMalformed = errors.ConstError("session mark is malformed or truncated")
	// ErrUnknownKey is a token signed with a key that isn't accepted.
	ErrUnknownKey = errors.ConstError("session mark is signed with an unknown key")
	// ErrSignature is a token whose signature doesn't fit.
	ErrSignature = errors.ConstError("session mark has a wrong signature")
	// ErrDeployment is a well-signed token of another deployment.
	ErrDeployment = errors.ConstError("session mark belongs to another deployment")
	// ErrNoKey is returned by Sign without a key.
	ErrNoKey = errors.ConstError("no signing key is set")
)

// Sizes of a token's parts in bytes.
const (
	// version is the first byte, for a later form of the token.
	version        = 1
	headBytes      = 1 + 4 + 8
	signatureBytes = 16
	entryBytes     = 8 + 2*binary.MaxVarintLen64
	maximumBytes   = headBytes + tracker.MaximumGroups*entryBytes + signatureBytes
)

// Key is one signing key.
type Key struct {
	// ID is carried in the token and tells the keys apart.
	ID uint32
	// Secret holds at least 16 random bytes.
	Secret []byte
}

// Signer signs and checks tokens. Its fields are set before use, after which
// it may be used by many goroutines.
type Signer struct {
	// Deployment names the installation; tokens of others are refused.
	Deployment string
	// Keys are all accepted, the first one signs. To rotate, add the new key
	// behind the old one everywhere, then put it first, then drop the old one.
	Keys []Key
}

// GroupID stands for a group's name in a token, so that tokens stay short and
// show no names.
type GroupID uint64

// Entry is one group's mark in a token.
type Entry struct {
	Group GroupID
	Mark  marker.Mark
}

// IDOf returns the id of a group's name.
func IDOf(group string) GroupID {
	return GroupID(xxhash.Sum64String(group))
}

// Sign returns the token for marks in unpadded URL-safe base 64.
func (s *Signer) Sign(marks []tracker.GroupMark) (string, error) {
	if len(s.Keys) == 0 {
		return "", ErrNoKey
	}
	k := s.Keys[0]
	b := make([]byte, 0, headBytes+len(marks)*entryBytes+signatureBytes)
	b = append(b, version)
	b = binary.BigEndian.AppendUint32(b, k.ID)
	b = binary.BigEndian.AppendUint64(b, xxhash.Sum64String(s.Deployment))
	for _, g := range marks {
		b = binary.BigEndian.AppendUint64(b, uint64(IDOf(g.DatabaseGroup)))
		b = binary.AppendUvarint(b, uint64(g.Mark.Term))
		b = binary.AppendUvarint(b, uint64(g.Mark.Position))
	}
	b = append(b, signature(k.Secret, b)...)
	return base64.RawURLEncoding.EncodeToString(b), nil
}

// Verify checks a token and returns its entries.
func (s *Signer) Verify(token string) ([]Entry, error) {
	if base64.RawURLEncoding.DecodedLen(len(token)) > maximumBytes {
		return nil, ErrMalformed
	}
	// Strict, so that each token has one form only.
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < headBytes+signatureBytes || b[0] != version {
		return nil, ErrMalformed
	}
	n := len(b) - signatureBytes
	k, ok := s.key(binary.BigEndian.Uint32(b[1:]))
	if !ok {
		return nil, ErrUnknownKey
	}
	if !hmac.Equal(b[n:], signature(k.Secret, b[:n])) {
		return nil, ErrSignature
	}
	if binary.BigEndian.Uint64(b[5:]) != xxhash.Sum64String(s.Deployment) {
		return nil, ErrDeployment
	}
	return entries(b[headBytes:n])
}

// Restore checks a token and raises in t the marks of those of groups that it
// names; a group that isn't configured is left out.
func (s *Signer) Restore(token string, groups []string, t *tracker.Tracker) error {
	e, err := s.Verify(token)
	if err != nil {
		return err
	}
	for _, g := range groups {
		d := IDOf(g)
		for _, v := range e {
			if v.Group == d {
				t.Raise(g, v.Mark)
			}
		}
	}
	return nil
}

func entries(b []byte) ([]Entry, error) {
	var l []Entry
	for len(b) > 0 {
		if len(b) < 8 {
			return nil, ErrMalformed
		}
		e := Entry{Group: GroupID(binary.BigEndian.Uint64(b))}
		t, n := binary.Uvarint(b[8:])
		if n <= 0 {
			return nil, ErrMalformed
		}
		b = b[8+n:]
		p, n := binary.Uvarint(b)
		if n <= 0 {
			return nil, ErrMalformed
		}
		b = b[n:]
		e.Mark = marker.Mark{Term: marker.Term(t), Position: marker.Position(p)}
		l = append(l, e)
	}
	return l, nil
}

func (s *Signer) key(id uint32) (Key, bool) {
	for _, k := range s.Keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

// signature is cut to 128 bits, which leaves a forger a chance of 2^-128 a try.
func signature(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	return h.Sum(nil)[:signatureBytes]
}
