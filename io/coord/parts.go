package coord

import (
	"context"
	"time"

	"yuccadoor/core/roster"
)

// listTimeout limits how long a target may take to list the parts of prompts that it
// keeps. It is shorter than the time after which a listing counts as failed.
const listTimeout = 350 * time.Millisecond

// listParts asks the targets whose parts the broker needs to tell the versions of streams.
func (c *Coordinator) listParts(now time.Time) {
	for _, t := range c.broker.TargetsToList(now) {
		if c.settings.ListParts == nil {
			c.broker.RecordParts(now, t.ID, nil)
			continue
		}
		go c.listPartsOf(t)
	}
}

func (c *Coordinator) listPartsOf(t *roster.Target) {
	ctx, cancel := context.WithTimeout(context.Background(), listTimeout)
	defer cancel()
	parts, err := c.settings.ListParts(ctx, t)
	c.post(func(now time.Time) {
		c.settings.Log.Event("info", "parts listed", "Target", t.ID, "TargetVersion", t.Version, "Parts", len(parts), "Error", err)
		c.broker.RecordParts(now, t.ID, parts)
	})
}
