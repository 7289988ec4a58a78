package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/spf13/cobra"

	"redwingworks.example/cmd/rwctl/internal/rwconfigcheck"
	"redwingworks.example/cmd/rwctl/internal/rwconfigdiff"
	"redwingworks.example/cmd/rwctl/internal/rwconfigfinding"
	"redwingworks.example/internal/rwcode"
	"redwingworks.example/internal/rwconfigdraft"
	"redwingworks.example/internal/rwfault"
	"redwingworks.example/platform/rwstoreclient"
)

// The exit statuses of rwctl config. Whatever prevents the check is an error too, so
// that a script doesn't take it for a warning.
const (
	statusWarnings = 1
	statusErrors   = 2
)

// statusError is an error with an exit status.
type statusError struct {
	error
	status int
}

func (e statusError) Unwrap() error { return e.error }

// exitStatus returns the exit status for the error of a command.
func exitStatus(err error) int {
	var s statusError
	switch {
	case err == nil:
		return 0
	case errors.As(err, &s):
		return s.status
	}
	return 1
}

// configReport is the result of a check.
type configReport struct {
	Version  int64                     `json:"version"`
	Errors   int                       `json:"errors"`
	Warnings int                       `json:"warnings"`
	Findings []rwconfigfinding.Finding `json:"findings"`
	// ComparedWith is the version with which Differences compares, or nil if there
	// was none or routers reject the checked one.
	ComparedWith *int64                `json:"comparedWith"`
	Differences  []rwconfigdiff.Change `json:"differences"`
}

func config() *cobra.Command {
	var store, against string
	var memoryMB int64
	var asJSON bool
	checker := rwconfigcheck.New()
	c := &cobra.Command{
		Use:   "config FILE",
		Short: "Check a configuration of the front router before it is published",
		Long: "Check a configuration of the front router before it is published: errors, entries without effect, " +
			"limits that contradict each other, and what differs from the version in force. " +
			"The exit status is 0 without findings, 1 for warnings, and 2 for errors.",
		Args: func(c *cobra.Command, args []string) error {
			return withErrorStatus(cobra.ExactArgs(1)(c, args))
		},
	}
	c.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return withErrorStatus(err) })
	c.Flags().StringVar(&store, "store", "", "address of the platform's store, whose configuration is the one in force")
	c.Flags().StringVar(&against, "against", "", "file with the configuration in force")
	c.Flags().Int64Var(&memoryMB, "memory", 0, "memory of the smallest machine in MiB; 0 doesn't check the body limit")
	c.Flags().Float64Var(&checker.ColdOverage, "cold-overage", checker.ColdOverage, "coldOverage of the deployment")
	c.Flags().Float64Var(&checker.ColdSlack, "cold-slack", checker.ColdSlack, "coldSlack of the deployment")
	c.Flags().BoolVar(&asJSON, "json", false, "write the report as JSON")
	c.RunE = func(c *cobra.Command, args []string) error {
		value, err := os.ReadFile(args[0])
		if err != nil {
			return withErrorStatus(rwfault.Wrap(rwcode.SettingsInvalid, err))
		}
		if memoryMB < 0 {
			return withErrorStatus(rwfault.New(rwcode.SettingsInvalid, "--memory must not be negative"))
		}
		checker.MemoryBytes = memoryMB << 20
		if checker.InForce, err = inForce(c.Context(), store, against); err != nil {
			return withErrorStatus(fmt.Errorf("configuration in force: %w", err))
		}
		r := newConfigReport(checker, value)
		if err := r.write(c.OutOrStdout(), asJSON); err != nil {
			return withErrorStatus(err)
		}
		// The report says all; cobra would add a line that calls warnings an error.
		c.SilenceErrors = true
		return r.result()
	}
	return c
}

func withErrorStatus(err error) error {
	if err == nil {
		return nil
	}
	return statusError{err, statusErrors}
}

// inForce returns the configuration in force from a store or a file, or nil if
// neither is given or the store has none.
func inForce(ctx context.Context, store, against string) (*rwconfigdraft.Draft, error) {
	switch {
	case store != "" && against != "":
		return nil, rwfault.New(rwcode.SettingsInvalid, "--store and --against exclude each other")
	case store != "":
		ctx, stop := context.WithTimeout(ctx, responseTimeout)
		defer stop()
		return rwstoreclient.New(store).ReadDraft(ctx)
	case against != "":
		data, err := os.ReadFile(against)
		if err != nil {
			return nil, rwfault.Wrap(rwcode.SettingsInvalid, err)
		}
		return rwstoreclient.DecodeDraft(data)
	}
	return nil, nil
}

func newConfigReport(checker *rwconfigcheck.Checker, value []byte) *configReport {
	draft, findings := checker.Check(value)
	// Lists that aren't nil are empty lists in JSON.
	r := &configReport{Findings: append([]rwconfigfinding.Finding{}, findings...), Differences: []rwconfigdiff.Change{}}
	for _, f := range findings {
		if f.Severity == rwconfigfinding.Error {
			r.Errors++
		} else {
			r.Warnings++
		}
	}
	if draft == nil {
		return r
	}
	r.Version = draft.Version
	if checker.InForce != nil {
		r.ComparedWith = &checker.InForce.Version
		r.Differences = append(r.Differences, rwconfigdiff.New(checker.InForce, draft)...)
	}
	return r
}

func (r *configReport) write(w io.Writer, asJSON bool) error {
	if asJSON {
		e := json.NewEncoder(w)
		e.SetEscapeHTML(false)
		e.SetIndent("", "  ")
		return e.Encode(r)
	}
	for _, f := range r.Findings {
		_, _ = fmt.Fprintln(w, f)
	}
	compared := "not compared"
	if r.ComparedWith != nil {
		compared = fmt.Sprintf("%d differences from version %d", len(r.Differences), *r.ComparedWith)
		for _, d := range r.Differences {
			_, _ = fmt.Fprintln(w, "differs:", d)
		}
	}
	_, err := fmt.Fprintf(w, "version %d: %d errors, %d warnings, %s\n", r.Version, r.Errors, r.Warnings, compared)
	return err
}

// result returns an error with the exit status of the report, or nil.
func (r *configReport) result() error {
	switch {
	case r.Errors > 0:
		return statusError{rwfault.New(rwcode.RecordInvalid, "the configuration has errors and must not be published"), statusErrors}
	case r.Warnings > 0:
		return statusError{rwfault.New(rwcode.RecordInvalid, "the configuration has warnings"), statusWarnings}
	}
	return nil
}
