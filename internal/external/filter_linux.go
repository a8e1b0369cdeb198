package external

import "golang.org/x/sys/unix"

const (
	// tcpFlagsOffset is the offset of the flags in a TCP header, in bytes.
	tcpFlagsOffset = 13
	tcpFlagSYN     = 0x02
	tcpFlagACK     = 0x10
	// acceptPacket is the filter result that keeps a whole packet, dropPacket the one
	// that drops it.
	acceptPacket = 0xffffffff
	dropPacket   = 0
)

// ignoreHandshakes attaches a packet filter to a listening socket that drops the first
// packet of each new connection. The other packets pass, so that handshakes which have
// begun are completed.
func ignoreHandshakes(fd int) error {
	program := []unix.SockFilter{
		{Code: unix.BPF_LD | unix.BPF_B | unix.BPF_ABS, K: tcpFlagsOffset},
		{Code: unix.BPF_ALU | unix.BPF_AND | unix.BPF_K, K: tcpFlagSYN | tcpFlagACK},
		{Code: unix.BPF_JMP | unix.BPF_JEQ | unix.BPF_K, K: tcpFlagSYN, Jf: 1},
		{Code: unix.BPF_RET | unix.BPF_K, K: dropPacket},
		{Code: unix.BPF_RET | unix.BPF_K, K: acceptPacket},
	}
	filter := unix.SockFprog{Len: uint16(len(program)), Filter: &program[0]}
	return unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER, &filter)
}

// queueLength returns the number of connections in the queue of a listening socket. The
// kernel reports it in a field that counts segments for other sockets.
func queueLength(fd int) (int, error) {
	info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
	if err != nil {
		return 0, err
	}
	return int(info.Unacked), nil
}
