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
func (w *worker) clone(ctx context.Context, of *variant) (string, error) {
	if folder := w.clones[of.name]; folder != "" {
		return folder, nil
	}
	folder := filepath.Join(w.options.Scratch, of.name+"-"+strconv.Itoa(w.number))
	if err := os.RemoveAll(folder); err != nil {
		return "", errors.Wrap(err, "former clone")
	}
	steps := [][]string{
		{"git", "clone", "--quiet", "--shared", "--no-checkout", w.top, folder},
		{"git", "-C", folder, "checkout", "--quiet", "--detach", of.revision},
	}
	if of.patch != "" {
		steps = append(steps, []string{"git", "-C", folder, "apply", of.patch})
	}
	for _, step := range steps {
		if _, err := runCommand(ctx, w.top, step[0], step[1:]...); err != nil {
			return "", err
		}
	}
	w.clones[of.name] = folder
	return folder, nil
}

// run runs the bench once and copies its journal entry into this repository's journal.
func (w *worker) run(ctx context.Context, what *benchRun) (*benchReport, error) {
	folder, err := w.clone(ctx, what.variant)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.options.Scratch, what.name()+".json")
	why := "trial, not scored: " + w.options.Why + " (" + what.variant.name + ")"
	arguments := []string{"run", what.site, what.day, "--seed", strconv.Itoa(what.seed), "--report", file, "--why", why}
	if !w.options.WithCPU {
		arguments = append(arguments, "--no-cpu")
	}
	printed, err := runCommand(ctx, folder, w.options.Bench, arguments...)
	if written := os.WriteFile(file+".txt", []byte(printed), 0o644); written != nil {
		return nil, errors.Wrap(written, "keep what the bench printed")
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
