package linker

import (
	"time"

	"github.com/quic-go/quic-go"
)

// Limits for the connection of one peer.
const (
	// controlStreams is the number of streams that may be open in addition to those of forwarded
	// transactions.
	controlStreams = 64
	// streamWindow is the initial receive window of a stream, in bytes. It grows up to
	// maximumStreamWindow while the stream is read quickly.
	streamWindow        = 64 << 10
	maximumStreamWindow = 1 << 20
	// connectionWindow is the initial receive window of a connection, in bytes. It grows up to
	// maximumConnectionWindow.
	connectionWindow        = 256 << 10
	maximumConnectionWindow = 8 << 20
	// idleTimeout ends a connection on which nothing arrives. It is long, because the dialer probes
	// busy links each second, and idle links should cause little traffic.
	idleTimeout     = 45 * time.Second
	keepAlivePeriod = 20 * time.Second
)

// Configuration returns the QUIC configuration of a connection. handshake is the timeout of its
// handshake, and peerStreams is how many forwarded transactions the peer may have open here.
func Configuration(handshake time.Duration, peerStreams int) *quic.Config {
	return &quic.Config{
		HandshakeIdleTimeout:           handshake,
		MaxIdleTimeout:                 idleTimeout,
		KeepAlivePeriod:                keepAlivePeriod,
		InitialStreamReceiveWindow:     streamWindow,
		MaxStreamReceiveWindow:         maximumStreamWindow,
		InitialConnectionReceiveWindow: connectionWindow,
		MaxConnectionReceiveWindow:     maximumConnectionWindow,
		MaxIncomingStreams:             int64(peerStreams + controlStreams),
		MaxIncomingUniStreams:          -1,
		EnableDatagrams:                true,
	}
}
