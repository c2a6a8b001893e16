package claim

import (
	"github.com/google/uuid"
	"github.com/joomcode/errorx"
)

const (
	idSize      = 16
	tokenSize   = 8   // 64 random bits are enough to distinguish the claims of one request ID
	maxTeamSize = 256 // bytes of a team name; bounds the size of journal records
)

// requestID is a UUIDv7 in binary form, so that different spellings of the same ID are equal.
type requestID [idSize]byte

// claimToken distinguishes the claims of one request ID.
type claimToken [tokenSize]byte

// parseID parses a request ID, a UUIDv7 in text form.
func parseID(text string) (requestID, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return requestID{}, errorx.IllegalFormat.New("request ID is not a UUID: %v", err)
	}
	return checkID(requestID(id))
}

// checkID returns an error unless the request ID is a UUIDv7.
func checkID(id requestID) (requestID, error) {
	if u := uuid.UUID(id); u.Version() != 7 || u.Variant() != uuid.RFC4122 {
		return requestID{}, errorx.IllegalFormat.New("request ID %s is not a UUIDv7", u)
	}
	return id, nil
}

// unixMilli returns the time in the request ID in milliseconds since the Unix epoch.
func (id requestID) unixMilli() int64 {
	var ms int64
	for _, b := range id[:6] {
		ms = ms<<8 | int64(b)
	}
	return ms
}

// decodeClaim checks and converts the fields that a claim and a release have in common.
func decodeClaim(team string, id, token []byte) (requestID, claimToken, error) {
	if len(id) != idSize || len(token) != tokenSize || len(team) > maxTeamSize {
		return requestID{}, claimToken{}, errorx.IllegalFormat.New("claim has a malformed request ID, token or team")
	}
	checked, err := checkID(requestID(id))
	return checked, claimToken(token), err
}
