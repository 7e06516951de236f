package ingress

type (
	// ConnHandover is the state of a client connection that is handed over to another process of the node.
	ConnHandover struct {
		Unanswered           []byte `json:"Raw"`   // bytes already read of requests without an answer
		LastActivityUnixNano int64  `json:"Since"` // time of the last answer, or of the connection if there was none
		RequestStartUnixNano int64  `json:"Came"`  // time of the first byte of Unanswered; no meaning if that is empty
	}
)
