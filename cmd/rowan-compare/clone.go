package main

import (
	"context"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
)

// worktree stands for the working tree, with what isn't committed yet.
const worktree = "WORKTREE"

// variant is one state of the program.
type variant struct {
	name     string
	revision string // a commit's hash
	patch    string // file, empty for none
}

func parseVariants(ctx context.Context, top string, texts []string) (variants []*variant, err error) {
	for _, text := range texts {
		name, rest, ok := strings.Cut(text, "=")
		if !ok || name == "" {
			return nil, errors.Newf("variant %q: wanted is NAME=REVISION", text)
		}
		revision, patch, _ := strings.Cut(rest, "+")
		resolved := &variant{name: name}
		if resolved.revision, err = resolve(ctx, top, revision); err != nil {
			return nil, err
		}
		if patch != "" {
			if resolved.patch, err = filepath.Abs(patch); err != nil {
				return nil, errors.Wrap(err, "patch")
			}
		}
		variants = append(variants, resolved)
	}
	return variants, nil
}

// resolve returns the hash of a revision. The working tree's changes of files that git knows become a commit that no
// branch holds.
func resolve(ctx context.Context, top, revision string) (string, error) {
	if revision != worktree {
		return command(ctx, top, "git", "rev-parse", "--verify", revision+"^{commit}")
	}
	made, err := command(ctx, top, "git", "stash", "create")
	if err != nil || made != "" {
		return made, err
	}
	return command(ctx, top, "git", "rev-parse", "HEAD")
}

func repositoryTop(ctx context.Context) (string, error) {
	return command(ctx, ".", "git", "rev-parse", "--show-toplevel")
}

// command runs a program and returns what it printed, without the space round it.
func command(ctx context.Context, folder, name string, arguments ...string) (string, error) {
	run := exec.CommandContext(ctx, name, arguments...)
	run.Dir = folder
	printed, err := run.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = errors.Wrapf(err, "%s", strings.TrimSpace(string(exit.Stderr)))
	}
	return strings.TrimSpace(string(printed)), errors.Wrapf(err, "%s %s", name, strings.Join(arguments, " "))
}

// worker plays one day after the other.
type worker struct {
	command *trialCommand
	top     string
	number  int
	clones  map[string]string // folder by variant
}

// clone returns the worker's clone of a variant, which it makes at the first use.
func (w *worker) clone(ctx context.Context, of *variant) (string, error) {
	if folder := w.clones[of.name]; folder != "" {
		return folder, nil
	}
	folder := filepath.Join(w.command.Scratch, of.name+"-"+strconv.Itoa(w.number))
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
		if _, err := command(ctx, w.top, step[0], step[1:]...); err != nil {
			return "", err
		}
	}
	w.clones[of.name] = folder
	return folder, nil
}

// play plays one day and copies the bench's entry of it into the journal.
func (w *worker) play(ctx context.Context, what *play) (*report, error) {
	folder, err := w.clone(ctx, what.variant)
	if err != nil {
		return nil, err
	}
	file := filepath.Join(w.command.Scratch, what.name()+".json")
	why := "trial, not scored: " + w.command.Why + " (" + what.variant.name + ")"
	arguments := []string{"run", what.site, what.day, "--seed", strconv.Itoa(what.seed), "--report", file, "--why", why}
	if !w.command.WithCPU {
		arguments = append(arguments, "--no-cpu")
	}
	printed, err := command(ctx, folder, w.command.Bench, arguments...)
	if written := os.WriteFile(file+".txt", []byte(printed), 0o644); written != nil {
		return nil, errors.Wrap(written, "keep what the bench printed")
	}
	if err != nil {
		return nil, err
	}
	if err := copyNew(filepath.Join(folder, "journal"), filepath.Join(w.top, "journal")); err != nil {
		return nil, err
	}
	return readReport(file)
}

// copyNew copies the files that a folder has and another one lacks.
func copyNew(from, to string) error {
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
