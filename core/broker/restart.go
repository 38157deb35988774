package broker

import "time"

// restart is what is known of a restart of a target's process before its entry tells.
type restart struct {
	endedAt time.Time // when several hosts had found that it takes no connections; zero for never
	// knownBy is when a restart would be published, once the target has answered again.
	knownBy time.Time
}

// mayBeCold reports whether a process may be running that has started lately.
func (r *restart) mayBeCold(now time.Time) bool {
	return !r.endedAt.IsZero() && (r.knownBy.IsZero() || now.Before(r.knownBy))
}

// observeRestart records how a request ended at a target that may have ended. A request that was
// granted before and is answered shows that it has not.
func (b *Broker) observeRestart(now time.Time, t *target, grantedAt time.Time, o Outcome) {
	switch o {
	case NoConnect:
		if t.blockedForAll(now) > 0 {
			t.restart = restart{endedAt: now}
			t.nextColdGrant = now.Add(b.coldInterval(t))
		}
	case Good, Failed, Rejected:
		switch {
		case t.restart.endedAt.IsZero():
		case grantedAt.Before(t.restart.endedAt):
			t.restart = restart{}
		case t.restart.knownBy.IsZero():
			t.restart.knownBy = now.Add(restartPublishDelay)
		}
	}
}
