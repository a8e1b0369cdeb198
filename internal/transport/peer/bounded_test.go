package peer

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"
)

// scriptedConn is a connection on which some bytes arrive, so many at once.
type scriptedConn struct {
	net.Conn
	content io.Reader
	atOnce  int
}

func (c *scriptedConn) Read(p []byte) (int, error) { return c.content.Read(p[:min(len(p), c.atOnce)]) }

// Guards against messages within the bound that are rejected, however they are split.
func TestMessagesWithinBoundPass(t *testing.T) {
	sizes := []int{0, 1, 100, 127, 128, 255, 256, 70_000, 1 << 20}
	var sent bytes.Buffer
	encoder := gob.NewEncoder(&sent)
	for _, size := range sizes {
		require.NoError(t, encoder.Encode(make([]byte, size)))
	}
	for _, atOnce := range []int{1, 3, 4096} {
		decoder := gob.NewDecoder(&boundedConn{Conn: &scriptedConn{content: bytes.NewReader(sent.Bytes()), atOnce: atOnce}})
		for _, size := range sizes {
			var got []byte
			require.NoError(t, decoder.Decode(&got))
			require.Len(t, got, size)
		}
	}
}

// Guards against a program at the address of an instance that is gone, which announces a message of
// gigabytes and fills the memory.
func TestMessageBeyondBoundIsRejected(t *testing.T) {
	for name, length := range map[string][]byte{
		"a gigabyte": {0xfc, 0x40, 0, 0, 0}, "eight bytes": {0xf8, 1, 0, 0, 0, 0, 0, 0, 0}, "malformed": {0x80},
	} {
		t.Run(name, func(t *testing.T) {
			endless := io.MultiReader(bytes.NewReader(length), zeros{})
			before := messagesTooLarge.Get()
			_, err := io.Copy(io.Discard, &boundedConn{Conn: &scriptedConn{content: endless, atOnce: 4096}})
			require.ErrorIs(t, err, errMessageTooLarge)
			require.Equal(t, before+1, messagesTooLarge.Get())
		})
	}
}

// zeros is an endless reader.
type zeros struct{}

func (zeros) Read(p []byte) (int, error) {
	clear(p)
	return len(p), nil
}
