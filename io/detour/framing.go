package detour

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httputil"
	"net/textproto"
	"strconv"
)

// headerFraming is how two hosts agree on the framing of the target's bytes. An asking host
// names the framings that it reads, and the carrying host the one that it writes. Hosts of
// versions before the header name none, and pass the bytes on as they are.
const headerFraming = "Yuccadoor-Framing"

// framingChunks is the chunked coding of HTTP: a last chunk ends the bytes once the target has
// ended them. The end of the connection alone does not, since the system closes the
// connections of a process that was killed in the same way.
const framingChunks = "Chunks"

// trailerPassed follows the last chunk: the number of bytes of the request that the target has got.
// Hosts of versions before it neither state it nor read it, and take the reset of a target's
// connection for an orderly end if a write has got the reset.
const trailerPassed = "Yuccadoor-Passed"

const plainAccept = "HTTP/1.1 200 OK\r\n\r\n"

// answerWriter is where a target's bytes go.
type answerWriter interface {
	io.Writer
	// End states that the target has ended its bytes, having got a number of bytes of the request.
	End(passed int64) error
	// Framed reports whether the asking host can tell the end of the bytes from that of the
	// connection.
	Framed() bool
}

// acceptConnection tells the asking host that its connection is open.
func acceptConnection(client net.Conn, r *http.Request) (answerWriter, error) {
	if r.Header.Get(headerFraming) != framingChunks {
		_, err := io.WriteString(client, plainAccept)
		return unframedWriter{client}, err
	}
	_, err := io.WriteString(client, "HTTP/1.1 200 OK\r\n"+headerFraming+": "+framingChunks+"\r\n\r\n")
	buffer := bufio.NewWriter(client)
	return &chunkWriter{chunks: httputil.NewChunkedWriter(buffer), buffer: buffer}, err
}

// unframedWriter passes bytes on as they are: the end of the connection is their end.
type unframedWriter struct{ net.Conn }

// End implements answerWriter.
func (w unframedWriter) End(int64) error {
	if tcp, ok := w.Conn.(*net.TCPConn); ok {
		return tcp.CloseWrite()
	}
	return nil
}

// Framed implements answerWriter.
func (unframedWriter) Framed() bool { return false }

// chunkWriter writes each slice of bytes as one chunk, at once.
type chunkWriter struct {
	chunks io.WriteCloser
	buffer *bufio.Writer
}

// Write implements io.Writer.
func (w *chunkWriter) Write(p []byte) (int, error) {
	n, err := w.chunks.Write(p)
	if err != nil {
		return n, err
	}
	return n, w.buffer.Flush()
}

// End implements answerWriter. It writes the last chunk.
func (w *chunkWriter) End(passed int64) error {
	if err := w.chunks.Close(); err != nil {
		return err
	}
	fmt.Fprintf(w.buffer, "%s: %d\r\n\r\n", trailerPassed, passed)
	return w.buffer.Flush()
}

// Framed implements answerWriter.
func (*chunkWriter) Framed() bool { return true }

// carriedBytes are a target's bytes on a connection through another host. Passed is valid once
// reading has returned io.EOF.
type carriedBytes interface {
	io.Reader
	// Passed returns how many bytes of the request the target has got, or -1 if the host does not
	// state it.
	Passed() int64
}

// readCarried returns the target's bytes on a connection through a host that has accepted it with
// a header.
func readCarried(conn net.Conn, h http.Header) carriedBytes {
	if h.Get(headerFraming) != framingChunks {
		return uncertainEnd{conn}
	}
	buffer := bufio.NewReader(conn)
	return &chunkReader{chunks: httputil.NewChunkedReader(buffer), buffer: buffer, passed: -1}
}

// chunkReader reads chunks and what follows the last one.
type chunkReader struct {
	chunks io.Reader
	buffer *bufio.Reader
	ended  bool
	passed int64
}

// Read implements io.Reader.
func (r *chunkReader) Read(p []byte) (int, error) {
	n, err := r.chunks.Read(p)
	if err == io.EOF && !r.ended {
		r.ended, r.passed = true, readPassed(r.buffer)
	}
	return n, err
}

// Passed implements carriedBytes.
func (r *chunkReader) Passed() int64 { return r.passed }

// readPassed reads trailerPassed; -1 if there is none.
func readPassed(r *bufio.Reader) int64 {
	trailer, err := textproto.NewReader(r).ReadMIMEHeader()
	if err != nil {
		return -1
	}
	passed, err := strconv.ParseInt(trailer.Get(trailerPassed), 10, 64)
	if err != nil {
		return -1
	}
	return passed
}

// uncertainEnd reads bytes whose end the carrying host does not state: the end of the
// connection may be that of the host.
type uncertainEnd struct{ io.Reader }

// Read implements io.Reader.
func (r uncertainEnd) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// Passed implements carriedBytes.
func (uncertainEnd) Passed() int64 { return -1 }
