package main

import (
	"context"
	"os"
	"path/filepath"
	"strconv"

	"github.com/cockroachdb/errors"
)

// worker makes one run of the bench after another.
type worker struct {
	options *compareCommand
	top     string
	number  int
	clones  map[string]string // folder by variant
}

// clone returns the worker's clone of a variant, which it makes at the first use.
func (w *worker) clone(ctx context.Context, cloned *variant) (string, error) {
	if folder := w.clones[cloned.name]; folder != "" {
		return folder, nil
	}
	folder := filepath.Join(w.options.Scratch, cloned.name+"-"+strconv.Itoa(w.number))
	if err := os.RemoveAll(folder); err != nil {
		return "", errors.Wrap(err, "remove the previous clone")
	}
	steps := [][]string{
		{"git", "clone", "--quiet", "--shared", "--no-checkout", w.top, folder},
		{"git", "-C", folder, "checkout", "--quiet", "--detach", cloned.revision},
	}
	if cloned.patch != "" {
		steps = append(steps, []string{"git", "-C", folder, "apply", cloned.patch})
	}
	for _, step := range steps {
		if _, err := runCommand(ctx, w.top, step[0], step[1:]...); err != nil {
			return "", err
		}
	}
	w.clones[cloned.name] = folder
	return folder, nil
}

// run runs the bench once and copies its journal entry into this repository's journal.
func (w *worker) run(ctx context.Context, benched *benchRun) (*benchReport, error) {
	folder, err := w.clone(ctx, benched.variant)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.options.Scratch, benched.name()+".json")
	why := "trial, not scored: " + w.options.Why + " (" + benched.variant.name + ")"
	arguments := []string{
		"run", benched.site, benched.day,
		"--seed", strconv.Itoa(benched.seed),
		"--report", file,
		"--why", why,
	}
	if !w.options.WithCPU {
		arguments = append(arguments, "--no-cpu")
	}
	printed, err := runCommand(ctx, folder, w.options.Bench, arguments...)
	if writeErr := os.WriteFile(file+".txt", []byte(printed), 0o644); writeErr != nil {
		return nil, errors.Wrap(writeErr, "write the output of the bench")
	}
	if err != nil {
		return nil, err
	}
	if err := copyMissingFiles(filepath.Join(folder, "journal"), filepath.Join(w.top, "journal")); err != nil {
		return nil, err
	}
	return readReport(file)
}

// copyMissingFiles copies the files of a folder that another one lacks.
func copyMissingFiles(from, to string) error {
	return errors.Wrap(filepath.WalkDir(from, func(path string, entry os.DirEntry, err error) error {
		if err != nil || entry.IsDir() {
			return err
		}
		name, err := filepath.Rel(from, path)
		if err != nil {
			return err
		}
		if _, err := os.Stat(filepath.Join(to, name)); err == nil {
			return nil
		}
		content, err := os.ReadFile(path)
		if err != nil {
			return err
		}
		return os.WriteFile(filepath.Join(to, name), content, 0o644)
	}), "copy journal")
}
