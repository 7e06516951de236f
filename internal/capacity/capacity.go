// Package capacity divides the limits of a process among its parts: memory, processor time and file descriptors.
//
// Whoever can connect to a process decides how many connections it has to hold and how much of a request each sends, so
// what these take must follow from the limits. It must also stay well below them: the garbage collector runs without a
// pause once the heap in use comes near to the runtime's memory limit, and its time is booked to nobody. Therefore each
// part gets a share in bytes, counted with the goroutines and buffers that belong to it, and the shares leave room for
// the collector. docs/constants.md has the table for common limits.
//
// The package does no I/O; all functions may be called from any goroutine.
package capacity

import "math"

const (
	// runtimeShare is the part of the memory, less that of files, which the Go runtime may hold. The rest is for the
	// program's own pages, for the buffers of sockets, and for a second process during an upgrade.
	runtimeShare = 1.0 / 2
	// Shares of the runtime's memory. What they leave is for messages, the list of endpoints, the runtime's own tables and
	// the collector.
	clientShare   = 1.0 / 4
	requestShare  = 1.0 / 12
	operatorShare = 1.0 / 10
	endedIDShare  = 1.0 / 25
	// Shares of the runtime's memory of a list server.
	serverConnShare = 1.0 / 2
	serverBodyShare = 1.0 / 12
	// unknownPeerShare is the part of the processor time that all peers together may use which have not shown who they are.
	unknownPeerShare = 1.0 / 2

	// clientConnBytes is the memory of a client's connection: goroutine, descriptor, read buffer and short arguments.
	clientConnBytes = 10 << 10
	// httpConnBytes is the memory of a connection that package net/http serves: two goroutines, two buffers, a head.
	httpConnBytes = 24 << 10
	// endedIDBytes is the memory of an ID in a dedup.Set.
	endedIDBytes = 80
	// largeBodyBytes is the size of the largest body that clients and nodes may send.
	largeBodyBytes = 64 << 10

	minClientConns   = 16
	minOperatorConns = 16
	maxOperatorConns = 64
	minLargeBodies   = 4
	minServerConns   = 64
	// goroutinesPerConn is how many connections may be served for each that is open: package net/http keeps the goroutine
	// of one that was closed for another for a while.
	goroutinesPerConn = 2
	maxServerBodies   = 32
	minEndedIDs       = 4096
	maxEndedIDs       = 65536

	clientDescriptorShare = 3 // clients get one of so many descriptors
	maxClientConns        = 1 << 16
)

// Limits are the resources of a process. Zero means that there is no limit.
type Limits struct {
	Memory      int64   // bytes
	Files       int64   // bytes of files that count as memory
	Cores       float64 // processors' time
	Descriptors int
}

// Division is how the limits are divided.
type Division struct {
	Processors    int     // threads that run Go code at once
	UnknownPeers  float64 // of a processor's time, for the input of all peers that have not shown who they are
	RuntimeMemory int64   // bytes: the soft limit of the Go runtime; math.MaxInt64 for none

	ClientConns   int   // connections of clients at once
	RequestMemory int64 // bytes of large requests of clients that are being read or wait for their answer
	OperatorConns int   // connections at the operators' API whose goroutine has not ended
	EndedIDs      int   // IDs of ended messages that are remembered
}

// Divide divides the limits of a node.
func Divide(l Limits) Division {
	d := Division{
		Processors: processors(l.Cores), UnknownPeers: unknownPeerShare * cores(l), RuntimeMemory: runtimeMemory(l),
		ClientConns: maxClientConns, RequestMemory: math.MaxInt64, OperatorConns: maxOperatorConns, EndedIDs: maxEndedIDs,
	}
	if l.Memory > 0 {
		d.ClientConns = clamp(count(d.RuntimeMemory, clientShare, clientConnBytes), minClientConns, maxClientConns)
		d.RequestMemory = max(share(d.RuntimeMemory, requestShare), minLargeBodies*largeBodyBytes)
		d.OperatorConns = clamp(count(d.RuntimeMemory, operatorShare, httpConnBytes), minOperatorConns, maxOperatorConns)
		d.EndedIDs = clamp(count(d.RuntimeMemory, endedIDShare, endedIDBytes), minEndedIDs, maxEndedIDs)
	}
	if l.Descriptors > 0 {
		d.ClientConns = min(d.ClientConns, l.Descriptors/clientDescriptorShare)
	}
	return d
}

// ServerDivision is how the limits of a list server are divided.
type ServerDivision struct {
	Processors    int     // threads that run Go code at once
	Peers         float64 // of a processor's time, for connections and requests of all peers
	RuntimeMemory int64   // bytes: the soft limit of the Go runtime; math.MaxInt64 for none
	Conns         int     // open connections; math.MaxInt for no bound. Twice as many may be served
	LargeBodies   int     // bodies of up to largeBodyBytes that are being read
}

// DivideServer divides the limits of a list server. It has no limit of descriptors.
func DivideServer(l Limits) ServerDivision {
	d := ServerDivision{
		Processors: processors(l.Cores), Peers: unknownPeerShare * cores(l), RuntimeMemory: runtimeMemory(l),
		Conns: math.MaxInt, LargeBodies: maxServerBodies,
	}
	if l.Memory > 0 {
		d.Conns = max(count(d.RuntimeMemory, serverConnShare, goroutinesPerConn*httpConnBytes), minServerConns)
		d.LargeBodies = clamp(count(d.RuntimeMemory, serverBodyShare, largeBodyBytes), minLargeBodies, maxServerBodies)
	}
	return d
}

// processors returns how many threads may run at once.
func processors(cores float64) int { return max(1, int(math.Ceil(cores))) }

// cores returns the processor time that the process may use. Without a limit that is as many processors as it runs on.
func cores(l Limits) float64 {
	if l.Cores > 0 {
		return l.Cores
	}
	return float64(processors(l.Cores))
}

// runtimeMemory returns the soft memory limit of the Go runtime.
func runtimeMemory(l Limits) int64 {
	if l.Memory <= 0 {
		return math.MaxInt64
	}
	return share(max(l.Memory-l.Files, l.Memory/2), runtimeShare)
}

func share(bytes int64, part float64) int64 { return int64(float64(bytes) * part) }

// count returns how many things of the given size fit into a part of the memory.
func count(memory int64, part float64, size int64) int { return int(share(memory, part) / size) }

func clamp(n, least, most int) int { return min(max(n, least), most) }
