package permit

import (
	"encoding/json"
	"testing"
	"time"

	"yuccadoor/core/limit"
)

// FuzzMessages passes any input that decodes as a message to the manager or the holder.
// Neither may panic, and the manager may not grant more permits than the target's limit.
func FuzzMessages(f *testing.F) {
	seeds := []any{
		FromHolder{Incarnation: 3, Seq: 1, Full: true, Asks: []Ask{{Ticket: 1, Tier: 200, Patience: -time.Second}}},
		FromHolder{Incarnation: 1, Seq: 2, Releases: []Release{{Ticket: 9, Result: limit.Result{Kind: "Odd", Units: -1}}}},
		FromManager{Incarnation: 2, Seq: 9, Fence: 1 << 60, Grants: []Grant{{Ticket: 1}}, Claims: []Claim{{Number: 1}}},
	}
	for _, s := range seeds {
		raw, err := json.Marshal(s)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte(`{"Seq":1,"Asks":[{"Ticket":1,"Target":"10.0.1.1:1","Tier":255},{"Ticket":2,"Target":"10.0.1.1:1"},{"Ticket":3,"Target":"10.0.1.1:1"}],"Full":true}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		p := newPair(t)
		var toManager FromHolder
		if json.Unmarshal(raw, &toManager) == nil {
			p.manager.Receive(p.now, p.holderAddress, toManager)
		}
		var toHolder FromManager
		if json.Unmarshal(raw, &toHolder) == nil {
			p.holder.Receive(p.managerAddress, toHolder, p.manager)
		}
		p.manager.Tick(p.now.Add(time.Second))
		granted := 0
		for _, out := range p.manager.Flush() {
			granted += len(out.Message.Grants)
		}
		if granted > slotsPerTarget {
			t.Fatalf("%d permits granted, the limit is %d", granted, slotsPerTarget)
		}
	})
}
