package admin

// MembershipView is a node's view of all nodes, as GET /ops/members returns it.
type MembershipView struct {
	Number      int      `json:"number"`
	Incarnation uint32   `json:"incarnation"`
	AgreedMS    *int64   `json:"agreed_ms_ago"` // since another node last had the same view; null: never
	Health      int      `json:"health"`        // local health score; 0 is healthy
	Present     int      `json:"present"`
	Suspect     int      `json:"suspect"`
	Members     []Member `json:"members"`
}

// Member is one node in a MembershipView.
type Member struct {
	Number      int    `json:"number"`
	Addr        string `json:"address"`
	State       string `json:"state"`
	Reason      string `json:"reason"`
	Incarnation uint32 `json:"incarnation"`
	SinceMS     int64  `json:"since_ms"`
	HeardMS     *int64 `json:"heard_ms_ago"` // since the node was last heard from; null: never
}
