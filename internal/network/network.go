// Package network opens listeners and connections, either with the operating system's
// TCP and UDP or on a simulated network in memory. The hosts of a simulated network can be
// killed and paused, and its packets lost. It is for tests in virtual time.
package network

import (
	"context"
	"net"
)

// Network opens listeners and connections. Addresses are host:port, as in package net.
type Network interface {
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// OS is the Network of the operating system's TCP and UDP.
type OS struct{}

// Listen opens a TCP listener.
func (OS) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// ListenPacket opens a UDP socket.
func (OS) ListenPacket(addr string) (net.PacketConn, error) { return net.ListenPacket("udp", addr) }

// Dial opens a TCP connection.
func (OS) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
