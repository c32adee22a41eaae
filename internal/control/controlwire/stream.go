package controlwire

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"time"
)

const (
	// MaxFrameBytes bounds a frame between a control server and a node or client.
	MaxFrameBytes = 4 << 20
	// MaxPeerFrameBytes bounds a frame between control servers: a snapshot holds all retained entries.
	MaxPeerFrameBytes = 128 << 20

	lengthBytes       = 4        // of a frame's length
	preallocatedBytes = 16 << 10 // shorter frames are read in one piece; longer ones grow as bytes arrive
	readBufferBytes   = 4 << 10  // longer reads bypass the buffer
)

// DialFunc opens a connection to an address within a timeout. A nil DialFunc stands for TCP.
type DialFunc func(addr string, within time.Duration) (net.Conn, error)

// Stream is a connection that carries frames.
type Stream struct {
	net.Conn
	reader        *bufio.Reader
	maxFrameBytes int // of frames in both directions
}

// NewStream wraps a connection. Frames of more than maxFrameBytes are rejected in both directions.
func NewStream(conn net.Conn, maxFrameBytes int) *Stream {
	return &Stream{Conn: conn, reader: bufio.NewReaderSize(conn, readBufferBytes), maxFrameBytes: maxFrameBytes}
}

// Dial opens a stream to an address and writes the preface. It returns the network's errors unchanged.
func Dial(dial DialFunc, addr string, kind StreamKind, label string, maxFrameBytes int) (*Stream, error) {
	if dial == nil {
		dial = func(addr string, within time.Duration) (net.Conn, error) { return net.DialTimeout("tcp", addr, within) }
	}
	conn, err := dial(addr, dialTimeout)
	if err != nil {
		return nil, err
	}
	_ = conn.SetWriteDeadline(time.Now().Add(HandshakeTimeout))
	if _, err := conn.Write(Preface(kind, label)); err != nil {
		_ = conn.Close()
		return nil, err
	}
	return NewStream(conn, maxFrameBytes), nil
}

// Send writes a message within a timeout and returns the number of bytes written. After an error the stream cannot be
// used any more.
func (s *Stream) Send(message Message, timeout time.Duration) (int, error) {
	frame, err := EncodeFrame(message, s.maxFrameBytes)
	if err != nil {
		return 0, err
	}
	_ = s.SetWriteDeadline(time.Now().Add(timeout))
	return s.Write(frame)
}

// Receive reads a message and returns it with its size in bytes, including the length prefix. It returns ErrMalformed
// for anything that is not a message, and the network's error if the message is not complete within the timeout. A
// message of more than MaxFrameBytes has SnapshotTimeout from the arrival of its length. After an error the stream
// cannot be used any more.
func (s *Stream) Receive(timeout time.Duration) (Message, int, error) {
	_ = s.SetReadDeadline(time.Now().Add(timeout))
	var length [lengthBytes]byte
	if _, err := io.ReadFull(s.reader, length[:]); err != nil {
		return Message{}, 0, err
	}
	size := int(binary.BigEndian.Uint32(length[:]))
	if size > s.maxFrameBytes {
		return Message{}, 0, fmt.Errorf("%w: frame of %d bytes, limit %d bytes", ErrMalformed, size, s.maxFrameBytes)
	}
	body, err := s.readBody(size)
	if err != nil {
		return Message{}, 0, err
	}
	message, err := decodeMessage(body)
	if err != nil {
		return message, 0, err
	}
	return message, lengthBytes + size, nil
}

// readBody reads the body of a frame. It does not allocate the announced length of a long frame in advance: a sender
// that announces 128 MiB and then sends nothing would otherwise hold that much memory on each of its open streams.
func (s *Stream) readBody(size int) ([]byte, error) {
	if size <= preallocatedBytes {
		body := make([]byte, size)
		_, err := io.ReadFull(s.reader, body)
		return body, err
	}
	if size > MaxFrameBytes {
		_ = s.SetReadDeadline(time.Now().Add(SnapshotTimeout))
	}
	body, err := io.ReadAll(io.LimitReader(s.reader, int64(size)))
	if err == nil && len(body) < size {
		err = io.ErrUnexpectedEOF
	}
	return body, err
}
