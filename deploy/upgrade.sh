#!/bin/sh
# Plays an upgrade from a commit with real processes: hosts of that commit are replaced by the
# present build and back, one by one, under load and with zones that are cut.
# Usage: deploy/upgrade.sh COMMIT [SEED [RUNS]]
set -eu
cd "$(dirname "$0")/.."
commit=${1:?usage: deploy/upgrade.sh COMMIT [SEED [RUNS]]}
work=$(mktemp -d)
trap 'git worktree remove --force "$work/former" 2>/dev/null || true; rm -rf "$work"' EXIT
git worktree add --quiet --detach "$work/former" "$commit"
(cd "$work/former" && go build -ldflags=-linkmode=external -o target/ ./cmd/...)
go build -ldflags=-linkmode=external -o "$work/" ./cmd/yuccadoor
"$work/yuccadoor" soak --former "$work/former/target/yuccadoor" --hosts 4 --length 20s --seed "${2:-1}" --runs "${3:-1}" \
	--only "host killed,host stopped gracefully,zones cannot reach each other,store turns one host away,keys changed,server leaves and comes back cold"
