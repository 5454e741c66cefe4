package linker

import (
	"time"

	"github.com/quic-go/quic-go"
)

// Bounds on what one peer may take up.
const (
	// controlStreams may be open beside those of forwarded transactions.
	controlStreams = 64
	// streamWindow is what one stream may send before it is read; it grows to
	// maximumStreamWindow while it is read quickly.
	streamWindow            = 64 << 10
	maximumStreamWindow     = 1 << 20
	connectionWindow        = 256 << 10
	maximumConnectionWindow = 8 << 20
	// idleTimeout ends a connection on which nothing arrives. It is long, as
	// busy links are probed each second, and idle ones should cost little.
	idleTimeout     = 45 * time.Second
	keepAlivePeriod = 20 * time.Second
)

// Configuration returns QUIC's configuration; peerStreams is how many
// forwarded transactions one peer may have open here.
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
