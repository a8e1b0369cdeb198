package protocol

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestFrameEncodingRoundTrip(t *testing.T) {
	frame := Frame{Records: []Record{
		{ID: RecordID{Session: 7, Seq: 1}, SessionRenew: &SessionRenew{}},
		{ID: RecordID{Session: 7, Seq: 2}, LeaseClaim: &LeaseClaim{Resource: "orders/t1", Replaces: NoOffset}},
	}}
	data, err := EncodeFrame(frame)
	require.NoError(t, err)
	back, err := DecodeFrame(data)
	require.NoError(t, err)
	require.Equal(t, frame, back)
}

// A faulty writer sends a record with two bodies. If readers of different versions
// applied different bodies, their states would diverge and an item could complete
// twice. Every reader must reject the whole frame.
func TestRecordWithTwoBodiesIsMalformed(t *testing.T) {
	data, err := Marshal(Frame{Records: []Record{{SessionRenew: &SessionRenew{}, SessionClose: &SessionClose{}}}})
	require.NoError(t, err)
	_, err = DecodeFrame(data)
	require.ErrorIs(t, err, ErrMalformed)
}

func FuzzDecodeFrame(f *testing.F) {
	seed, _ := EncodeFrame(Frame{Records: []Record{{SessionRenew: &SessionRenew{}}}})
	f.Add(seed)
	f.Add([]byte{0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		frame, err := DecodeFrame(data)
		if err != nil {
			require.ErrorIs(t, err, ErrMalformed)
			return
		}
		again, err := Marshal(frame)
		require.NoError(t, err)
		back, err := DecodeFrame(again)
		require.NoError(t, err)
		require.Len(t, back.Records, len(frame.Records))
	})
}
