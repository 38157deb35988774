// Package kernel implements the microkernel: it starts named services in order, lets
// them look each other up by name, and cleans them up in reverse order.
package kernel

import (
	"context"
	"sync"

	"github.com/pkg/errors"
)

// Cleanup releases the resources of a service. It is called once, after all services
// that were started later have been cleaned up.
type Cleanup func()

// Start creates and starts a service. It may look up services that were started before.
type Start func(ctx context.Context, k *Kernel) (service any, cleanup Cleanup, err error)

type runningService struct {
	name    string
	service any
	cleanup Cleanup
}

// Kernel holds the running services. Its zero value is ready to use.
type Kernel struct {
	mu       sync.RWMutex
	services []runningService // guarded by mu; in start order
}

// Start starts a service and registers it under name. A service that fails to
// start is not registered.
func (k *Kernel) Start(ctx context.Context, name string, start Start) error {
	if _, found := k.find(name); found {
		return errors.Errorf("start service %q: name already taken", name)
	}
	service, cleanup, err := start(ctx, k)
	if err != nil {
		return errors.Wrapf(err, "start service %q", name)
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.services = append(k.services, runningService{name: name, service: service, cleanup: cleanup})
	return nil
}

// Step is one service of a start sequence.
type Step struct {
	Name  string
	Start Start
}

// StartAll starts services in order and stops at the first that fails.
func (k *Kernel) StartAll(ctx context.Context, steps []Step) error {
	for _, s := range steps {
		if err := k.Start(ctx, s.Name, s.Start); err != nil {
			return err
		}
	}
	return nil
}

// Close cleans up all services, in reverse order of their start.
func (k *Kernel) Close() {
	k.mu.Lock()
	services := k.services
	k.services = nil
	k.mu.Unlock()
	for i := len(services) - 1; i >= 0; i-- {
		if services[i].cleanup != nil {
			services[i].cleanup()
		}
	}
}

func (k *Kernel) find(name string) (any, bool) {
	k.mu.RLock()
	defer k.mu.RUnlock()
	for _, s := range k.services {
		if s.name == name {
			return s.service, true
		}
	}
	return nil, false
}

// Lookup returns the service registered under name. It fails if the service is not of
// type T.
func Lookup[T any](k *Kernel, name string) (T, error) {
	var zero T
	found, ok := k.find(name)
	if !ok {
		return zero, errors.Errorf("look up service %q: not running", name)
	}
	service, ok := found.(T)
	if !ok {
		return zero, errors.Errorf("look up service %q: it is a %T", name, found)
	}
	return service, nil
}
