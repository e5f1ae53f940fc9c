// Package network hands listeners, packet connections and dialers to what
// needs them: the machine's own, or a Memory network of hosts that can be
// killed, paused and cut off, for tests in virtual time.
package network

import (
	"context"
	"net"
)

// Network opens endpoints. Addresses are host:port, as in package net.
type Network interface {
	Listen(addr string) (net.Listener, error)
	ListenPacket(addr string) (net.PacketConn, error)
	Dial(ctx context.Context, addr string) (net.Conn, error)
}

// OS is the machine's TCP and UDP.
type OS struct{}

// Listen listens on TCP.
func (OS) Listen(addr string) (net.Listener, error) { return net.Listen("tcp", addr) }

// ListenPacket listens on UDP.
func (OS) ListenPacket(addr string) (net.PacketConn, error) { return net.ListenPacket("udp", addr) }

// Dial connects by TCP.
func (OS) Dial(ctx context.Context, addr string) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", addr)
}
