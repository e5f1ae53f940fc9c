package gateway

import (
	"context"
	"crypto/tls"
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

// tlsListener ends TLS and hands each connection to the front that ALPN names. Its
// certificate is read again when its files change; connections that are open
// keep the one they began with.
type tlsListener struct {
	config      config.Listener
	http1       *fronthttp.Server
	http2       *fronthttp2.Server
	log         *slog.Logger
	tlsConfig   *tls.Config
	mu          sync.Mutex
	certificate *tls.Certificate
	fileStamp   string    // of the files that cert was read from
	checkedAt   time.Time // when they were last looked at
}

const (
	handshakeTimeout         = 5 * time.Second
	certificateCheckInterval = time.Second
)

func newTLSListener(l config.Listener, h1 *fronthttp.Server, h2 *fronthttp2.Server, log *slog.Logger) (*tlsListener, error) {
	t := &tlsListener{config: l, http1: h1, http2: h2, log: log}
	if err := t.loadCertificate(); err != nil {
		return nil, err
	}
	t.tlsConfig = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.currentCertificate(), nil }}
	return t, nil
}

// statFiles tells whether the files have changed.
func (t *tlsListener) statFiles() (string, error) {
	s := ""
	for _, path := range []string{t.config.Cert, t.config.Key} {
		info, err := os.Stat(path)
		if err != nil {
			return "", err
		}
		s += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), " ")
	}
	return s, nil
}

func (t *tlsListener) loadCertificate() error {
	stamp, err := t.statFiles()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(t.config.Cert, t.config.Key)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", t.config.Cert, t.config.Key, err)
	}
	t.certificate, t.fileStamp = &cert, stamp
	return nil
}

// currentCertificate is the one to use now. Files that can't be used change nothing.
func (t *tlsListener) currentCertificate() *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.checkedAt) < certificateCheckInterval {
		return t.certificate
	}
	t.checkedAt = time.Now()
	stamp, err := t.statFiles()
	if err == nil && stamp == t.fileStamp {
		return t.certificate
	}
	if err == nil {
		err = t.loadCertificate()
	}
	if err != nil {
		t.log.Error("the new certificate can't be used; the last one is kept", "error", err)
	} else {
		t.log.Info("certificate replaced")
	}
	return t.certificate
}

// Serve takes connections until the listener is closed.
func (t *tlsListener) Serve(l net.Listener) error {
	return network.Accept(l, t.log, t.serve)
}

func (t *tlsListener) serve(nc net.Conn) {
	tc := tls.Server(nc, t.tlsConfig)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTimeout)
	defer cancel()
	switch err := tc.HandshakeContext(ctx); {
	case err != nil:
		nc.Close()
	case tc.ConnectionState().NegotiatedProtocol == "h2":
		t.http2.ServeConn(tc)
	default:
		t.http1.ServeConn(tc)
	}
}

// Drain drains both fronts.
func (t *tlsListener) Drain(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { t.http1.Drain(ctx) })
	both.Go(func() { t.http2.Drain(ctx) })
	both.Wait()
}
