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
)

// certificateFilesOnDisk are the paths of a listener's certificate and key files, which a test replaces.
type certificateFilesOnDisk struct{ certificate, key string }

// write replaces the files by those of a new certificate with the given serial number.
func (f certificateFilesOnDisk) write(t *testing.T, serial int64) {
	t.Helper()
	private, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial),
		Subject:      pkix.Name{CommonName: "gateway"},
		DNSNames:     []string{"gateway"},
		NotBefore:    time.Unix(0, 0),
		NotAfter:     time.Date(2100, 1, 1, 0, 0, 0, 0, time.UTC),
	}
	certificate, err := x509.CreateCertificate(rand.Reader, template, template, &private.PublicKey, private)
	if err != nil {
		t.Fatal(err)
	}
	key, err := x509.MarshalPKCS8PrivateKey(private)
	if err != nil {
		t.Fatal(err)
	}
	writeFile(t, f.certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: certificate}))
	writeFile(t, f.key, pem.EncodeToMemory(&pem.Block{Type: "PRIVATE KEY", Bytes: key}))
}

// newTLSClient returns a client of net/http that offers one protocol in ALPN. It does not verify the
// certificate; the test checks the serial number instead.
func (bed *testBed) newTLSClient(protocol string) *http.Client {
	dial := func(ctx context.Context, _, _ string) (net.Conn, error) {
		conn, err := bed.clientHost.Dial(ctx, "10.0.0.1:443")
		if err != nil {
			return nil, err
		}
		config := &tls.Config{InsecureSkipVerify: true, NextProtos: []string{protocol}, ServerName: "gateway"}
		tlsConn := tls.Client(conn, config)
		return tlsConn, tlsConn.HandshakeContext(ctx)
	}
	return &http.Client{Transport: &http.Transport{DialTLSContext: dial, ForceAttemptHTTP2: protocol == "h2"}}
}

// getOverTLS sends a request, which must succeed, and returns the protocol of the response and the serial
// number of the certificate of the connection.
func (bed *testBed) getOverTLS(client *http.Client) (protocol string, serial int64) {
	bed.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "https://gateway/records/1", nil)
	if err != nil {
		bed.t.Fatal(err)
	}
	req.Header.Set("X-Api-Key", "k-school")
	res, err := client.Do(req)
	if err != nil {
		bed.t.Fatal(err)
	}
	_, err = io.Copy(io.Discard, res.Body)
	if err := errors.Join(err, res.Body.Close()); err != nil {
		bed.t.Error(err)
	}
	if res.StatusCode != http.StatusOK {
		bed.t.Errorf("status %d, want 200", res.StatusCode)
	}
	if res.TLS == nil {
		bed.t.Fatal("the response was not received over TLS")
	}
	return res.Proto, res.TLS.PeerCertificates[0].SerialNumber.Int64()
}

// Clients of net/http use HTTP/2 and HTTP/1.1 over TLS while the certificate is replaced. An invalid file
// must not replace the certificate in use; a valid one is used for new connections, and open connections
// keep the old one.
func TestTLSListenerReloadsItsCertificate(t *testing.T) {
	dir := t.TempDir()
	files := certificateFilesOnDisk{certificate: filepath.Join(dir, "cert"), key: filepath.Join(dir, "key")}
	files.write(t, 1)
	listener := fmt.Sprintf("listener \"https\" \"all\" {\n address = \"10.0.0.1:443\"\n cert_file = %q\n key_file = %q\n}\n",
		files.certificate, files.key)
	runInTestBed(t, listener, func(bed *testBed) {
		h2, h1 := bed.newTLSClient("h2"), bed.newTLSClient("http/1.1")
		if protocol, serial := bed.getOverTLS(h2); protocol != "HTTP/2.0" || serial != 1 {
			t.Errorf("protocol %s, certificate %d", protocol, serial)
		}
		if protocol, serial := bed.getOverTLS(h1); protocol != "HTTP/1.1" || serial != 1 {
			t.Errorf("protocol %s, certificate %d", protocol, serial)
		}
		time.Sleep(2 * time.Second)
		writeFile(t, files.certificate, []byte("invalid"))
		other := bed.newTLSClient("h2")
		if _, serial := bed.getOverTLS(other); serial != 1 {
			t.Errorf("certificate %d after an invalid file, want 1", serial)
		}
		time.Sleep(2 * time.Second)
		files.write(t, 2)
		if _, serial := bed.getOverTLS(h2); serial != 1 {
			t.Errorf("the open connection has certificate %d, want 1", serial)
		}
		fresh := bed.newTLSClient("h2")
		if _, serial := bed.getOverTLS(fresh); serial != 2 {
			t.Errorf("a new connection has certificate %d, want 2", serial)
		}
		for _, c := range []*http.Client{h2, h1, other, fresh} {
			c.CloseIdleConnections()
		}
	})
}
