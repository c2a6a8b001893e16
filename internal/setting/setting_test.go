package setting_test

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/joomcode/errorx"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/setting"
)

func parse[T any](t *testing.T, args string) *T {
	t.Helper()
	v := new(T)
	_, err := flags.NewParser(v, flags.None).ParseArgs(strings.Fields(args))
	assert.NilError(t, err)
	return v
}

// writeFiles writes key files, a certificate and its private key to a directory, and returns a function that replaces
// $DIR by the path of this directory.
func writeFiles(t *testing.T) func(string) string {
	t.Helper()
	dir := t.TempDir()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour)}
	cert, err := x509.CreateCertificate(rand.Reader, template, template, private.Public(), private)
	assert.NilError(t, err)
	der, err := x509.MarshalPKCS8PrivateKey(private)
	assert.NilError(t, err)
	for name, data := range map[string][]byte{
		"key": []byte(strings.Repeat("k", setting.MinKeyLength) + "\n"), "short": []byte("short"),
		"spaces": []byte(strings.Repeat("k ", setting.MinKeyLength)),
		"cert":   pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: cert}),
		"tls":    pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: der}),
	} {
		assert.NilError(t, os.WriteFile(filepath.Join(dir, name), data, 0o600))
	}
	assert.NilError(t, os.MkdirAll(filepath.Join(dir, "data", "log"), 0o700))
	return func(s string) string { return strings.ReplaceAll(s, "$DIR", dir) }
}

// Guards against a process that starts with invalid settings, and against faults that are reported one at a time.
func TestNodeFaults(t *testing.T) {
	expand := writeFiles(t)
	const entry = "--name entry-1 --availability-zone zone-a --join 127.0.0.1:9503 "
	const voter = "--name entry-1 --availability-zone zone-a --voter "
	const secure = entry + "--operator-key-file $DIR/key --endpoint-key-file $DIR/key --tls-certificate $DIR/cert " +
		"--tls-key $DIR/tls --tls-authority $DIR/cert "
	for _, tt := range []struct {
		args string
		want []string
	}{
		{entry, nil},
		{entry + "--caller-address 0.0.0.0:9400", nil},
		{entry + "--caller-address [::1]:0 --peer-address 127.0.0.1:0", nil},
		{secure + "--operator-address 192.0.2.1:1 --endpoint-address 192.0.2.1:2 --peer-address 192.0.2.1:3", nil},
		{voter + "--data-directory $DIR/data", nil},
		{voter + "--data-directory $DIR/new --bootstrap", nil},
		{"", []string{"--name (HIBISCUSROUTE_NAME): must be kebab case", "--availability-zone (", "--join (HIBISCUSROUTE_JOIN): must"}},
		{entry + "--operator-address 192.0.2.1:1 --endpoint-address 192.0.2.1:2 --peer-address 192.0.2.1:3", []string{
			"--operator-key-file (HIBISCUSROUTE_OPERATOR_KEY_FILE): must be set, because the operator address 192.0.2.1:1",
			"--endpoint-key-file (", "--tls-certificate (", "--tls-key (", "--tls-authority (",
		}},
		{entry + "--caller-address localhost:1 --endpoint-address 127.0.0.1 --operator-address :5", []string{
			"--caller-address (HIBISCUSROUTE_CALLER_ADDRESS): must be an IP address and port", "--endpoint-address (", "--operator-address (",
		}},
		{entry + "--caller-address 192.0.2.1:0", []string{"--caller-address (HIBISCUSROUTE_CALLER_ADDRESS): must have a port"}},
		{entry + "--peer-address 127.0.0.1:9400", []string{"--peer-address (HIBISCUSROUTE_PEER_ADDRESS): must differ from the address for the caller"}},
		{secure + "--peer-address 0.0.0.0:9403", []string{"--peer-address (HIBISCUSROUTE_PEER_ADDRESS): must be the address at which"}},
		{entry + "--join 127.0.0.1:9403 --join x", []string{"--join (HIBISCUSROUTE_JOIN): must name another", "--join (HIBISCUSROUTE_JOIN): must be an IP"}},
		{voter + "--join 127.0.0.1:1", []string{"--data-directory (HIBISCUSROUTE_DATA_DIRECTORY): must be set for a voter"}},
		{voter + "--data-directory $DIR/new", []string{"--join (HIBISCUSROUTE_JOIN): must name at least one process, because the data directory"}},
		{voter + "--data-directory $DIR/data --bootstrap --join 127.0.0.1:1", []string{"--bootstrap (HIBISCUSROUTE_BOOTSTRAP): must not"}},
		{entry + "--bootstrap", []string{"--bootstrap (HIBISCUSROUTE_BOOTSTRAP): is for voters only", "--bootstrap ("}},
		{entry + "--operator-key-file $DIR/short --endpoint-key-file $DIR/none", []string{
			"--operator-key-file (HIBISCUSROUTE_OPERATOR_KEY_FILE): $DIR/short must hold", "--endpoint-key-file (HIBISCUSROUTE_ENDPOINT_KEY_FILE): open",
		}},
		{entry + "--operator-key-file $DIR/spaces", []string{"--operator-key-file (HIBISCUSROUTE_OPERATOR_KEY_FILE): $DIR/spaces must hold"}},
		{entry + "--tls-key $DIR/tls", []string{"--tls-certificate (HIBISCUSROUTE_TLS_CERTIFICATE): must be set together", "--tls-authority ("}},
		{entry + "--tls-certificate $DIR/key --tls-key $DIR/key --tls-authority $DIR/key", []string{"--tls-certificate (", "--tls-authority ("}},
		{entry + "--platform-url ftp://x --shutdown-wait 3 --log-level loud --log-format xml", []string{
			"--shutdown-wait (HIBISCUSROUTE_SHUTDOWN_WAIT): must be a duration", "--platform-url (HIBISCUSROUTE_PLATFORM_URL): must be an http",
			"--log-level (HIBISCUSROUTE_LOG_LEVEL): must be debug", "--log-format (HIBISCUSROUTE_LOG_FORMAT): must be json",
		}},
		{entry + "--shutdown-wait 11m", []string{"--shutdown-wait (HIBISCUSROUTE_SHUTDOWN_WAIT): must be between 0s and 10m0s"}},
	} {
		t.Run(tt.args, func(t *testing.T) {
			p, err := parse[setting.Node](t, expand(tt.args)).Load()
			assertFaults(t, err, tt.want, expand)
			if tt.want == nil && strings.Contains(tt.args, "--tls-key") {
				assert.Assert(t, p.TLS != nil)
			}
		})
	}
}

// assertFaults checks that err lists exactly the wanted faults, given by their beginnings; a nil want expects no error.
func assertFaults(t *testing.T, err error, want []string, expand func(string) string) {
	t.Helper()
	if want == nil {
		assert.NilError(t, err)
		return
	}
	assert.Assert(t, errorx.IsOfType(err, setting.ErrFaults))
	lines := strings.Split(errorx.Cast(err).Message(), "\n")
	assert.Equal(t, len(lines), len(want), "%v", err)
	for i, line := range lines {
		assert.Assert(t, strings.HasPrefix(line, expand(want[i])), line)
	}
}

// Guards against settings that ignore their environment variables.
func TestEnvironment(t *testing.T) {
	t.Setenv("HIBISCUSROUTE_NAME", "entry-1")
	t.Setenv("HIBISCUSROUTE_AVAILABILITY_ZONE", "zone-a")
	t.Setenv("HIBISCUSROUTE_JOIN", "127.0.0.1:1,127.0.0.1:2")
	p, err := parse[setting.Node](t, "").Load()
	assert.NilError(t, err)
	assert.Equal(t, len(p.Join), 2)
	assert.Equal(t, p.Operator.String(), "127.0.0.1:9402")
	assert.Equal(t, p.ShutdownWait, 10*time.Second)
}

// Guards against a client with an invalid address, or without the key that an address beyond loopback requires.
func TestClientFaults(t *testing.T) {
	expand := writeFiles(t)
	for _, tt := range []struct {
		args string
		want []string
	}{
		{"", nil},
		{"--operator 127.0.0.1:1 --operator https://localhost:2", nil},
		{"--operator entry.example:1 --operator-key-file $DIR/key", nil},
		{"--operator entry.example:1", []string{"--operator-key-file (HIBISCUSROUTE_OPERATOR_KEY_FILE): must be set"}},
		{"--operator x --operator ftp://y --deadline 1ms", []string{"--deadline (", "--operator (HIBISCUSROUTE_OPERATORS): must", "--operator ("}},
	} {
		_, err := parse[setting.Client](t, expand(tt.args)).Load()
		assertFaults(t, err, tt.want, expand)
	}
}

// Guards against log lines below the configured level or in another format than the configured one.
func TestLogger(t *testing.T) {
	for _, tt := range []struct{ level, format, want string }{
		{"info", "json", `"msg":"hello","queue":"intake"}`}, {"info", "console", "hello\t{\"queue\": \"intake\"}"},
		{"debug", "json", `"msg":"detail"`}, {"error", "json", ""},
	} {
		var w bytes.Buffer
		log := (&setting.Log{Level: tt.level, Format: tt.format}).Logger(&w)
		log.Info("hello", "queue", "intake")
		log.V(1).Info("detail")
		assert.Assert(t, strings.Contains(w.String(), tt.want), w.String())
		assert.Equal(t, strings.Contains(w.String(), "detail"), tt.level == "debug")
		assert.Equal(t, w.Len() == 0, tt.level == "error")
	}
}
