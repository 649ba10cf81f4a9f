package linker

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/coltsfootlane/coltsfootlane/internal/compressor"
)

// MaxFrameBytes is the maximum size of a frame's body in bytes, both compressed
// and uncompressed. Larger frames are neither sent nor accepted.
const MaxFrameBytes = 4 << 20

const (
	// maxHelloBytes is the maximum size of a frame from a peer that is not yet
	// authenticated.
	maxHelloBytes = 4 << 10
	// maxJSONDepth is the maximum nesting depth of the JSON in a frame.
	maxJSONDepth = 32
	// minCompressBytes is the minimum size of a body that is compressed.
	minCompressBytes = 512
	// compressedFlag is the bit of a frame's length which marks the body as
	// compressed.
	compressedFlag = 1 << 31
)

// Timeouts of a connection.
const (
	// defaultHelloTimeout bounds the time until a peer is authenticated.
	defaultHelloTimeout = 5 * time.Second
	// frameTimeout bounds the time to receive a frame after its first byte, and
	// the time to send a frame.
	frameTimeout = 10 * time.Second
)

var (
	errFrameSize  = errors.New("frame over the size limit")
	errFrameDepth = errors.New("frame nested too deep")
)

var decompressor = compressor.NewDecompressor(MaxFrameBytes)

// frameCodec is a jsonrpc2.ObjectCodec for one connection. A frame is a length of
// four bytes in big-endian order, and a body of that many bytes of JSON. If the
// highest bit of the length is set, the body is compressed with zstd.
type frameCodec struct {
	conn net.Conn
	// idleTimeout is the time without a frame in either direction after which the
	// connection is closed.
	idleTimeout time.Duration
	// authenticated is set after a hello with the shared key.
	authenticated *atomic.Bool
	// authDeadline is when the connection is closed if it is not authenticated.
	authDeadline time.Time
}

// WriteObject writes a value as one frame.
func (f *frameCodec) WriteObject(w io.Writer, obj any) error {
	frame, err := EncodeFrame(obj)
	if err != nil {
		return err
	}
	now := time.Now()
	_ = f.conn.SetWriteDeadline(now.Add(frameTimeout))
	if f.authenticated.Load() {
		_ = f.conn.SetReadDeadline(now.Add(f.idleTimeout))
	}
	_, err = w.Write(frame)
	return err
}

// EncodeFrame returns the frame of a value encoded as JSON.
func EncodeFrame(obj any) ([]byte, error) {
	data, err := json.Marshal(obj)
	if err != nil {
		return nil, err
	}
	if len(data) > MaxFrameBytes {
		return nil, errFrameSize
	}
	if len(data) < minCompressBytes {
		frame := binary.BigEndian.AppendUint32(make([]byte, 0, 4+len(data)), uint32(len(data)))
		return append(frame, data...), nil
	}
	frame := compressor.Append(make([]byte, 4, 4+len(data)/2), data)
	binary.BigEndian.PutUint32(frame, uint32(len(frame)-4)|compressedFlag)
	return frame, nil
}

// ReadObject reads one frame and decodes its JSON into v.
func (f *frameCodec) ReadObject(r *bufio.Reader, v any) error {
	limit := MaxFrameBytes
	if f.authenticated.Load() {
		_ = f.conn.SetReadDeadline(time.Now().Add(f.idleTimeout))
	} else {
		_ = f.conn.SetReadDeadline(f.authDeadline)
		limit = maxHelloBytes
	}
	if _, err := r.Peek(1); err != nil {
		return err
	}
	if f.authenticated.Load() {
		_ = f.conn.SetReadDeadline(time.Now().Add(frameTimeout))
		limit = MaxFrameBytes
	}
	data, err := readFrame(r, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(data, v)
}

// readFrame reads a frame and returns its uncompressed body. It checks the size
// of the body, compressed and uncompressed, and the depth of its JSON. The buffer
// grows as data arrives, so a peer cannot make the reader allocate memory merely
// by sending a large length.
func readFrame(r io.Reader, limit int) ([]byte, error) {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return nil, err
	}
	size := binary.BigEndian.Uint32(header[:])
	compressed := size&compressedFlag != 0
	size &^= compressedFlag
	if size > uint32(limit) {
		return nil, errFrameSize
	}
	data, err := io.ReadAll(io.LimitReader(r, int64(size)))
	if err != nil {
		return nil, err
	}
	if len(data) < int(size) {
		return nil, io.ErrUnexpectedEOF
	}
	if compressed {
		data, err = decompressor.Decompress(data)
	}
	if err != nil {
		return nil, err
	}
	if len(data) > limit {
		return nil, errFrameSize
	}
	if jsonDepth(data) > maxJSONDepth {
		return nil, errFrameDepth
	}
	return data, nil
}

// jsonDepth returns the maximum nesting depth of the brackets outside of strings.
func jsonDepth(data []byte) int {
	deepest, depth := 0, 0
	inString, escaped := false, false
	for _, c := range data {
		switch {
		case escaped:
			escaped = false
		case inString && c == '\\':
			escaped = true
		case c == '"':
			inString = !inString
		case inString:
		case c == '{' || c == '[':
			depth++
			deepest = max(deepest, depth)
		case c == '}' || c == ']':
			depth--
		}
	}
	return deepest
}
