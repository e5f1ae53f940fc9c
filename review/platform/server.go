package platform

import (
	"net"
	"net/http"
	"time"
)

// AppServer is an app server whose answers a case defines.
type AppServer struct {
	Endpoint Endpoint
	server   *http.Server
}

// AnyAddress is a loopback address with any free port.
const AnyAddress = "127.0.0.1:0"

// NewAppServer starts an app server at an address.
func NewAppServer(name string, group int, address string, serve http.HandlerFunc) (*AppServer, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &AppServer{
		Endpoint: Endpoint{Name: name, Address: l.Addr().String(), Zone: "room-a", Type: "std", Group: group, Status: "ready", Weight: 1},
		server:   &http.Server{Handler: serve, ReadHeaderTimeout: time.Minute},
	}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Close ends the app server at once: its connections are reset and new ones are refused.
func (s *AppServer) Close() { _ = s.server.Close() }
