package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"harrierramp/internal/journal"
)

func newJournal() *cobra.Command {
	return newGroup("journal", "Inspect the journal in a node's state directory, whether the node runs or not", "  harrierramp journal show /var/lib/harrierramp",
		newJournalShow(), newJournalVerify())
}

// owedMessage is the printed form of a message that the node still has to finish. It leaves out the body and the
// deduplication key.
type owedMessage struct {
	ID       string        `json:"msg_id"`
	Class    int           `json:"class"`
	Tenant   int           `json:"tenant"` // -1 for none
	Dest     int           `json:"dest"`
	Bytes    int           `json:"bytes"`
	Deadline time.Time     `json:"deadline"`
	State    string        `json:"state"`
	Attempts []owedAttempt `json:"attempts,omitempty"`
}

// owedAttempt is the printed form of one delivery attempt of an owedMessage.
type owedAttempt struct {
	At      time.Time `json:"at"`
	Zone    int       `json:"zone"`
	Outcome string    `json:"outcome"`
}

func describeOwed(m *journal.Message) owedMessage {
	o := owedMessage{
		ID: m.ID, Class: m.Class, Tenant: m.Tenant, Dest: m.Dest, Bytes: len(m.Body), Deadline: m.Deadline, State: "waiting",
	}
	for _, s := range m.Attempts {
		outcome := "out, or cut off: it may have run"
		switch {
		case s.NotExecuted:
			outcome = "did not run"
		case s.Failed:
			outcome = "failed: it may have run"
		default:
			o.State = "out"
		}
		o.Attempts = append(o.Attempts, owedAttempt{s.At, s.Zone, outcome})
	}
	if m.Ended != nil {
		if o.State = "returned, notice owed"; m.Ended.Failed {
			o.State = "failed, notice owed"
		}
	}
	return o
}

func newJournalShow() *cobra.Command {
	var asJSON bool
	c := &cobra.Command{
		Use: "show DIR", Short: "List the unfinished messages of a node, with their attempts and deadlines",
		Example: "  harrierramp journal show /var/lib/harrierramp --json", Args: exactArgs("DIR"),
		RunE: func(c *cobra.Command, args []string) error {
			contents, err := journal.Read(args[0])
			if err != nil {
				return err
			}
			all := []owedMessage{}
			for _, m := range contents.Unsettled {
				all = append(all, describeOwed(m))
			}
			out := c.OutOrStdout()
			if asJSON {
				e := json.NewEncoder(out)
				e.SetIndent("", "  ")
				return e.Encode(all)
			}
			w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
			fmt.Fprintln(w, "MESSAGE\tCLASS\tDEST\tBYTES\tDEADLINE\tATTEMPTS\tSTATE")
			for _, o := range all {
				fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%s\t%d\t%s\n", o.ID, o.Class, o.Dest, o.Bytes,
					o.Deadline.UTC().Format(time.RFC3339Nano), len(o.Attempts), o.State)
			}
			if err := w.Flush(); err != nil {
				return err
			}
			return reportDamage(contents, c)
		},
	}
	c.Flags().BoolVar(&asJSON, "json", false, "print JSON")
	return c
}

func newJournalVerify() *cobra.Command {
	return &cobra.Command{
		Use: "verify DIR", Short: "Read a journal to its end; exit status 0 unless it is damaged",
		Example: "  harrierramp journal verify /var/lib/harrierramp", Args: exactArgs("DIR"),
		RunE: func(c *cobra.Command, args []string) error {
			contents, err := journal.Read(args[0])
			if err != nil {
				return err
			}
			fmt.Fprintf(c.OutOrStdout(), "%d bytes of whole records, %d messages owed\n", contents.ValidBytes, len(contents.Unsettled))
			return reportDamage(contents, c)
		},
	}
}

// reportDamage returns an error if the journal is damaged. A torn last record is not damage and is only reported: a
// kill leaves one, and reading while a node writes finds one.
func reportDamage(contents journal.Contents, c *cobra.Command) error {
	switch {
	case contents.Damage == nil:
		return nil
	case contents.Torn:
		fmt.Fprintf(c.ErrOrStderr(), "harrierramp: %v; a kill leaves such a record, and the action that it would have recorded was not taken\n", contents.Damage)
		return nil
	}
	return fmt.Errorf("%w: %w", errDamagedJournal, contents.Damage)
}

var errDamagedJournal = errors.New("the journal is damaged: a node would continue with the records before the damage")
