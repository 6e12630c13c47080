package main

import (
	"context"
	"os/exec"
	"path/filepath"
	"strings"

	"github.com/cockroachdb/errors"
)

// workingTree is the revision that stands for the working tree with its uncommitted changes.
const workingTree = "WORKTREE"

// variant is one state of the program.
type variant struct {
	name     string
	revision string // hash of a commit
	patch    string // file; empty: none
}

// parseVariants parses variants, "NAME=REVISION" or "NAME=REVISION+PATCHFILE".
func parseVariants(ctx context.Context, top string, texts []string) (variants []*variant, err error) {
	for _, text := range texts {
		name, rest, ok := strings.Cut(text, "=")
		if !ok || name == "" {
			return nil, errors.Newf("variant %q: wanted is NAME=REVISION", text)
		}
		revision, patch, _ := strings.Cut(rest, "+")
		resolved := &variant{name: name}
		if resolved.revision, err = resolveRevision(ctx, top, revision); err != nil {
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

// resolveRevision returns the hash of a revision. The working tree's changes of tracked files become a commit on no
// branch.
func resolveRevision(ctx context.Context, top, revision string) (string, error) {
	if revision != workingTree {
		return runCommand(ctx, top, "git", "rev-parse", "--verify", revision+"^{commit}")
	}
	made, err := runCommand(ctx, top, "git", "stash", "create")
	if err != nil || made != "" {
		return made, err
	}
	return runCommand(ctx, top, "git", "rev-parse", "HEAD")
}

// repositoryTop returns the repository's top folder.
func repositoryTop(ctx context.Context) (string, error) {
	return runCommand(ctx, ".", "git", "rev-parse", "--show-toplevel")
}

// runCommand runs a program and returns its output without surrounding white space.
func runCommand(ctx context.Context, folder, name string, arguments ...string) (string, error) {
	run := exec.CommandContext(ctx, name, arguments...)
	run.Dir = folder
	printed, err := run.Output()
	var exit *exec.ExitError
	if errors.As(err, &exit) {
		err = errors.Wrapf(err, "%s", strings.TrimSpace(string(exit.Stderr)))
	}
	return strings.TrimSpace(string(printed)), errors.Wrapf(err, "%s %s", name, strings.Join(arguments, " "))
}
