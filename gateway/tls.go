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

// tlsFront ends TLS and hands each connection to the front that ALPN names. Its
// certificate is read again when its files change; connections that are open
// keep the one they began with.
type tlsFront struct {
	l     config.Listener
	h1    *fronthttp.Server
	h2    *fronthttp2.Server
	log   *slog.Logger
	cfg   *tls.Config
	mu    sync.Mutex
	cert  *tls.Certificate
	stamp string    // of the files that cert was read from
	look  time.Time // when they were last looked at
}

const (
	handshakeTime = 5 * time.Second
	lookEvery     = time.Second
)

func newTLS(l config.Listener, h1 *fronthttp.Server, h2 *fronthttp2.Server, log *slog.Logger) (*tlsFront, error) {
	t := &tlsFront{l: l, h1: h1, h2: h2, log: log}
	if err := t.load(); err != nil {
		return nil, err
	}
	t.cfg = &tls.Config{MinVersion: tls.VersionTLS12, NextProtos: []string{"h2", "http/1.1"},
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return t.certificate(), nil }}
	return t, nil
}

// stampOf tells whether the files have changed.
func (t *tlsFront) stampOf() (string, error) {
	s := ""
	for _, path := range []string{t.l.CertFile, t.l.KeyFile} {
		info, err := os.Stat(path)
		if err != nil {
			return "", err
		}
		s += fmt.Sprint(info.ModTime().UnixNano(), " ", info.Size(), " ")
	}
	return s, nil
}

func (t *tlsFront) load() error {
	stamp, err := t.stampOf()
	if err != nil {
		return err
	}
	cert, err := tls.LoadX509KeyPair(t.l.CertFile, t.l.KeyFile)
	if err != nil {
		return fmt.Errorf("certificate %s with key %s: %w", t.l.CertFile, t.l.KeyFile, err)
	}
	t.cert, t.stamp = &cert, stamp
	return nil
}

// certificate is the one to use now. Files that can't be used change nothing.
func (t *tlsFront) certificate() *tls.Certificate {
	t.mu.Lock()
	defer t.mu.Unlock()
	if time.Since(t.look) < lookEvery {
		return t.cert
	}
	t.look = time.Now()
	stamp, err := t.stampOf()
	if err == nil && stamp == t.stamp {
		return t.cert
	}
	if err == nil {
		err = t.load()
	}
	if err != nil {
		t.log.Error("the new certificate can't be used; the last one is kept", "error", err)
	} else {
		t.log.Info("certificate replaced")
	}
	return t.cert
}

// Serve takes connections until the listener is closed.
func (t *tlsFront) Serve(l net.Listener) error {
	return network.Accept(l, t.log, t.serve)
}

func (t *tlsFront) serve(nc net.Conn) {
	tc := tls.Server(nc, t.cfg)
	ctx, cancel := context.WithTimeout(context.Background(), handshakeTime)
	defer cancel()
	switch err := tc.HandshakeContext(ctx); {
	case err != nil:
		nc.Close()
	case tc.ConnectionState().NegotiatedProtocol == "h2":
		t.h2.ServeConn(tc)
	default:
		t.h1.ServeConn(tc)
	}
}

// Drain drains both fronts.
func (t *tlsFront) Drain(ctx context.Context) {
	var both sync.WaitGroup
	both.Go(func() { t.h1.Drain(ctx) })
	both.Go(func() { t.h2.Drain(ctx) })
	both.Wait()
}
