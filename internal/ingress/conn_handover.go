package ingress

type (
	// movedClient is where a client's connection stands.
	ConnHandover struct {
		Unanswered           []byte `json:"Raw"`   // what has been read of requests without an answer
		LastActivityUnixNano int64  `json:"Since"` // Unix nanoseconds: of its last answer
		RequestStartUnixNano int64  `json:"Came"`  // Unix nanoseconds: of the request's first byte
	}
)
