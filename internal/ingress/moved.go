package ingress

type (
	// movedClient is where a client's connection stands.
	Moved struct {
		Raw         []byte // what has been read of requests without an answer
		Since, Came int64  // Unix nanoseconds: of its last answer, and of the request's first byte
	}
)
