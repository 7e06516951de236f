package ingress

import (
	"errors"
	"slices"
	"sync"
	"time"
)

const (
	// requestMemoryWait is how long a request waits for memory. Its client waits 400 ms for the answer.
	requestMemoryWait = 300 * time.Millisecond
	// stallTimeout is how long a request that is being read may bring no byte before it may lose its memory, or its
	// connection's slot, to another one. Clients write a request in one piece.
	stallTimeout = 20 * time.Millisecond
)

// errOverloaded reports that a request can't be read, because others hold the memory, or that it was stopped in favor of
// others. It has no effect, and its client may send it again.
var errOverloaded = errors.New("overloaded")

// memoryBudget bounds the memory of large requests that are being read or wait for their answer. Requests that find no
// room wait in the order of their arrival, those of known clients before the others. While any wait, requests that have
// stalled are stopped, so that peers that stop in the middle of a request don't keep others from theirs.
type memoryBudget struct {
	limit int64
	evict func(count int) // stops up to count requests that hold memory and have stalled

	mu      sync.Mutex
	used    int64
	waiting []*memoryRequest
	evictor *time.Timer // runs while requests wait
}

// memoryRequest is a request that waits for memory.
type memoryRequest struct {
	bytes   int64
	known   bool          // its connection has sent a request before
	granted chan struct{} // closed when it has the memory
}

// acquire reserves memory. It fails with errOverloaded if there is none for requestMemoryWait. known says whether the
// connection has sent a request before.
func (m *memoryBudget) acquire(bytes int64, known bool) error {
	r := &memoryRequest{bytes, known, make(chan struct{})}
	m.mu.Lock()
	m.enqueue(r)
	m.grant()
	if len(m.waiting) > 0 && m.evictor == nil {
		m.evictor = time.AfterFunc(0, m.evictStalled)
	}
	m.mu.Unlock()
	deadline := time.NewTimer(requestMemoryWait)
	defer deadline.Stop()
	select {
	case <-r.granted:
		return nil
	case <-deadline.C:
		return m.abandon(r)
	}
}

// enqueue adds a request behind the others of its kind. The caller holds m.mu.
func (m *memoryBudget) enqueue(r *memoryRequest) {
	i := len(m.waiting)
	if r.known {
		if i = slices.IndexFunc(m.waiting, func(other *memoryRequest) bool { return !other.known }); i < 0 {
			i = len(m.waiting)
		}
	}
	m.waiting = slices.Insert(m.waiting, i, r)
}

// evictStalled makes room for the requests that wait, and runs again while there are any.
func (m *memoryBudget) evictStalled() {
	m.mu.Lock()
	count := len(m.waiting)
	if count == 0 {
		m.evictor = nil
	} else {
		m.evictor.Reset(stallTimeout / 4)
	}
	m.mu.Unlock()
	if count > 0 {
		m.evict(count)
	}
}

// release gives back memory.
func (m *memoryBudget) release(bytes int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.used -= bytes
	m.grant()
}

// grant gives memory to the requests at the head of the queue that fit. The caller holds m.mu.
func (m *memoryBudget) grant() {
	for len(m.waiting) > 0 && m.used+m.waiting[0].bytes <= m.limit {
		m.used += m.waiting[0].bytes
		close(m.waiting[0].granted)
		m.waiting = slices.Delete(m.waiting, 0, 1)
	}
}

// abandon ends the wait of a request. It returns nil if the request has got its memory meanwhile.
func (m *memoryBudget) abandon(r *memoryRequest) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	i := slices.Index(m.waiting, r)
	if i < 0 {
		return nil
	}
	m.waiting = slices.Delete(m.waiting, i, i+1)
	m.grant()
	return errOverloaded
}
