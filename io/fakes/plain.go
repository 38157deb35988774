package fakes

import (
	"net/http"
	"net/netip"
	"time"

	"github.com/gorilla/mux"
)

// Plain is a fake of a plain HTTP service, such as an order application.
type Plain struct{ *target }

// plainAnswer is the response of a plain service: the path and body of the request
// and the index of its run.
type plainAnswer struct {
	Path string
	Run  int
	Echo string
}

// NewPlain starts a fake plain service and returns it with its cleanup function.
func NewPlain(address netip.AddrPort, s Settings) (*Plain, func(), error) {
	p := &Plain{target: newTarget(address, s)}
	r := mux.NewRouter()
	r.HandleFunc("/load", p.serveLoad).Methods(http.MethodGet)
	r.PathPrefix("/").HandlerFunc(p.serve)
	p.handler = r
	return p, p.Close, p.Start()
}

// serve answers any request after the configured processing time.
func (p *Plain) serve(w http.ResponseWriter, r *http.Request) {
	body, ok := p.readBody(w, r)
	if !ok {
		<-r.Context().Done()
		return
	}
	run, incarnation := p.begin(r, body)
	completed := sleep(r, time.Duration(float64(p.settings.ProcessingTime)*p.slowdownFactor()))
	p.end(run, incarnation, completed) // recorded before the client sees the response
	if !completed {
		return
	}
	writeJSON(w, plainAnswer{Path: r.URL.Path, Run: run, Echo: string(body)})
}
