package broker

// adapts reports whether the decisions for a service adapt to contention: weighted fair
// queueing and retry booking. That is called for by targets that share their
// machines with other work, and by a configuration with a dominant workspace. All other
// services are served by priority and value alone.
func (b *Broker) adapts(service string) bool { return b.sharesMachines(service) || b.dominant }
