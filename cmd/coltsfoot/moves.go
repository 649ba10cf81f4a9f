package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/coltsfootlane/coltsfootlane/internal/server"
)

func movesCommand(app *kingpin.Application) command {
	clause := app.Command("moves", "Shows the rollouts and their outcomes. Example: coltsfoot moves --daemon 127.0.0.1:7104")
	daemon := clause.Flag("daemon", "Operator address of a daemon.").Required().Envar("COLTSFOOT_DAEMON").String()
	asJSON := clause.Flag("json", "Print JSON.").Bool()
	return command{
		clause: clause,
		run: func(ctx context.Context) error {
			var moves server.Moves
			if err := fetch(ctx, "http://"+*daemon+"/v1/moves", &moves); err != nil {
				return err
			}
			if *asJSON {
				return json.NewEncoder(os.Stdout).Encode(moves)
			}
			return printMoves(os.Stdout, moves)
		},
	}
}

func printMoves(out io.Writer, moves server.Moves) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tTO\tPHASE\tSHARE\tSENT\tDEADLINE\tSINCE\tKEEPER\tREASON")
	for _, m := range moves.Moves {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%d%%\t%d%%\t%s\t%s\t%s\t%s\n",
			m.Service, m.Move.To, m.Phase, m.Share, m.SentShare,
			m.Move.By.UTC().Format(time.RFC3339), formatTime(m.Since), orDash(m.Keeper), orDash(stopReason(m)))
	}
	return w.Flush()
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.UTC().Format(time.RFC3339)
}

// stopReason returns why the rollout's version gets no traffic, or "".
func stopReason(m server.Move) string {
	if m.Reason != "" {
		return m.Reason
	}
	return m.WithdrawalReason
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
