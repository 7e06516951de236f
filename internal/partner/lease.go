package partner

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"
)

const (
	leaseDuration         = 6 * time.Second
	leaseCallTimeout      = time.Second // for one call to a server of the list service
	maxLeaseResponseBytes = 64 << 10
)

// Instance is the entry of an endpoint in the endpoint list.
type Instance struct {
	ID, Addr, Zone, Kind string
	Dest                 int
	Size                 float64
}

// KeepRegistered keeps an instance registered at the list service by renewing its lease until ctx is done, and then
// withdraws it. It tries the next server if one does not answer or is not the primary.
func KeepRegistered(ctx context.Context, client *http.Client, servers []string, i Instance) {
	owner := fmt.Sprintf("%s.%d", i.ID, time.Now().UnixNano())
	claim := fmt.Sprintf(`{"host_port":%q,"locality":%q,"flavor":%q,"cell":%d,"size":%g,"owner":%q,"lease_ms":%d}`,
		i.Addr, i.Zone, i.Kind, i.Dest, i.Size, owner, leaseDuration.Milliseconds())
	for current := 0; ctx.Err() == nil; {
		url := "http://" + servers[current] + "/registry/instances/" + i.ID
		code := call(ctx, client, http.MethodPost, url+"/renew", fmt.Sprintf(`{"owner":%q}`, owner))
		if code == http.StatusNotFound {
			code = call(ctx, client, http.MethodPut, url, claim)
		}
		pause := leaseDuration/4 + rand.N(leaseDuration/8)
		if code != http.StatusOK {
			current, pause = (current+1)%len(servers), 50*time.Millisecond
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
	withdrawCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaseCallTimeout)
	defer cancel()
	for _, s := range servers {
		if call(withdrawCtx, client, http.MethodDelete, "http://"+s+"/registry/instances/"+i.ID, fmt.Sprintf(`{"owner":%q}`, owner)) == http.StatusNoContent {
			return
		}
	}
}

// call makes one HTTP call and returns the status code, or 0 if there was no response.
func call(ctx context.Context, client *http.Client, method, url, body string) int {
	ctx, cancel := context.WithTimeout(ctx, leaseCallTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxLeaseResponseBytes)) // so that the connection can be reused
	return resp.StatusCode
}
