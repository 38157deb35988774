package soak

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"yuccadoor/platform/stand"
)

// faultStreamsBreak is the name of the fault breakStreams.
const faultStreamsBreak = "streams break off"

// breakStreams makes the engines break streams off, at whole events or within one.
func (r *run) breakStreams(n int) func() {
	return r.failSome([]stand.Fault{stand.Broken, stand.PartialEvent}[n%2], 1)
}

// takeUpDelay is how long after a stream has broken off its caller takes it up.
const takeUpDelay = 100 * time.Millisecond

// takeUp takes a resumable stream up that broke off after its first event, at any host.
func (r *run) takeUp(ctx context.Context, q *request, key string) {
	events := strings.Count(q.reply.Body, "\n\n")
	if !q.route.Resumable || q.reply.Status != http.StatusOK || q.reply.Err == nil || events == 0 {
		return
	}
	time.Sleep(takeUpDelay)
	h := r.hosts[len(q.id)*events%len(r.hosts)]
	id := q.id + "-again"
	header := append(stand.Resumption(q.id, events), stand.Prompt(q.id, sharedParts...))
	stand.Send(ctx, h.node.Front, "POST", q.route.Prefix+"x", id, key, "body", clientTimeout, header...)
	r.mu.Lock()
	defer r.mu.Unlock()
	q.takenUp = id
}

// checkVersions checks that a stream went on only at the software version of the run that
// brought its first event: the last one that began it.
func (r *run) checkVersions(q *request, runs map[string][]stand.Run) {
	chain := slices.Concat(runs[q.id], runs[q.takenUp])
	slices.SortFunc(chain, func(a, b stand.Run) int { return cmp.Compare(a.StartedAt.UnixNano(), b.StartedAt.UnixNano()) })
	began := ""
	for _, x := range chain {
		if x.LastID == "" {
			began = x.Version
		} else if began != "" && x.Version != began {
			r.addFindingLocked("%s began at version %s and went on at %s", q.id, began, x.Version)
		}
	}
}
