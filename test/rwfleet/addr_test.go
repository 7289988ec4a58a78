package rwfleet_test

import (
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"redwingworks.example/test/rwfleet"
)

// addrCount is the number of addresses for which two processes that choose them at
// random almost surely have one in common.
const addrCount = 600

// otherProcess is set in the environment of a test process that only prints
// addresses.
const otherProcess = "REDWING_PRINT_ADDRS"

func freeAddrs(t *testing.T) []string {
	var out []string
	for range addrCount {
		addr, err := rwfleet.FreeAddr()
		require.NoError(t, err)
		out = append(out, addr)
	}
	return out
}

// Guards against a router that can't listen because a test of another package, which
// runs at the same time, has chosen its address before it started.
func TestProcessesChooseDifferentAddresses(t *testing.T) {
	if os.Getenv(otherProcess) != "" {
		_, err := os.Stdout.WriteString("addrs " + strings.Join(freeAddrs(t), ",") + "\n")
		require.NoError(t, err)
		return
	}
	mine := freeAddrs(t)
	other := exec.Command(os.Args[0], "-test.run", "^"+t.Name()+"$")
	other.Env = append(os.Environ(), otherProcess+"=1")
	out, err := other.CombinedOutput()
	require.NoError(t, err, string(out))
	_, list, ok := strings.Cut(string(out), "addrs ")
	require.True(t, ok, string(out))
	list, _, _ = strings.Cut(list, "\n")
	theirs := strings.Split(list, ",")
	require.Len(t, theirs, addrCount)
	for _, addr := range theirs {
		require.NotContains(t, mine, addr)
	}
}
