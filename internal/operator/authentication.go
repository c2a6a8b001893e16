package operator

import (
	"crypto/sha256"
	"crypto/subtle"
	"net"
	"net/http"
	"strings"
)

// authenticate rejects requests without the operator key. If no key is set, it serves only loopback clients that use a
// loopback host name: a web page could otherwise reach the API through a name that resolves to loopback.
func (s *Server) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(s.cfg.Key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.cfg.Key == "" {
			if !isLoopback(r.RemoteAddr) || !isLoopbackHost(r.Host) {
				writeError(r.Context(), newError(http.StatusForbidden, KindForbidden,
					"no operator key is set, so that only loopback clients are served"), w)
				return
			}
			next.ServeHTTP(w, r)
			return
		}
		presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		// Hashes have equal lengths, so the time of the comparison doesn't reveal the length of the key.
		got := sha256.Sum256([]byte(presented))
		if match := subtle.ConstantTimeCompare(got[:], want[:]) == 1; !ok || !match {
			s.countRequest("unauthorized", http.StatusUnauthorized)
			writeError(r.Context(), newError(http.StatusUnauthorized, KindUnauthorized,
				"send the operator key as \"Authorization: Bearer <key>\""), w)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func isLoopbackHost(hostport string) bool {
	host, _, err := net.SplitHostPort(hostport)
	if err != nil {
		host = strings.Trim(hostport, "[]")
	}
	ip := net.ParseIP(host)
	return host == "localhost" || ip != nil && ip.IsLoopback()
}
