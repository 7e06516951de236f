package ingress

import (
	"bufio"
	"bytes"
	"testing"
	"time"

	"harrierramp/internal/client"
	"harrierramp/internal/testkit"
)

// FuzzRequests checks that for any input the reader terminates and stays within its size limits, and that every request
// that the parser accepts is valid.
func FuzzRequests(f *testing.F) {
	f.Add([]byte(client.EncodeCommand("ENQUEUE", "0", "id", "c=notice,d=8000,dest=7,k=x", "body")))
	f.Add([]byte("*1\r\n$1048577\r\n"))
	f.Add([]byte("*-1\r\n$9223372036854775807\r\nPING\r\n"))
	f.Fuzz(func(t *testing.T, raw []byte) {
		if len(raw) > 4<<20 {
			t.Skip()
		}
		reserved := 0
		commands := commandReader{r: bufio.NewReaderSize(bytes.NewReader(raw), readBufferBytes), reserve: func(bytes int) error {
			reserved += bytes
			return nil
		}}
		for range len(raw) + 2 {
			reserved = 0
			args, err := commands.read()
			if err != nil {
				return
			}
			held := 0
			for _, a := range args {
				held += len(a)
			}
			if held > reserved+maxArgs*maxArgBytes || reserved > maxBodyBytes || len(args) > maxArgs && raw[0] == '*' {
				t.Fatalf("%d arguments of %d bytes altogether", len(args), held)
			}
			if q, err := parseEnqueue(args, testkit.TestNames, time.Now()); err == nil {
				if q.TTL < 0 || q.TTL > maxTTL || q.Class != 0 || q.Dest < 0 || !isHeaderSafe(q.ID) {
					t.Fatalf("accepted invalid request: %+v", q)
				}
			}
		}
		t.Fatal("the reader does not terminate")
	})
}
