package coord

import "math"

// logStarts logs and counts the changes of what targets that start or recover may be given.
// Only the leader's count: the brokers of other hosts see the starts, but give nothing.
func (c *Coordinator) logStarts() {
	for _, e := range c.broker.TakeStartEvents() {
		if c.leader != c.self() {
			continue
		}
		c.settings.Log.Event("info", "target limit changed", "Service", e.Service, "Target", e.Target, "Cause", e.Cause,
			"From", e.From, "To", e.To, "Ratio", math.Round(100*e.Ratio)/100, "Age", e.Age)
		if c.settings.Counters != nil {
			c.settings.Counters.RecordStartChange(e.Service, e.Cause)
		}
	}
}
