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
	secretPrefix = "hk-"
	idBytes      = 9  // 72 random bits, 12 characters
	secretBytes  = 32 // 256 random bits, for which a SHA-256 hash is sufficient
)

// Secret is a key as a client sends it: an identifier and a secret part.
type Secret struct {
	id     string
	secret string
}

// NewSecret generates a key with the operating system's random number generator.
func NewSecret() (Secret, error) {
	buf := make([]byte, idBytes+secretBytes)
	if _, err := rand.Read(buf); err != nil {
		return Secret{}, errorx.Decorate(err, "generate key")
	}
	enc := base64.RawURLEncoding
	// Hyphens separate the parts of a key, so they are replaced in the identifier.
	id := strings.ReplaceAll(enc.EncodeToString(buf[:idBytes]), "-", ".")
	return Secret{id: id, secret: enc.EncodeToString(buf[idBytes:])}, nil
}

// ParseSecret parses a key in the form that String returns.
func ParseSecret(text string) (Secret, error) {
	rest, ok := strings.CutPrefix(text, secretPrefix)
	if !ok {
		return Secret{}, errorx.IllegalFormat.New("key must start with %q", secretPrefix)
	}
	id, secret, ok := strings.Cut(rest, "-")
	if !ok || id == "" || secret == "" || len(text) > 128 {
		return Secret{}, errorx.IllegalFormat.New("key must have the form hk-<id>-<secret>")
	}
	return Secret{id: id, secret: secret}, nil
}

// ID returns the public identifier of the key.
func (s Secret) ID() string { return s.id }

// String returns the key in the form hk-<id>-<secret>.
func (s Secret) String() string { return secretPrefix + s.id + "-" + s.secret }

// Hash returns the SHA-256 hash of the secret part.
func (s Secret) Hash() []byte {
	h := sha256.Sum256([]byte(s.secret))
	return h[:]
}

// Matches reports whether the secret part has the hash. It compares in constant time.
func (s Secret) Matches(hash []byte) bool { return subtle.ConstantTimeCompare(s.Hash(), hash) == 1 }
