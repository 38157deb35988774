// Package trace reads what hosts' logs tell of requests: one Request for each
// line that says how one ended. Lines of other events, and what a collector of
// logs has put before a line, are passed over.
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

// ended is the event whose lines are read; io/gate writes them.
const ended = "request ended"

// lastField is the last that is needed of a request's line; one without it was cut, as
// by the end of its process.
const lastField = "Total"

// maxLine bounds a line of a log, in bytes.
const maxLine = 1 << 20

// Request is how one request ended.
type Request struct {
	Ended     time.Time
	ID        string
	Route     string // empty if none matched
	Service   string
	Workspace string
	Target    string // the last one; empty if none was reached
	Cause     string // of a refusal or failure; empty for none
	Tier      int    // of the workspace, or of the route
	Class     int    // of the route
	Status    int
	Prompt    int           // tokens
	Output    int           // most output tokens
	Events    int           // of a stream, as passed on
	Aim       time.Duration // to the start of the answer
	Waited    time.Duration // for targets
	First     time.Duration // from arrival to the start of the answer; 0 for none
	Total     time.Duration // from arrival
}

// Arrived is when the request came in.
func (r *Request) Arrived() time.Time { return r.Ended.Add(-r.Total) }

// Fate is how the request went.
func (r *Request) Fate() burn.Outcome {
	e := burn.End{
		Route: r.Route, Service: r.Service, Status: r.Status, Cause: r.Cause,
		CallerLeft: r.Cause == gate.CauseCallerLeft, TimeToFirstByte: r.First, Objective: r.Aim,
	}
	return e.Outcome()
}

// Read reads a log to its end. A line of a request that cannot be understood
// is an error, with its number; one that was cut is passed over.
func Read(log io.Reader) ([]Request, error) {
	var all []Request
	lines := bufio.NewScanner(log)
	lines.Buffer(nil, maxLine)
	for n := 1; lines.Scan(); n++ {
		fields := split(lines.Bytes())
		if fields["Event"] != ended {
			continue
		}
		if _, whole := fields[lastField]; !whole {
			continue
		}
		r, err := request(fields)
		if err != nil {
			return nil, errors.Wrapf(err, "read line %d of the log", n)
		}
		all = append(all, r)
	}
	return all, errors.Wrap(lines.Err(), "read the log")
}

// split gives the fields of a line; of one that is no list of fields, those
// before the fault.
func split(line []byte) map[string]string {
	fields := map[string]string{}
	d := logfmt.NewDecoder(bytes.NewReader(line))
	for d.ScanRecord() {
		for d.ScanKeyval() {
			fields[string(d.Key())] = string(d.Value())
		}
	}
	return fields
}

// request decodes the fields of a request's line.
func request(fields map[string]string) (Request, error) {
	d := decoder{fields: fields}
	r := Request{
		ID: fields["Request"], Route: fields["Route"], Service: fields["Service"],
		Workspace: fields["Workspace"], Target: fields["Target"], Cause: fields["Cause"],
		Tier: d.number("Tier"), Class: d.number("Class"), Status: d.number("Status"), Prompt: d.number("Prompt"),
		Output: d.number("Output"), Events: d.number("Events"),
		Aim: d.duration("Aim"), Waited: d.duration("Waited"), First: d.duration("First"), Total: d.duration("Total"),
	}
	at, err := time.Parse(time.RFC3339Nano, fields["Time"])
	r.Ended = at
	d.note("Time", err)
	return r, d.err
}

// decoder keeps the first field that could not be understood.
type decoder struct {
	fields map[string]string
	err    error
}

func (d *decoder) note(name string, err error) {
	if d.err == nil {
		d.err = errors.Wrapf(err, "field %s", name)
	}
}

func (d *decoder) number(name string) int {
	n, err := strconv.Atoi(d.fields[name])
	d.note(name, err)
	return n
}

func (d *decoder) duration(name string) time.Duration {
	t, err := time.ParseDuration(d.fields[name])
	d.note(name, err)
	return t
}
