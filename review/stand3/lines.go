package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"yuccadoor/platform/stand"
)

// Parameters of playLines.
const (
	writerCount    = 12
	lostWriters    = 3 // a share of 0.25
	firstLoss      = 2 * time.Second
	lossGap        = 2 * time.Second
	heartbeat      = 1200 * time.Millisecond
	lapsesAfter    = 3 * heartbeat // an entry without a heartbeat
	linesLength    = 10 * time.Second
	readerCount    = 40
	eventCount     = 12
	eventLines     = 5
	lineInterval   = 20 * time.Millisecond
	linesPatience  = 8 * time.Second
	defaultLineLen = 4096 // bytes of a line without its end; LINE sets another length
)

// writer is a stand-in for a server whose events have several long lines. It writes each line as
// soon as it has made it, so that a crash may stop it in the middle of an event.
type writer struct {
	id, zone string
	address  netip.AddrPort
	lineLen  int
	born     time.Time
	server   *http.Server
	mu       sync.Mutex
	running  int // guarded by mu
}

// newWriter starts a server and returns it with the function that ends it, as a crash does.
func newWriter(id, zone string, lineLen int) (*writer, func(), error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, nil, err
	}
	w := &writer{id: id, zone: zone, lineLen: lineLen, address: l.Addr().(*net.TCPAddr).AddrPort(), born: time.Now()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(l) }()
	return w, func() { w.server.Close() }, nil
}

// register writes the server's entry to the store.
func (w *writer) register(store *stand.Store) {
	store.Put("servers/"+w.id, map[string]any{
		"service": engineService, "address": w.address.String(), "zone": w.zone, "version": "v1", "slots": engineSlots,
		"state": "ready", "cold_left_ms": 0, "seq": 1, "born": w.born.UnixMilli(),
	})
}

// eventData returns the lines of the n-th event, each of which has lineLen bytes with its field
// name. They depend on n only, so that any server may go on with a stream.
func eventData(n, lineLen int) []string {
	var lines []string
	for i := range eventLines {
		text := fmt.Sprintf("piece %d line %d ", n, i+1)
		text += strings.Repeat("x", lineLen-len("data: ")-len(text))
		lines = append(lines, text)
	}
	return lines
}

// ServeHTTP implements http.Handler.
func (w *writer) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	rw.Header().Set(headerRequest, r.Header.Get(headerRequest))
	rw.Header().Set(headerInstance, w.id)
	if want := r.Header.Get(headerExpect); want != "" && want != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/healthz" {
		return
	}
	w.count(1)
	defer w.count(-1)
	_, _ = io.Copy(io.Discard, r.Body)
	after, _ := strconv.Atoi(r.Header.Get("Last-Event-Id"))
	rw.Header().Set(headerStamp, "stamp-"+w.id)
	rw.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(rw)
	for n := after + 1; n <= eventCount; n++ {
		parts := []string{fmt.Sprintf("id: %d\n", n)}
		for _, line := range eventData(n, w.lineLen) {
			parts = append(parts, "data: "+line+"\n")
		}
		parts[0] += parts[1]
		parts[len(parts)-1] += "\n"
		for _, part := range append(parts[:1], parts[2:]...) {
			select {
			case <-time.After(lineInterval):
			case <-r.Context().Done():
				return
			}
			_, _ = io.WriteString(rw, part)
			if control.Flush() != nil {
				return
			}
		}
	}
}

func (w *writer) count(n int) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running += n
	return w.running
}

// startWriters starts the servers and publishes the deployment.
func startWriters(ctx context.Context, s *system, lineLen int) ([]*writer, []func(), func(), error) {
	var writers []*writer
	var stops []func()
	cleanup := func() {
		for _, stop := range stops {
			stop()
		}
	}
	for n := range writerCount {
		w, stop, err := newWriter(fmt.Sprintf("i-%04d", n+1), zoneOf(n), lineLen)
		if err != nil {
			return writers, stops, cleanup, err
		}
		writers, stops = append(writers, w), append(stops, stop)
		w.register(s.store)
	}
	d := &stand.Deployment{Version: 1, Keys: []string{"key-1"}, ColdRate: coldRate, Routes: []stand.Route{
		{Prefix: "/review/", Kind: "stream", Service: engineService, Attempts: 2, Resumable: true, Timeout: linesPatience},
	}}
	return writers, stops, cleanup, s.publish(ctx, d)
}

// crash ends servers one after the other for good; the store removes their entries after three
// heartbeats of silence.
func crash(ctx context.Context, s *system, writers []*writer, stops []func()) {
	var lapses sync.WaitGroup
	sleep(ctx, firstLoss)
	for i, w := range writers[:lostWriters] {
		s.record.line("server %s crashes; it runs %d streams", w.id, w.count(0))
		stops[i]()
		lapses.Go(func() {
			sleep(ctx, lapsesAfter)
			s.store.Delete("servers/" + w.id)
		})
		sleep(ctx, lossGap)
	}
	lapses.Wait()
}

// checkStream compares the events that a client has with those that the servers made. It returns
// the first event that is not the one that a server made, or is missing before another one or
// before the end of a stream that ended as complete; empty if there is none.
func checkStream(text string, complete bool, lineLen int) string {
	whole := strings.Split(text, "\n\n")
	events := whole[:len(whole)-1] // what follows the last blank line is no event
	for i, event := range events {
		n := i + 1
		if want := fmt.Sprintf("id: %d\ndata: %s", n, strings.Join(eventData(n, lineLen), "\ndata: ")); event != want {
			return fmt.Sprintf("event %d has the lines %q", n, abridge(event))
		}
	}
	if complete && len(events) < eventCount {
		return fmt.Sprintf("it ends as complete after event %d of %d", len(events), eventCount)
	}
	return ""
}

// abridge returns the beginnings of the lines of an event.
func abridge(event string) []string {
	var lines []string
	for line := range strings.SplitSeq(event, "\n") {
		line, _, _ = strings.Cut(line, " xx")
		lines = append(lines, line)
	}
	return lines
}

// playLines has clients read streams while servers crash, which cuts some streams in the middle
// of an event.
func playLines(ctx context.Context, s *system, trouble bool) (verdict, error) {
	lineLen := defaultLineLen
	if n, err := strconv.Atoi(os.Getenv("LINE")); err == nil {
		lineLen = n
	}
	s.record.line("lines of %d bytes", lineLen)
	writers, stops, cleanup, err := startWriters(ctx, s, lineLen)
	defer cleanup()
	if err != nil {
		return verdict{}, err
	}
	var pending sync.WaitGroup
	if trouble {
		pending.Go(func() { crash(ctx, s, writers, stops) })
	}
	var mu sync.Mutex
	count, complete, broken := 0, 0, 0
	began := time.Now()
	for n := range readerCount {
		pending.Go(func() {
			for i := 0; time.Since(began) < linesLength && ctx.Err() == nil; i++ {
				id := fmt.Sprintf("%016x", 0x5e30000000000000+n<<16+i)
				reply := stand.Send(ctx, s.nodes[n%hostCount].Front, http.MethodPost, "/review/x", id, "key-1", "review", linesPatience)
				ended := reply.Err == nil && reply.Status == http.StatusOK
				fault := ""
				if reply.HeaderReceived && reply.Status == http.StatusOK {
					fault = checkStream(reply.Body, ended, lineLen)
				}
				s.record.line("sent %s to %s: answered %d, stamped %v, %d bytes, complete %v, error %v", id, s.nodes[n%hostCount].Name,
					reply.Status, reply.Stamped, len(reply.Body), ended, reply.Err)
				if fault != "" {
					s.record.line("stream %s: %s", id, fault)
				}
				mu.Lock()
				count++
				if ended {
					complete++
				}
				if fault != "" {
					broken++
				}
				mu.Unlock()
			}
		})
	}
	pending.Wait()
	if complete < count/2 {
		return verdict{}, fmt.Errorf("only %d of %d streams were served", complete, count)
	}
	return verdict{broken > 0, fmt.Sprintf("%d streams, %d complete; in %d a piece is missing or pieces are joined", count, complete, broken)}, nil
}
