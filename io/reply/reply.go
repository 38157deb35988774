// Package reply reads HTTP responses. A response with a malformed head is an error, since neither
// its meaning nor the end of its body can be relied on. Package net/http accepts some of these.
package reply

import (
	"bufio"
	"net/http"
	"strings"

	"github.com/pkg/errors"
)

// Read reads the head of the response to a request.
func Read(r *bufio.Reader, request *http.Request) (*http.Response, error) {
	response, err := http.ReadResponse(r, request)
	if err != nil {
		return nil, err
	}
	return response, check(response)
}

// check returns an error if the head of a response is malformed.
func check(r *http.Response) error {
	if r.StatusCode < http.StatusContinue {
		return errors.Errorf("the response has the status %.40q", r.Status)
	}
	for name := range r.Header {
		// The parser rejects all other bytes that a name must not have.
		if strings.Contains(name, " ") {
			return errors.Errorf("the response has a field with a blank in its name, %.40q", name)
		}
	}
	return nil
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
