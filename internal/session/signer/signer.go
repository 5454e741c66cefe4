// Package signer encodes a session's marks as a signed token and verifies such tokens.
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

// Errors of Sign, Verify and Restore. Their texts hold no secrets and can be sent to the caller.
const (
	// ErrMalformed is returned for a token that is truncated, too long or can't be decoded.
	ErrMalformed = errors.ConstError("session mark is malformed or truncated")
	// ErrUnknownKey is returned for a token that is signed with a key that isn't accepted.
	ErrUnknownKey = errors.ConstError("session mark is signed with an unknown key")
	// ErrSignature is returned for a token whose signature doesn't match its content.
	ErrSignature = errors.ConstError("session mark has a wrong signature")
	// ErrDeployment is returned for a token of another deployment with a valid signature.
	ErrDeployment = errors.ConstError("session mark belongs to another deployment")
	// ErrNoKey is returned by Sign if Keys is empty.
	ErrNoKey = errors.ConstError("no signing key is set")
)

// A token consists of a header (version, key ID, hash of the deployment), an entry for each group and
// a signature. Sizes are in bytes.
const (
	// version is the first byte of a token, so that the format can change.
	version           = 1
	headerBytes       = 1 + 4 + 8
	signatureBytes    = 16
	maximumEntryBytes = 8 + 2*binary.MaxVarintLen64
	maximumTokenBytes = headerBytes + tracker.MaximumGroups*maximumEntryBytes + signatureBytes
)

// Key is one key that signs and verifies tokens.
type Key struct {
	// ID is stored in each token and selects the key that verifies it.
	ID uint32
	// Secret holds at least 16 random bytes.
	Secret []byte
}

// Signer signs and verifies tokens. Its fields are set before use; after that it is safe for
// concurrent use.
type Signer struct {
	// Deployment identifies the installation. Tokens of another deployment are rejected.
	Deployment string
	// Keys holds the accepted keys; the first one signs. To rotate keys, add the new key after the
	// old one on every entry host, then move it to the front, then remove the old one.
	Keys []Key
}

// GroupID is the hash of a group's name. Tokens hold it instead of the name, so that they stay short
// and reveal no names.
type GroupID uint64

// Entry is one group's mark in a token.
type Entry struct {
	Group GroupID
	Mark  marker.Mark
}

// IDOf returns the ID of the group with this name.
func IDOf(group string) GroupID {
	return GroupID(xxhash.Sum64String(group))
}

// Sign returns the token for marks, signed with the first key, in unpadded URL-safe base64. It returns
// ErrNoKey if there is no key.
func (s *Signer) Sign(marks []tracker.GroupMark) (string, error) {
	if len(s.Keys) == 0 {
		return "", ErrNoKey
	}
	k := s.Keys[0]
	b := make([]byte, 0, headerBytes+len(marks)*maximumEntryBytes+signatureBytes)
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

// Verify returns the entries of a token, or an error if the token isn't valid.
func (s *Signer) Verify(token string) ([]Entry, error) {
	if base64.RawURLEncoding.DecodedLen(len(token)) > maximumTokenBytes {
		return nil, ErrMalformed
	}
	// Strict decoding accepts only one encoding of each token.
	b, err := base64.RawURLEncoding.Strict().DecodeString(token)
	if err != nil || len(b) < headerBytes+signatureBytes || b[0] != version {
		return nil, ErrMalformed
	}
	n := len(b) - signatureBytes
	k, ok := s.findKey(binary.BigEndian.Uint32(b[1:]))
	if !ok {
		return nil, ErrUnknownKey
	}
	if !hmac.Equal(b[n:], signature(k.Secret, b[:n])) {
		return nil, ErrSignature
	}
	if binary.BigEndian.Uint64(b[5:]) != xxhash.Sum64String(s.Deployment) {
		return nil, ErrDeployment
	}
	return decodeEntries(b[headerBytes:n])
}

// Restore verifies a token and raises in t the mark of each of groups that the token has an entry of.
// Entries of other groups, which aren't configured, are ignored.
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

// decodeEntries decodes the bytes between the header and the signature.
func decodeEntries(b []byte) ([]Entry, error) {
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

func (s *Signer) findKey(id uint32) (Key, bool) {
	for _, k := range s.Keys {
		if k.ID == id {
			return k, true
		}
	}
	return Key{}, false
}

// signature returns the HMAC-SHA256 of b, truncated to 128 bits: each forged signature passes with a
// probability of 2^-128.
func signature(secret, b []byte) []byte {
	h := hmac.New(sha256.New, secret)
	h.Write(b)
	return h.Sum(nil)[:signatureBytes]
}
