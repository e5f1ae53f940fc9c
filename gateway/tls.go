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
	"yardcleat.example/yardcleat/front/connlimit"
	fronthttp "yardcleat.example/yardcleat/front/http1"
	fronthttp2 "yardcleat.example/yardcleat/front/http2"
	"yardcleat.example/yardcleat/internal/pauseclock"
	"yardcleat.example/yardcleat/policy/connections"
)

const (
	handshakeTimeout         = 5 * time.Second
	certificateCheckInterval = time.Second
)

// tlsListener terminates TLS and passes each connection to the server of the protocol negotiated by
// ALPN. The certificate is reloaded when its files change; open connections keep the old one.
type tlsListener struct {
	config    config.Listener
	limiter   *connlimit.Limiter
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

func newTLSListener(l config.Listener, limiter *connlimit.Limiter, http1 *fronthttp.Server, http2 *fronthttp2.Server, log *slog.Logger) (*tlsListener, error) {
	t := &tlsListener{config: l, limiter: limiter, http1: http1, http2: http2, log: log}
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
	return t.limiter.Serve(l, func(nc net.Conn) {
		h := &handshake{conn: nc}
		entry := t.limiter.Accept(h)
		go t.serveConn(h, entry)
	})
}

// handshake is a connection whose TLS handshake is not complete.
type handshake struct{ conn net.Conn }

// HasUnreadData implements [connections.Owner].
func (h *handshake) HasUnreadData() bool { return pauseclock.HasUnreadData(h.conn) }

// Interrupt implements [connlimit.Owner]. Nothing can be sent before the handshake, so that the connection is closed.
func (h *handshake) Interrupt(connections.Action) { _ = h.conn.Close() }

// Close implements [connlimit.Owner].
func (h *handshake) Close() { _ = h.conn.Close() }

// RemoteAddr implements [connlimit.Owner].
func (h *handshake) RemoteAddr() net.Addr { return h.conn.RemoteAddr() }

// serveConn serves a connection and returns when it has ended.
func (t *tlsListener) serveConn(h *handshake, entry *connections.Connection) {
	tlsConn := tls.Server(h.conn, t.tlsConfig)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	if err := tlsConn.HandshakeContext(ctx); err != nil {
		t.log.Debug("TLS handshake failed", "error", errors.Join(err, h.conn.Close()))
		t.limiter.Remove(entry)
		return
	}
	if tlsConn.ConnectionState().NegotiatedProtocol == "h2" {
		t.http2.ServeAccepted(tlsConn, entry)
	} else {
		t.http1.ServeAccepted(tlsConn, entry)
	}
}

// CloseListener closes the listener at once. Serve returns.
func (t *tlsListener) CloseListener(l net.Listener) error { return t.limiter.CloseListener(l) }

// StopServing closes the listener once the connections that have reached it are accepted, or when the context ends. Serve
// returns.
func (t *tlsListener) StopServing(ctx context.Context, l net.Listener) error {
	return t.limiter.StopServing(ctx, l)
}

// Drain ends the connections of both protocols.
func (t *tlsListener) Drain(ctx context.Context) { t.limiter.Drain(ctx) }
