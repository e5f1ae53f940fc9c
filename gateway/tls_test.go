package gateway

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"fmt"
	"io"
	"math/big"
	"net"
	"net/http"
	"path/filepath"
	"testing"
	"time"

	"golang.org/x/net/http2"
)

// Go's own client over HTTP/2 and TLS; the certificate is replaced in service, and open connections
// keep theirs.
func TestTLSListenerReloadsItsCertificate(t *testing.T) {
	dir := t.TempDir()
	cert, key := filepath.Join(dir, "cert"), filepath.Join(dir, "key")
	write := func(serial int64) {
		priv, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
		if err != nil {
			t.Fatal(err)
		}
		tmpl := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "gateway"}, DNSNames: []string{"gateway"},
			NotBefore: time.Unix(0, 0), NotAfter: time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC)}
		der, err := x509.CreateCertificate(rand.Reader, tmpl, tmpl, &priv.PublicKey, priv)
		if err != nil {
			t.Fatal(err)
		}
		k, err := x509.MarshalPKCS8PrivateKey(priv)
		if err != nil {
			t.Fatal(err)
		}
		writeFile(t, cert, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
		writeFile(t, key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: k}))
	}
	write(1)
	runInTestBed(t, fmt.Sprintf("listener \"https\" \"all\" {\n address = \"10.0.0.1:443\"\n cert_file = %q\n key_file = %q\n}\n", cert, key), func(w *testBed) {
		client := func(protos ...string) *http.Client {
			cfg := &tls.Config{InsecureSkipVerify: true, NextProtos: protos, ServerName: "gateway"}
			dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
				nc, err := w.host.Dial(ctx, "10.0.0.1:443")
				if err != nil {
					return nil, err
				}
				tc := tls.Client(nc, cfg)
				return tc, tc.HandshakeContext(ctx)
			}
			if protos[0] == "h2" {
				return &http.Client{Transport: &http2.Transport{DialTLSContext: func(ctx context.Context, n, a string, _ *tls.Config) (net.Conn, error) {
					return dial(ctx, n, a)
				}}}
			}
			return &http.Client{Transport: &http.Transport{DialTLSContext: dial}}
		}
		get := func(c *http.Client) (proto string, serial int64) {
			req, _ := http.NewRequest("GET", "https://gateway/records/1", nil)
			req.Header.Set("X-Api-Key", "k-school")
			res, err := c.Do(req)
			if err != nil {
				t.Fatal(err)
			}
			_, err = io.Copy(io.Discard, res.Body)
			if err := errors.Join(err, res.Body.Close()); err != nil {
				t.Error(err)
			}
			if res.StatusCode != 200 {
				t.Errorf("status %d", res.StatusCode)
			}
			if res.TLS != nil {
				serial = res.TLS.PeerCertificates[0].SerialNumber.Int64()
			}
			return res.Proto, serial
		}
		h2, h1 := client("h2"), client("http/1.1")
		if p, n := get(h2); p != "HTTP/2.0" || n != 1 {
			t.Errorf("%s, certificate %d", p, n)
		}
		if p, n := get(h1); p != "HTTP/1.1" || n != 1 {
			t.Errorf("%s, certificate %d", p, n)
		}
		time.Sleep(2 * time.Second)
		writeFile(t, cert, []byte("torn"))
		other := client("h2")
		if _, n := get(other); n != 1 {
			t.Errorf("certificate %d after a torn one", n)
		}
		time.Sleep(2 * time.Second)
		write(2)
		if _, n := get(h2); n != 1 {
			t.Errorf("the open connection has certificate %d", n)
		}
		fresh := client("h2")
		if _, n := get(fresh); n != 2 {
			t.Errorf("a new connection has certificate %d", n)
		}
		for _, c := range []*http.Client{h2, h1, other, fresh} {
			c.CloseIdleConnections()
		}
	})
}
