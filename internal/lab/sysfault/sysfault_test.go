package sysfault

import (
	"bytes"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
)

const childEnv = "SYSFAULT_TEST_FILE"

// TestMain runs, in a child process, a program that writes a file and reads it back.
func TestMain(m *testing.M) {
	path := os.Getenv(childEnv)
	switch {
	case path == "":
		os.Exit(m.Run())
	case ExecRequired():
		fmt.Println(Exec("/proc/self/exe", os.Args))
		os.Exit(1)
	}
	err := os.WriteFile(path, []byte("0123456789"), 0o600)
	text, readErr := os.ReadFile(path)
	fmt.Printf("%v, %s, %v\n", err, text, readErr)
	os.Exit(0)
}

func runChild(t *testing.T, path string, decide func(Call) Verdict) string {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	var out bytes.Buffer
	cmd.Env, cmd.Stdout, cmd.Stderr = append(os.Environ(), childEnv+"="+path, "GORACE=atexit_sleep_ms=0"), &out, &out
	in, err := Start(cmd, decide)
	if err != nil {
		t.Fatal(err)
	}
	err = cmd.Wait()
	<-in.Done()
	if err != nil {
		return err.Error()
	}
	return strings.TrimSpace(out.String())
}

func TestInjectedFaultsReachTheProgram(t *testing.T) {
	path := filepath.Join(t.TempDir(), "file")
	write := func(v Verdict) func(Call) Verdict {
		return func(c Call) Verdict {
			if c.Path == path && c.Number == unix.SYS_WRITE {
				return v
			}
			return Verdict{}
		}
	}
	interrupted := 0
	for _, c := range []struct {
		name   string
		decide func(Call) Verdict
		says   string
		file   string
	}{
		{"nothing", func(Call) Verdict { return Verdict{} }, "<nil>, 0123456789, <nil>", "0123456789"},
		{"no space", write(Verdict{Errno: syscall.ENOSPC}), "write " + path + ": no space left on device, , <nil>", ""},
		{"short writes", write(Verdict{MaxBytes: 3}), "<nil>, 0123456789, <nil>", "0123456789"},
		{"half a write and a kill", write(Verdict{MaxBytes: 5, Kill: true}), "signal: killed", "01234"},
		{"interrupted once", func(c Call) Verdict {
			if c.Path == path && c.Number == unix.SYS_OPENAT && interrupted == 0 {
				interrupted++
				return Verdict{Errno: syscall.EINTR}
			}
			return Verdict{}
		}, "<nil>, 0123456789, <nil>", "0123456789"},
		{"short reads", func(c Call) Verdict {
			if c.Path == path && c.Number == unix.SYS_READ {
				return Verdict{MaxBytes: 1}
			}
			return Verdict{}
		}, "<nil>, 0123456789, <nil>", "0123456789"},
	} {
		os.Remove(path)
		if got := runChild(t, path, c.decide); got != c.says {
			t.Errorf("%s: the program printed %q, want %q", c.name, got, c.says)
		}
		if text, _ := os.ReadFile(path); string(text) != c.file {
			t.Errorf("%s: the file contains %q, want %q", c.name, text, c.file)
		}
	}
	if interrupted == 0 {
		t.Error("no call was interrupted")
	}
}
