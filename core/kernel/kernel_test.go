package kernel

import (
	"context"
	"testing"

	"github.com/pkg/errors"
	"gotest.tools/v3/assert"
)

func TestServicesFindEachOtherAndEndInReverse(t *testing.T) {
	var k Kernel
	var ended []string
	start := func(name string, needs string) Start {
		return func(_ context.Context, k *Kernel) (any, Cleanup, error) {
			if needs != "" {
				if _, err := Lookup[string](k, needs); err != nil {
					return nil, nil, err
				}
			}
			return name, func() { ended = append(ended, name) }, nil
		}
	}
	ctx := context.Background()
	assert.NilError(t, k.Start(ctx, "one", start("one", "")))
	assert.NilError(t, k.Start(ctx, "two", start("two", "one")))
	assert.ErrorContains(t, k.Start(ctx, "two", start("two", "")), "already taken")
	assert.ErrorContains(t, k.Start(ctx, "three", start("three", "four")), "not running")
	_, err := Lookup[int](&k, "one")
	assert.ErrorContains(t, err, "it is a string")
	failed := errors.New("no")
	err = k.Start(ctx, "five", func(context.Context, *Kernel) (any, Cleanup, error) { return nil, nil, failed })
	assert.Assert(t, errors.Is(err, failed))
	k.Close()
	assert.DeepEqual(t, ended, []string{"two", "one"})
}
