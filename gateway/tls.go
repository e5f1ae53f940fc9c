package gateway

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"sync"
	"time"

	"yardcleat.example/yardcleat/config"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	fronthttp2 "yardcleat.example/yardcleat/front/http2"
	"yardcleat.example/yardcleat/internal/network"
)

const (
	handshakeTimeout         = 5 * time.Second
	certificateCheckInterval = time.Second
)

// tlsListener terminates TLS and passes each connection to the server of the protocol negotiated by
// ALPN. The certificate is reloaded when its files change; open connections keep the old one.
type tlsListener struct {
	config    config.Listener
	http1     *fronthttp.Server
	http2     *fronthttp2.Server
	log       *slog.Logger
	tlsConfig *tls.Config

	mu          sync.Mutex // guards the fields below
	certificate *tls.Certificate
	files       certificateFiles // from which the certificate was loaded
	checkedAt   time.Time        // time of the last check for changed files
}

// certificateFiles identifies versions of a certificate file and its key file.
type certificateFiles struct{ certificate, key fileVersion }

type fileVersion struct {
	modifiedAt int64 // Unix time in nanoseconds
	size       int64 // bytes
}

// CertificateError reports that a certificate and its key can't be loaded.
type CertificateError struct {
	CertificateFile, KeyFile string
	Err                      error
}

func (e *CertificateError) Error() string {
	return fmt.Sprintf("certificate %s with key %s: %v", e.CertificateFile, e.KeyFile, e.Err)
}

// Unwrap returns the cause.
func (e *CertificateError) Unwrap() error { return e.Err }

func newTLSListener(l config.Listener, http1 *fronthttp.Server, http2 *fronthttp2.Server, log *slog.Logger) (*tlsListener, error) {
	t := &tlsListener{config: l, http1: http1, http2: http2, log: log}
	files, err := t.statFiles()
	if err != nil {
		return nil, err
	}
	if err := t.loadCertificate(files); err != nil {
		return nil, err
	}
	t.tlsConfig = &tls.Config{
		MinVersion:     tls.VersionTLS12,
		NextProtos:     []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.currentCertificate(), nil },
	}
	return t, nil
}

func (t *tlsListener) statFiles() (files certificateFiles, err error) {
	if files.certificate, err = statVersion(t.config.CertFile); err != nil {
		return files, err
	}
	files.key, err = statVersion(t.config.KeyFile)
	return files, err
}

func statVersion(path string) (fileVersion, error) {
	info, err := os.Stat(path)
	if err != nil {
		return fileVersion{}, err
	}
	return fileVersion{modifiedAt: info.ModTime().UnixNano(), size: info.Size()}, nil
}

// loadCertificate loads the certificate. files must be determined before the call, so that a change
// during loading is detected by the next check.
func (t *tlsListener) loadCertificate(files certificateFiles) error {
	certificate, err := tls.LoadX509KeyPair(t.config.CertFile, t.config.KeyFile)
	if err != nil {
		return &CertificateError{CertificateFile: t.config.CertFile, KeyFile: t.config.KeyFile, Err: err}
	}
	t.certificate = &certificate
	t.files = files
	return nil
}

// currentCertificate returns the certificate for a new connection. At most once per
// certificateCheckInterval, it reloads the certificate if its files have changed. If the new files
// can't be used, the current certificate is kept.
func (t *tlsListener) currentCertificate() *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.checkedAt) < certificateCheckInterval {
		return t.certificate
	}
	t.checkedAt = time.Now()
	reloaded, err := t.reloadCertificate()
	switch {
	case err != nil:
		t.log.Error("reloading the certificate failed; keeping the current one", "error", err)
	case reloaded:
		t.log.Info("certificate reloaded")
	}
	return t.certificate
}

// reloadCertificate loads the certificate again if its files have changed.
func (t *tlsListener) reloadCertificate() (reloaded bool, err error) {
	files, err := t.statFiles()
	if err != nil || files == t.files {
		return false, err
	}
	if err := t.loadCertificate(files); err != nil {
		return false, err
	}
	return true, nil
}

// Serve accepts connections until the listener is closed.
func (t *tlsListener) Serve(l net.Listener) error {
	return network.AcceptLoop(l, t.log, t.serveConn)
}

// serveConn takes ownership of a connection, serves it and returns when it has ended.
func (t *tlsListener) serveConn(conn net.Conn) {
	tlsConn := tls.Server(conn, t.tlsConfig)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		t.log.Debug("TLS handshake failed", "error", errors.Join(err, conn.Close()))
		return
	}
	if tlsConn.ConnectionState().NegotiatedProtocol == "h2" {
		t.http2.ServeConn(tlsConn)
	} else {
		t.http1.ServeConn(tlsConn)
	}
}

// Drain drains the servers of both protocols.
func (t *tlsListener) Drain(ctx context.Context) {
	var servers sync.WaitGroup
	servers.Go(func() { t.http1.Drain(ctx) })
	servers.Go(func() { t.http2.Drain(ctx) })
	servers.Wait()
}
