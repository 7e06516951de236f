package registry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"harrierramp/internal/admission"
)

// Guards against late or refused answers while one client asks at full speed on one connection, also under ever new
// names: other clients get the list and register all the same, then and afterwards.
func TestGreedyConnectionLeavesOthersTheirShare(t *testing.T) {
	for name, request := range map[string]func(i int) string{
		"lists": func(int) string { return "GET /registry/instances HTTP/1.1\r\nHost: x\r\n\r\n" },
		"new instances": func(i int) string {
			return rawRequest("PUT", fmt.Sprintf("/registry/instances/n%d", i), fmt.Sprintf(`{"host_port":"127.1.%d.%d:80","locality":"z","flavor":"m","cell":1,"owner":"o"}`, i/250%250, i%250))
		},
		"new nodes": func(i int) string {
			return rawRequest("POST", "/registry/nodes", fmt.Sprintf(`{"name":"n%d","incarnation":1,"seq":1}`, i))
		},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig(t)
			cfg.StartRate = admission.DefaultRate
			a := startServer(t, cfg, listen(t, "127.0.0.1:0"))
			eventually(t, "the server is the primary", func() bool { return a.s.is(rolePrimary) })
			stop := a.startGreedyClient(request)
			refused := 0
			for i := range 30 {
				if i == 20 {
					stop()
				}
				if code, body := a.call("GET", "/registry/instances", ""); code != http.StatusOK {
					refused++
					t.Logf("list: %d %s", code, body)
				}
				if code, body := a.call("PUT", "/registry/instances/sound", `{"host_port":"127.0.0.1:80","locality":"z","flavor":"m","cell":1,"owner":"o"}`); code != http.StatusOK {
					refused++
					t.Logf("registration: %d %s", code, body)
				}
				time.Sleep(50 * time.Millisecond)
			}
			if refused > 0 {
				t.Errorf("%d of 60 requests of another client refused", refused)
			}
		})
	}
}

// rawRequest returns an HTTP request with a body.
func rawRequest(method, path, body string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n%s", method, path, len(body), body)
}

// startGreedyClient sends requests without pause on one connection until stop is called.
func (a *testServer) startGreedyClient(request func(i int) string) (stop func()) {
	a.t.Helper()
	nc, err := net.Dial("tcp", a.addr)
	if err != nil {
		a.t.Fatal(err)
	}
	var client sync.WaitGroup
	client.Go(func() { io.Copy(io.Discard, nc) })
	client.Go(func() {
		out := bufio.NewWriter(nc)
		for i := 0; ; i++ {
			if _, err := out.WriteString(request(i)); err != nil {
				return
			}
		}
	})
	stop = sync.OnceFunc(func() {
		nc.Close()
		client.Wait()
	})
	a.t.Cleanup(stop)
	return stop
}
