package peer

import (
	"bufio"
	"bytes"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"math/big"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/joomcode/errorx"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"github.com/hibiscusroute/hibiscusroute/internal/kernel"
	"github.com/hibiscusroute/hibiscusroute/internal/peer/peerpb"
)

func startTransport(t *testing.T, name string, cfg *tls.Config) *Transport {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	tr, err := New(Config{Name: name, Listener: ln, TLS: cfg, Log: logr.Discard()})
	assert.NilError(t, err)
	tr.Handle("echo", UnaryHandler(tr, func(_ context.Context, from string, m *peerpb.Hello) (proto.Message, error) {
		switch m.Kind {
		case "conflict":
			return nil, kernel.ErrConflict.New("version 2 is in force")
		case "stopped":
			return nil, ErrUnreachable.New("stopped")
		}
		return &peerpb.Hello{Name: from, Kind: m.Kind}, nil
	}))
	tr.Handle("silent", func(ctx context.Context, _ string, _ *Stream) error {
		<-ctx.Done()
		return nil
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- tr.Serve(ctx) }()
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, <-done)
	})
	return tr
}

func call(t *testing.T, from, to *Transport, kind string, req *peerpb.Hello) (*peerpb.Hello, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	resp := &peerpb.Hello{}
	return resp, from.Call(ctx, to.Address(), kind, req, resp)
}

// Guards against an error that reports a request as certainly not sent although it may have been handled, or the
// reverse.
func TestCallErrorTellsWhetherRequestWasSent(t *testing.T) {
	a, b := startTransport(t, "a", nil), startTransport(t, "b", nil)
	resp, err := call(t, a, b, "echo", &peerpb.Hello{Kind: "x"})
	assert.NilError(t, err)
	assert.Equal(t, resp.Name, "a")
	for _, tc := range []struct {
		name, kind, request string
		want                *errorx.Type
	}{
		{"error of the handler", "echo", "conflict", kernel.ErrConflict},
		{"handler could not forward the request", "echo", "stopped", ErrUnreachable},
		{"no answer", "silent", "", ErrInterrupted},
		{"unknown kind", "none", "", ErrInterrupted},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := call(t, a, b, tc.kind, &peerpb.Hello{Kind: tc.request})
			assert.Assert(t, errorx.IsOfType(err, tc.want), "%v", err)
		})
	}
	address := b.Address()
	assert.NilError(t, b.Close())
	err = a.Call(context.Background(), address, "echo", &peerpb.Hello{}, &peerpb.Hello{})
	assert.Assert(t, errorx.IsOfType(err, ErrUnreachable), "%v", err)
}

// Guards against oversized frames that exhaust the memory of the receiver.
func TestOversizedFrameIsRejected(t *testing.T) {
	a, b := startTransport(t, "a", nil), startTransport(t, "b", nil)
	_, err := call(t, a, b, "echo", &peerpb.Hello{Kind: strings.Repeat("x", maxFrameBytes)})
	assert.Assert(t, errorx.IsOfType(err, ErrInterrupted), "%v", err)
	_, err = call(t, a, b, "echo", &peerpb.Hello{Kind: "x"})
	assert.NilError(t, err)
}

type certificateAuthority struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newCertificateAuthority(t *testing.T) certificateAuthority {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &key.PublicKey, key)
	assert.NilError(t, err)
	cert, err := x509.ParseCertificate(der)
	assert.NilError(t, err)
	return certificateAuthority{cert, key}
}

func (a certificateAuthority) config(t *testing.T, name string) *tls.Config {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	tmpl := &x509.Certificate{
		SerialNumber: big.NewInt(2), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		DNSNames: []string{name}, IPAddresses: []net.IP{net.ParseIP("127.0.0.1")},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, tmpl, a.cert, &key.PublicKey, a.key)
	assert.NilError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(a.cert)
	return &tls.Config{
		Certificates: []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}, RootCAs: pool, ClientCAs: pool,
		ClientAuth: tls.RequireAndVerifyClientCert, MinVersion: tls.VersionTLS13,
	}
}

// Guards against peers without a certificate of the authority and peers that use the name of another process.
func TestPeersAuthenticate(t *testing.T) {
	ours, theirs := newCertificateAuthority(t), newCertificateAuthority(t)
	b := startTransport(t, "b", ours.config(t, "b"))
	for _, tc := range []struct {
		name string
		cfg  *tls.Config
		ok   bool
	}{
		{"own certificate", ours.config(t, "a"), true},
		{"certificate of another process", ours.config(t, "c"), false},
		{"other authority", theirs.config(t, "a"), false},
		{"no certificate", nil, false},
	} {
		t.Run(tc.name, func(t *testing.T) {
			_, err := call(t, startTransport(t, "a", tc.cfg), b, "echo", &peerpb.Hello{Kind: "x"})
			assert.Equal(t, err == nil, tc.ok, "%v", err)
		})
	}
}

// Guards against input that makes the frame decoder panic or allocate unbounded memory.
func FuzzFrame(f *testing.F) {
	var buf bytes.Buffer
	_, err := protodelim.MarshalTo(&buf, &peerpb.Hello{Name: "a", Kind: "echo"})
	assert.NilError(f, err)
	f.Add(buf.Bytes())
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x0f})
	f.Fuzz(func(_ *testing.T, data []byte) {
		s := &Stream{r: bufio.NewReader(bytes.NewReader(data))}
		for s.Receive(&peerpb.Hello{}) == nil {
		}
	})
}
