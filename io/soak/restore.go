package soak

import (
	"net/netip"
	"time"

	"yuccadoor/platform/stand"
)

// faultStoreRestored is the name of the fault restoreStore.
const faultStoreRestored = "store restored from a copy"

// restoreStore copies the store and, when the fault ends, restores it from the copy while
// it refuses all calls. Its writers write again some time later.
func (r *run) restoreStore(n int) func() {
	backup := r.store.Backup()
	return func() { r.restoreFrom(backup, time.Duration(n%int(maxRewriteDelay.Milliseconds()))*time.Millisecond) }
}

// maxRewriteDelay is how long after the store's return its writers write again, at most.
const maxRewriteDelay = 1500 * time.Millisecond

func (r *run) restoreFrom(backup stand.Backup, rewriteDelay time.Duration) {
	r.store.InjectFault(netip.Addr{}, stand.Unavailable)
	time.Sleep(minFaultDuration)
	r.store.Restore(backup)
	r.store.InjectFault(netip.Addr{}, stand.Healthy)
	time.Sleep(rewriteDelay)
	r.store.WriteAgain(backup)
}

// faultDepartureLost is the name of the exclusive fault loseDeparture.
const faultDepartureLost = "store loses a departure, alone"

// loseDeparture makes a server or a zone leave, as leaveExclusively does, and then
// restores the store from a copy in which it has not left.
func (r *run) loseDeparture() {
	backup := r.store.Backup()
	time.AfterFunc(settleTime+leaveDeadline+minFaultDuration, func() { r.restoreFrom(backup, maxRewriteDelay) })
	r.leaveExclusively()
	time.Sleep(maxRewriteDelay)
}
