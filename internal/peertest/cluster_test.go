package peertest_test

import (
	"context"
	"os"
	"testing"
	"time"

	"sloerail/internal/testcluster"
)

// stepTimeout is longer than any step takes, even on a loaded machine.
const stepTimeout = 60 * time.Second

func TestMain(m *testing.M) {
	status := m.Run()
	testcluster.Clean()
	os.Exit(status)
}

// newCluster returns a cluster that is closed at the end of the test.
func newCluster(t *testing.T) (*testcluster.Cluster, context.Context) {
	t.Helper()
	cluster, err := testcluster.New(t.TempDir(), *seed)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Close)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	return cluster, ctx
}

// withStepTimeout returns a context that ends after stepTimeout.
func withStepTimeout(t *testing.T, ctx context.Context) context.Context {
	t.Helper()
	ctx, cancel := context.WithTimeout(ctx, stepTimeout)
	t.Cleanup(cancel)
	return ctx
}
