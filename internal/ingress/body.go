package ingress

import "sync"

// unfinishedBodies holds the memory of large bodies that were not read to their end. Peers that stop in the middle of
// bodies would otherwise make the garbage collector run as often as they come.
var unfinishedBodies sync.Pool

// maxBodyWaste is the part of a reused body's memory that may stay unused: one of so many bytes.
const maxBodyWaste = 8

// newBody returns the memory for a large body of the given size.
func newBody(size int) []byte {
	if b, ok := unfinishedBodies.Get().(*[]byte); ok && cap(*b) >= size && cap(*b)-size <= cap(*b)/maxBodyWaste {
		return (*b)[:size]
	}
	return make([]byte, size)
}

// reuseBody takes back the memory of a body that newBody returned. Nothing may refer to it any more.
func reuseBody(body []byte) { unfinishedBodies.Put(&body) }
