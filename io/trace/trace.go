// Package trace parses hosts' logs into requests: one Request for each "request
// ended" line. Lines of other events are skipped, and so are prefixes that a log
// collector has put before a line.
package trace

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-logfmt/logfmt"
	"github.com/pkg/errors"

	"yuccadoor/core/burn"
	"yuccadoor/io/gate"
)

// requestEndedEvent is the event whose lines are parsed; io/gate logs it.
const requestEndedEvent = "request ended"

// lastField is the last required field of a line. A line without it was truncated,
// for example because its process was killed.
const lastField = "Total"

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

// Request is the logged result of one request.
type Request struct {
	Ended              time.Time
	ID                 string
	Route              string // empty if no route matched
	Service            string
	Workspace          string
	Target             string // last target tried; empty if none was reached
	Cause              string // of a refusal or failure; empty otherwise
	Tier               int    // of the workspace or the route
	Class              int    // of the route
	Status             int
	PromptTokens       int
	MaxOutputTokens    int           // largest number of output tokens that the request allows
	StreamEvents       int           // events of a stream that were forwarded
	FirstByteObjective time.Duration // objective for FirstByte
	Waited             time.Duration // time spent waiting for targets
	FirstByte          time.Duration // from arrival to the start of the response; 0 if there was none
	Total              time.Duration // from arrival to the end of the request
}

// Arrived returns the arrival time of the request.
func (r *Request) Arrived() time.Time { return r.Ended.Add(-r.Total) }

// Outcome classifies the request for the service-level report.
func (r *Request) Outcome() burn.Outcome {
	e := burn.End{
		Route: r.Route, Service: r.Service, Status: r.Status, Cause: r.Cause,
		CallerLeft: r.Cause == gate.CauseClientDisconnected, TimeToFirstByte: r.FirstByte, Objective: r.FirstByteObjective,
	}
	return e.Outcome()
}

// Read parses a log to its end. A "request ended" line that cannot be parsed is an
// error that contains the line number. A truncated one is skipped.
func Read(log io.Reader) ([]Request, error) {
	var all []Request
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLineBytes)
	for n := 1; lines.Scan(); n++ {
		fields := parseLine(lines.Bytes())
		if fields["Event"] != requestEndedEvent {
			continue
		}
		if _, complete := fields[lastField]; !complete {
			continue
		}
		r, err := decodeRequest(fields)
		if err != nil {
			return nil, errors.Wrapf(err, "read line %d of the log", n)
		}
		all = append(all, r)
	}
	return all, errors.Wrap(lines.Err(), "read the log")
}

// parseLine returns the fields of a logfmt line. If the line is malformed, it
// returns the fields before the error.
func parseLine(line []byte) map[string]string {
	fields := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}

// decodeRequest decodes the fields of a "request ended" line.
func decodeRequest(fields map[string]string) (Request, error) {
	d := decoder{fields: fields}
	r := Request{
		ID: fields["Request"], Route: fields["Route"], Service: fields["Service"],
		Workspace: fields["Workspace"], Target: fields["Target"], Cause: fields["Cause"],
		Tier: d.number("Tier"), Class: d.number("Class"), Status: d.number("Status"), PromptTokens: d.number("Prompt"),
		MaxOutputTokens: d.number("Output"), StreamEvents: d.number("Events"),
		FirstByteObjective: d.duration("Aim"), Waited: d.duration("Waited"), FirstByte: d.duration("First"), Total: d.duration("Total"),
	}
	at, err := time.Parse(time.RFC3339Nano, fields["Time"])
	r.Ended = at
	d.setError("Time", err)
	return r, d.err
}

// decoder decodes fields and keeps the first error.
type decoder struct {
	fields map[string]string
	err    error
}

// setError records an error of the named field unless there is an earlier one.
func (d *decoder) setError(name string, err error) {
	if d.err == nil {
		d.err = errors.Wrapf(err, "field %s", name)
	}
}

func (d *decoder) number(name string) int {
	n, err := strconv.Atoi(d.fields[name])
	d.setError(name, err)
	return n
}

func (d *decoder) duration(name string) time.Duration {
	t, err := time.ParseDuration(d.fields[name])
	d.setError(name, err)
	return t
}
