// Package reply reads HTTP responses. A response with a malformed head is an error, since neither
// its meaning nor the end of its body can be relied on. Package net/http accepts some of these.
package reply

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"net/textproto"
	"strings"

	"github.com/pkg/errors"
)

// protocol10 begins a response of HTTP/1.0.
const protocol10 = "HTTP/1.0 "

// Read reads the head of the response to a request.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	read := http.ReadResponse
	if start, _ := r.Peek(len(protocol10)); string(start) == protocol10 {
		read = read10
	}
	response, err := read(r, request)
	if err != nil {
		return nil, err
	}
	return response, check(response)
}

// check returns an error if the head of a response is malformed.
func check(r *http.Response) error {
	if r.ProtoMajor != 1 {
		return errors.Errorf("the response is of the protocol %.40q", r.Proto)
	}
	if r.StatusCode < http.StatusContinue {
		return errors.Errorf("the response has the status %.40q", r.Status)
	}
	// No request asks for another protocol.
	if r.StatusCode == http.StatusSwitchingProtocols {
		return errors.New("the response switches to another protocol")
	}
	return checkNames(r.Header)
}

// checkNames returns an error if the name of a field is malformed in a way that the parser of
// headers accepts.
func checkNames(h http.Header) error {
	for name := range h {
		if strings.Contains(name, " ") {
			return errors.Errorf("the response has a field with a blank in its name, %.40q", name)
		}
	}
	return nil
}

// read10 reads the head of a response of HTTP/1.0, which has no transfer codings: net/http ignores
// the field and passes the coded body on.
func read10(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	parser := textproto.NewReader(r)
	line, err := parser.ReadLine()
	if err != nil {
		return nil, err
	}
	fields, err := parser.ReadMIMEHeader()
	if err != nil {
		return nil, err
	}
	header := http.Header(fields)
	if err := checkNames(header); err != nil {
		return nil, err
	}
	if len(header["Transfer-Encoding"]) > 0 {
		return nil, errors.New("the response has a transfer coding, which HTTP/1.0 does not have")
	}
	head := bytes.NewBufferString(line + "\r\n")
	if err := header.Write(head); err != nil {
		return nil, err
	}
	head.WriteString("\r\n")
	response, err := http.ReadResponse(bufio.NewReader(io.MultiReader(head, r)), request)
	if err != nil {
		return nil, err
	}
	response.Close = true // what has been read beyond the body is lost
	return response, nil
}

// Transport is a round tripper that rejects responses with a malformed head.
type Transport struct{ http.RoundTripper }

// RoundTrip implements http.RoundTripper.
func (t Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	response, err := t.RoundTripper.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	if err := check(response); err != nil {
		response.Body.Close()
		return nil, err
	}
	return response, nil
}
