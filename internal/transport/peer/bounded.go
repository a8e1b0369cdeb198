package peer

import (
	"errors"
	"fmt"
	"net"

	"github.com/VictoriaMetrics/metrics"

	"merlintiller/internal/transport/inputbudget"
)

// maxMessage bounds one gob message in bytes. The largest ones carry a batch of items or the whole state of
// a fleet.
const maxMessage = 64 << 20

var messagesTooLarge = metrics.NewCounter(`peer_messages_too_large_total`)

// errMessageTooLarge reports a message of more than maxMessage bytes.
var errMessageTooLarge = errors.New("message from another instance is too large")

// errNoRoom reports that the messages of all connections together take more memory than they may.
var errNoRoom = errors.New("no room for a message from another instance")

// boundedConn fails on a gob message that is too large. The address of an instance that is gone may belong
// to another program, and gob itself accepts messages of gigabytes.
type boundedConn struct {
	net.Conn
	// left is the number of bytes until the next message begins.
	left uint64
	// lengthLeft is the number of bytes of the current message's length that are missing, length what
	// was read of it.
	lengthLeft int
	length     uint64
	// input is what the current message takes, nil if that is not counted.
	input *inputbudget.Charge
	// onMessage, if set, is called when a message is complete.
	onMessage func()
	// onTooLarge, if set, is called with the reason for which a message is rejected.
	onTooLarge func(error)
}

// Read implements io.Reader.
func (c *boundedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if tooLarge := c.follow(p[:n]); tooLarge != nil {
		messagesTooLarge.Inc()
		if c.onTooLarge != nil {
			c.onTooLarge(tooLarge)
		}
		return 0, tooLarge
	}
	if n > 0 && c.left == 0 && c.lengthLeft == 0 {
		c.input.Release()
		if c.onMessage != nil {
			c.onMessage()
		}
	}
	return n, err
}

// follow follows the messages in what was read. In front of each is its length, as gob encodes unsigned
// integers: a byte below 128, or the negated number of the bytes that follow, the highest one first.
func (c *boundedConn) follow(p []byte) error {
	const (
		singleByte = 128
		maxLength  = 8
	)
	for len(p) > 0 {
		switch {
		case c.left > 0:
			skipped := min(c.left, uint64(len(p)))
			c.left -= skipped
			p = p[skipped:]
			continue
		case c.lengthLeft > 0:
			c.length = c.length<<8 | uint64(p[0])
			c.lengthLeft--
		case p[0] < singleByte:
			c.length = uint64(p[0])
		default:
			c.length, c.lengthLeft = 0, -int(int8(p[0]))
			if c.lengthLeft > maxLength {
				return fmt.Errorf("%w: malformed length", errMessageTooLarge)
			}
		}
		p = p[1:]
		if c.lengthLeft > 0 {
			continue
		}
		if c.length > maxMessage {
			return fmt.Errorf("%w: %d bytes, %d are allowed", errMessageTooLarge, c.length, maxMessage)
		}
		// gob takes memory for the whole message, or megabytes of it, before that has come.
		if !c.input.Add(int64(c.length)) {
			return fmt.Errorf("%w: %d bytes beside those of others", errNoRoom, c.length)
		}
		c.left = c.length
	}
	return nil
}
