package key

import (
	"crypto/rand"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"strings"

	"github.com/joomcode/errorx"
)

const (
	prefix      = "hk-"
	idBytes     = 9  // 72 random bits, 12 characters
	secretBytes = 32 // 256 random bits, which is why a plain SHA-256 is enough
)

// Secret is a key as a caller presents it.
type Secret struct {
	id     string
	secret string
}

// NewSecret draws a key from the system's random source.
func NewSecret() (Secret, error) {
	buf := make([]byte, idBytes+secretBytes)
	if _, err := rand.Read(buf); err != nil {
		return Secret{}, errorx.Decorate(err, "draw key")
	}
	enc := base64.RawURLEncoding
	// Hyphens separate the parts of a key, so they are replaced in the identifier.
	id := strings.ReplaceAll(enc.EncodeToString(buf[:idBytes]), "-", ".")
	return Secret{id: id, secret: enc.EncodeToString(buf[idBytes:])}, nil
}

// ParseSecret splits a presented key; it fails on text that has another form.
func ParseSecret(text string) (Secret, error) {
	rest, ok := strings.CutPrefix(text, prefix)
	if !ok {
		return Secret{}, errorx.IllegalFormat.New("key must start with %q", prefix)
	}
	id, secret, ok := strings.Cut(rest, "-")
	if !ok || id == "" || secret == "" || len(text) > 128 {
		return Secret{}, errorx.IllegalFormat.New("key must have the form hk-<id>-<secret>")
	}
	return Secret{id: id, secret: secret}, nil
}

// ID returns the public identifier of the key.
func (s Secret) ID() string { return s.id }

// String returns the key as a caller presents it.
func (s Secret) String() string { return prefix + s.id + "-" + s.secret }

// Hash returns the SHA-256 of the secret part.
func (s Secret) Hash() []byte {
	h := sha256.Sum256([]byte(s.secret))
	return h[:]
}

// Matches reports in constant time whether the key has the hash.
func (s Secret) Matches(hash []byte) bool { return subtle.ConstantTimeCompare(s.Hash(), hash) == 1 }
