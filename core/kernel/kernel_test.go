package kernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestServicesLookEachOtherUpAndAreCleanedUpInReverse(t *testing.T) {
	var k Kernel
	var cleanedUp []string
	start := func(name, dependency string) Start {
		return func(_ context.Context, k *Kernel) (any, Cleanup, error) {
			if dependency != "" {
				if _, err := Lookup[string](k, dependency); err != nil {
					return nil, nil, err
				}
			}
			return name, func() { cleanedUp = append(cleanedUp, name) }, nil
		}
	}
	ctx := context.Background()
	assert.NilError(t, k.Start(ctx, "one", start("one", "")))
	assert.NilError(t, k.Start(ctx, "two", start("two", "one")))
	assert.ErrorContains(t, k.Start(ctx, "two", start("two", "")), "already taken")
	assert.ErrorContains(t, k.Start(ctx, "three", start("three", "four")), "not running")
	_, err := Lookup[int](&k, "one")
	assert.ErrorContains(t, err, "it is a string")
	errFailed := errors.New("service failed")
	err = k.Start(ctx, "five", func(context.Context, *Kernel) (any, Cleanup, error) { return nil, nil, errFailed })
	assert.Assert(t, errors.Is(err, errFailed))
	k.Close()
	assert.DeepEqual(t, cleanedUp, []string{"two", "one"})
}
