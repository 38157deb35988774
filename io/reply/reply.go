// Package reply reads HTTP responses. A response with a malformed head is an error, since neither
// its meaning nor the end of its body can be relied on. Package net/http accepts some of these.
package reply

import (
	"bufio"
	"net/http"

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
	return nil
}
